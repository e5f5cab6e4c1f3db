"""Refusal at the door, before anything starts.

Load pattern: more work arrives than the slots can do before its deadlines.
Without refusal every queue grows until everything is answered too late, and
the work done on late tasks is lost (goodput collapse). A bound on length alone
does not help: 1,000 tasks are 0.3 s of work for one method and 300 s for
another, so the bound is on expected waiting time.

Grounds: the wait is Little's law over observed run times (queued work divided
by the slots that serve it), capped by the tenant's own backlog over its quota,
since fair order lets no tenant wait behind another's excess.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

import xxhash

from cassiaturn.entities import Reason, RequestClass
from cassiaturn.policy._run_times import RunTimes
from cassiaturn.policy._service_rates import ServiceRates
from cassiaturn.policy._settings import AdmissionSettings

_HASH_RANGE = float(1 << 64)


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """What admission needs to know of a submission."""

    submission_id: str
    """Its id; decides where in the retry-after interval its caller returns."""

    tenant: str
    """Its tenant."""

    caller: str
    """Its caller."""

    request_class: RequestClass
    """Its class."""

    method: str
    """Full method name."""

    tasks: int
    """Number of tasks."""

    expected_run_s: float
    """Expected run time of one task, in seconds."""

    deadline_in_s: float
    """Time until the caller's deadline, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadView:
    """Load of the instance when a submission arrives; filled in O(1)."""

    now: float
    """Present time, in seconds."""

    slots: int
    """Slots of the targets this instance holds and may use."""

    busy: int
    """Those in use."""

    queued_by_class: Mapping[RequestClass, int]
    """Queued tasks of each class here."""

    tenant_running: int
    """Running tasks of the tenant, of this instance as home."""

    tenant_queued: int
    """Queued tasks of the tenant here."""

    tenant_quota_slots: float
    """Slots that the tenant's quota gives it at this instance; 0: no quota."""

    mean_run_s_by_class: Mapping[RequestClass, float] = field(default_factory=dict)
    """Observed mean run time of each class, in seconds; a class that is missing
    counts as the request."""

    peers_free_slots: int = 0
    """Free slots that peers report."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Admit:
    """The submission is accepted."""

    expected_wait_s: float
    """Expected wait of its first task, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """The submission is refused; nothing of it has started or will."""

    reason: Reason
    """Why."""

    retry_after_s: float
    """When to come back, in seconds; 0: coming back does not help."""

    detail: str
    """One sentence for people."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Estimate:
    wait_s: float
    """Expected wait of the first task, in seconds."""

    job_s: float
    """Time from the first start to the last end on free slots, in seconds."""

    is_over_quota: bool
    """Whether the tenant has more running and queued than its quota serves."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Problem:
    reason: Reason
    excess_s: float
    """How long until the limit is met again, in seconds."""

    detail: str


Rule: TypeAlias = Callable[
    [AdmissionRequest, _Estimate, AdmissionSettings, float], _Problem | None
]

_rules: list[Rule] = []
"""Grounds for a refusal, in the order in which they are tried."""


def _rule(check: Rule) -> Rule:
    """Register a ground for refusal."""
    _rules.append(check)
    return check


@_rule
def _too_large(
    request: AdmissionRequest,
    estimate: _Estimate,
    settings: AdmissionSettings,
    scale: float,
) -> _Problem | None:
    if estimate.job_s <= request.deadline_in_s:
        return None
    detail = (
        f"{request.tasks} tasks need about {estimate.job_s:.2f} s on free slots,"
        f" the deadline is in {request.deadline_in_s:.2f} s"
    )
    return _Problem(reason=Reason.DEADLINE, excess_s=0.0, detail=detail)


@_rule
def _too_late(
    request: AdmissionRequest,
    estimate: _Estimate,
    settings: AdmissionSettings,
    scale: float,
) -> _Problem | None:
    limit_s = request.deadline_in_s * settings.safety * scale
    excess_s = estimate.wait_s + estimate.job_s - limit_s
    if excess_s <= 0.0 or estimate.wait_s <= 0.0:
        return None
    detail = (
        f"expected answer in {estimate.wait_s + estimate.job_s:.2f} s,"
        f" the deadline is in {request.deadline_in_s:.2f} s"
    )
    return _Problem(reason=_blame(estimate), excess_s=excess_s, detail=detail)


