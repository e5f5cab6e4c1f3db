"""Decides which jobs to refuse, by the policy that the settings name."""

from collections.abc import Callable
from typing import TypeAlias

from cassiaturn.sharing import latest_start, spread_retry_after
from cassiaturn.workload._backlog import backlog_s
from cassiaturn.workload._forecast import delayed_wait_s, forecast_wait_s, margin_of
from cassiaturn.workload._tables import Job, Outcome, Tables, Verdict

AdmissionPolicy: TypeAlias = Callable[[Tables, Job, float], "Outcome | None"]
"""Returns a refusal of a job of which nothing has begun, or None: it is admitted. The
last argument is the time in seconds."""

_POLICY_BY_NAME: dict[str, AdmissionPolicy] = {}


def admission_policy(name: str) -> Callable[[AdmissionPolicy], AdmissionPolicy]:
    """Register a policy under the name that the settings give it."""

    def register(policy: AdmissionPolicy) -> AdmissionPolicy:
        _POLICY_BY_NAME[name] = policy
        return policy

    return register


def refuse_by_policy(tables: Tables, job: Job, now: float) -> Outcome | None:
    """Return a refusal of a new job by the policy in force; None: it is admitted.

    :param now: time in seconds.
    """
    return _POLICY_BY_NAME[tables.settings.admission](tables, job, now)


@admission_policy("backlog")
def _refuse_by_backlog(tables: Tables, job: Job, now: float) -> Outcome | None:
    """Refuse a job that the queued work ahead makes too late for its caller."""
    excess_s = excess_wait_s(tables, job, now)
    if excess_s <= 0.0:
        return None
    return make_refusal(
        "backlog", job, max(tables.settings.min_retry_after_s, excess_s)
    )


@admission_policy("forecast")
def _refuse_by_forecast(tables: Tables, job: Job, now: float) -> Outcome | None:
    """Refuse a job whose forecast answer comes when it is no longer useful."""
    forecast = tables.forecast
    if forecast is None:
        raise AssertionError("admission by forecast without a forecast")
    wait_s = forecast_wait_s(tables, job, now)
    queue = tables.queue_by_service.get(job.route.service)
    if wait_s == float("inf") or (wait_s == 0.0 and not queue):
        # Nothing is known for a forecast, or the job takes nobody's place.
        return _refuse_by_backlog(tables, job, now)
    wait_s = delayed_wait_s(tables, job, wait_s, now)
    margin_s = margin_of(forecast, job.priority, now) if wait_s else 0.0
    excess_s = forecast_excess_s(job, wait_s + margin_s, now)
    if excess_s <= 0.0:
        job.forecast_start_at = now + wait_s
        return None
    tables.counters.refused_by_forecast += 1
    return make_refusal(
        "forecast", job, max(tables.settings.min_retry_after_s, excess_s)
    )


def forecast_excess_s(job: Job, wait_s: float, now: float) -> float:
    """Return by how much a job's answer is too late to be useful, in seconds.

    :param wait_s: time until its first start, in seconds.
    :param now: time in seconds.
    """
    return now + wait_s + job.expected_run_s - job.deadlines.useful_until


def excess_wait_s(tables: Tables, job: Job, now: float) -> float:
    """Return how much too long a job would wait in the queue to be answered in time.

    :returns: in seconds; at most 0 if it can be answered.
    """
    wait_s = backlog_s(tables, job, now)
    start_by = latest_start(
        limit_at=job.deadlines.limit_at,
        expected_run_s=job.expected_run_s,
        is_idle=wait_s == 0.0,
    )
    return now + wait_s - (start_by - tables.settings.refusal_margin_s)


def make_refusal(reason: str, job: Job, retry_after_s: float) -> Outcome:
    """Return a refusal that tells its caller when to retry.

    :param reason: the rule that decided, as logged.
    :param retry_after_s: time until capacity may be free, in seconds.
    """
    return Outcome(
        verdict=Verdict.REFUSED,
        reason=reason,
        retry_after_s=spread_retry_after(job.job_id, retry_after_s),
    )
