"""Admission control: refuses submissions that cannot be served in time.

Load pattern: more work arrives than the slots can finish before its deadlines.
Without admission control every queue grows until all answers are late, and the
work done on late tasks is lost (goodput collapse).

Grounds: a bound on queue length does not help, because 1,000 tasks are 0.3 s of
work for one method and 300 s for another. The bound is on expected waiting time.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

import xxhash

from cassiaturn.entities import Reason, RequestClass
from cassiaturn.policy._estimate import Estimate, estimate_of
from cassiaturn.policy._load import AdmissionRequest, LoadView
from cassiaturn.policy._run_times import RunTimes
from cassiaturn.policy._service_rates import ServiceRates
from cassiaturn.policy._settings import AdmissionSettings

_HASH_RANGE = float(1 << 64)


@dataclass(frozen=True, slots=True, kw_only=True)
class Admit:
    """The submission is accepted."""

    expected_wait_s: float
    """Expected wait of its first task, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """The submission is refused; none of its tasks has started or will start."""

    reason: Reason
    """Cause of the refusal."""

    retry_after_s: float
    """Delay before a retry, in seconds; 0: a retry cannot succeed."""

    detail: str
    """Human-readable explanation, in one sentence."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Problem:
    reason: Reason
    excess_s: float
    """Time until the limit is expected to be met, in seconds; 0: never."""

    detail: str


Check: TypeAlias = Callable[
    [AdmissionRequest, Estimate, AdmissionSettings, float], _Problem | None
]

_checks: list[Check] = []
"""Checks that may refuse a submission, in the order in which they run."""


def _check(check: Check) -> Check:
    """Register a check that may refuse a submission."""
    _checks.append(check)
    return check


@_check
def _has_no_slots(
    request: AdmissionRequest,
    estimate: Estimate,
    settings: AdmissionSettings,
    limit_scale: float,
) -> _Problem | None:
    if not math.isinf(estimate.wait_s):
        return None
    return _Problem(
        reason=Reason.OVERLOAD,
        excess_s=settings.min_retry_after_s,
        detail="this instance has no slots, and no peer has a free one",
    )


@_check
def _exceeds_deadline_when_idle(
    request: AdmissionRequest,
    estimate: Estimate,
    settings: AdmissionSettings,
    limit_scale: float,
) -> _Problem | None:
    if estimate.idle_job_s <= request.deadline_in_s:
        return None
    detail = (
        f"{request.tasks} tasks need about {estimate.idle_job_s:.2f} s on free slots,"
        f" the deadline is in {request.deadline_in_s:.2f} s"
    )
    return _Problem(reason=Reason.DEADLINE, excess_s=0.0, detail=detail)


@_check
def _exceeds_deadline(
    request: AdmissionRequest,
    estimate: Estimate,
    settings: AdmissionSettings,
    limit_scale: float,
) -> _Problem | None:
    limit_s = request.deadline_in_s * settings.safety * limit_scale
    excess_s = estimate.wait_s + estimate.job_s - limit_s
    # On idle slots only the deadline itself applies, without the safety margin; the
    # previous check enforces it.
    is_idle = estimate.wait_s == 0.0 and estimate.job_s == estimate.idle_job_s
    if excess_s <= 0.0 or is_idle:
        return None
    detail = (
        f"expected answer in {estimate.wait_s + estimate.job_s:.2f} s,"
        f" the deadline is in {request.deadline_in_s:.2f} s"
    )
    return _Problem(reason=_limit_reason(estimate), excess_s=excess_s, detail=detail)


@_check
def _exceeds_max_wait(
    request: AdmissionRequest,
    estimate: Estimate,
    settings: AdmissionSettings,
    limit_scale: float,
) -> _Problem | None:
    limit_s = settings.max_wait_s_by_class[request.request_class] * limit_scale
    excess_s = estimate.wait_s - limit_s
    if excess_s <= 0.0:
        return None
    detail = f"expected wait {estimate.wait_s:.2f} s, {limit_s:.2f} s are allowed"
    return _Problem(reason=_limit_reason(estimate), excess_s=excess_s, detail=detail)


def _limit_reason(estimate: Estimate) -> Reason:
    return Reason.QUOTA if estimate.is_over_quota else Reason.OVERLOAD


class Admission:
    """Admits or refuses the submissions of an instance and learns run times."""

    def __init__(self, *, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._run_times = RunTimes(settings=settings)
        self._rates = ServiceRates()
        self._refusing: set[tuple[str, RequestClass]] = set()

    def reconfigure(self, settings: AdmissionSettings) -> None:
        """Replace the settings; learned run times are kept."""
        self._settings = settings

    def decide(self, request: AdmissionRequest, load: LoadView) -> Admit | Refuse:
        """Admit or refuse a submission.

        :param request: the submission.
        :param load: present load of the instance.
        """
        settings = self._settings
        used = self._rates.used_slots(request.request_class, load.now)
        estimate = estimate_of(request, load, used, settings)
        limit_key = (request.tenant, request.request_class)
        limit_scale = settings.resume if limit_key in self._refusing else 1.0
        for check in _checks:
            problem = check(request, estimate, settings, limit_scale)
            if problem is not None:
                if problem.excess_s > 0.0:
                    self._refusing.add(limit_key)
                return self._refusal(request, problem)
        self._refusing.discard(limit_key)
        return Admit(expected_wait_s=estimate.wait_s)

    def observe_run(
        self, method: str, request_class: RequestClass, run_s: float
    ) -> None:
        """Learn from a finished task.

        :param method: full method name.
        :param request_class: class of the task.
        :param run_s: observed run time, in seconds.
        """
        self._run_times.observe(method, request_class, run_s)
        self._rates.observe(request_class, run_s)

    def expected_run_s(self, method: str, declared: float) -> float:
        """Return the expected run time of a method, in seconds.

        :param method: full method name.
        :param declared: run time that the schema declares, in seconds.
        """
        return self._run_times.expected_s(method, declared)

    def mean_run_s_by_class(self) -> Mapping[RequestClass, float]:
        """Return the mean run time of each class, in seconds; a live view."""
        return self._run_times.mean_s_by_class

    def _refusal(self, request: AdmissionRequest, problem: _Problem) -> Refuse:
        retry_after_s = 0.0
        if problem.excess_s > 0.0:
            retry_after_s = self._retry_after(request.submission_id, problem.excess_s)
        return Refuse(
            reason=problem.reason, retry_after_s=retry_after_s, detail=problem.detail
        )

    def _retry_after(self, submission_id: str, excess_s: float) -> float:
        # Callers that are refused at the same time would retry at the same time,
        # and all but the first would be refused again. The hash spreads them over
        # an interval as long as the backlog takes to drain.
        settings = self._settings
        start_s = min(
            max(excess_s, settings.min_retry_after_s), settings.max_retry_after_s
        )
        position = xxhash.xxh3_64_intdigest(submission_id.encode()) / _HASH_RANGE
        return start_s * (1.0 + settings.spread * position)