@_rule
def _too_long(
    request: AdmissionRequest,
    estimate: _Estimate,
    settings: AdmissionSettings,
    scale: float,
) -> _Problem | None:
    limit_s = settings.max_wait_s_by_class[request.request_class] * scale
    excess_s = estimate.wait_s - limit_s
    if excess_s <= 0.0:
        return None
    detail = f"expected wait {estimate.wait_s:.2f} s, {limit_s:.2f} s are allowed"
    return _Problem(reason=_blame(estimate), excess_s=excess_s, detail=detail)


def _blame(estimate: _Estimate) -> Reason:
    return Reason.QUOTA if estimate.is_over_quota else Reason.OVERLOAD


class Admission:
    """Decides on each submission of an instance, and learns run times."""

    def __init__(self, *, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._run_times = RunTimes(settings=settings)
        self._rates = ServiceRates()
        self._refusing: set[tuple[str, RequestClass]] = set()

    def reconfigure(self, settings: AdmissionSettings) -> None:
        """Put other tunables in force; what was learned is kept."""
        self._settings = settings

    def decide(self, request: AdmissionRequest, load: LoadView) -> Admit | Refuse:
        """Admit a submission or refuse it, at once.

        :param request: the submission.
        :param load: the instance's load.
        """
        settings = self._settings
        slots_above = self._rates.slots_above(request.request_class, load.now)
        least_share = settings.least_share_by_class.get(request.request_class, 1.0)
        estimate = _estimate(request, load, slots_above, least_share)
        gate = (request.tenant, request.request_class)
        scale = settings.resume if gate in self._refusing else 1.0
        for rule in _rules:
            problem = rule(request, estimate, settings, scale)
            if problem is not None:
                if problem.excess_s > 0.0:
                    self._refusing.add(gate)
                return self._refusal(request, problem)
        self._refusing.discard(gate)
        return Admit(expected_wait_s=estimate.wait_s)

    def observe_run(
        self, method: str, request_class: RequestClass, run_s: float
    ) -> None:
        """Learn from the observed run time of a task, in seconds."""
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
        # Callers refused in one moment would come back in one moment, and all
        # but the first be refused again. The hash puts each in its own place of
        # an interval as long as the backlog takes to drain.
        settings = self._settings
        start_s = min(
            max(excess_s, settings.min_retry_after_s), settings.max_retry_after_s
        )
        place = xxhash.xxh3_64_intdigest(submission_id.encode()) / _HASH_RANGE
        return start_s * (1.0 + settings.spread * place)


def _estimate(
    request: AdmissionRequest, load: LoadView, slots_above: float, least_share: float
) -> _Estimate:
    slots = load.slots + load.peers_free_slots
    if slots <= 0:
        return _Estimate(wait_s=math.inf, job_s=0.0, is_over_quota=False)
    ahead_s = 0.0
    ahead = 0
    for request_class, queued in load.queued_by_class.items():
        if queued and request_class <= request.request_class:
            ahead += queued
            ahead_s += queued * load.mean_run_s_by_class.get(
                request_class, request.expected_run_s
            )
    rounds = -(-request.tasks // slots)
    idle_job_s = rounds * request.expected_run_s
    quota_slots = min(load.tenant_quota_slots, float(slots))
    is_over_quota = 0.0 < quota_slots < load.tenant_running + load.tenant_queued
    free = load.slots - load.busy + load.peers_free_slots
    if ahead < free:
        return _Estimate(wait_s=0.0, job_s=idle_job_s, is_over_quota=is_over_quota)
    left = max(slots - slots_above, least_share * slots)
    wait_s = ahead_s / left
    job_s = request.tasks * request.expected_run_s / left
    if quota_slots > 0.0:
        own_slots = quota_slots * left / slots
        own_s = load.tenant_queued * request.expected_run_s / own_slots
        own_job_s = request.tasks * request.expected_run_s / own_slots
        if own_s + own_job_s < wait_s + job_s:
            wait_s = own_s
            job_s = own_job_s
    job_s = max(job_s, idle_job_s)
    return _Estimate(wait_s=wait_s, job_s=job_s, is_over_quota=is_over_quota)
