"""Refuses queued jobs whose answers can no longer be useful.

Load pattern: bursts of 1.75 and 3 times what targets have room for, in which more
urgent jobs arrive after a job that was admitted, or targets are lost. Without this
check three callers wait in vain for each one that is refused.

Grounds: a refusal is of use to a caller that can still go elsewhere. Each queued job is
checked when it must start for a useful answer; before that, some are checked in turn.
"""

import heapq

from cassiaturn.observability import Event
from cassiaturn.workload._admission import forecast_excess_s, make_refusal
from cassiaturn.workload._forecast import forecast_wait_s, note_first_start
from cassiaturn.workload._ports import Ports
from cassiaturn.workload._settle import settle
from cassiaturn.workload._tables import ForecastState, Job, Tables

MAX_CHECKS = 32
"""Jobs checked in turn at each tick: with 2,000 queued jobs, all within 3 s."""

MAX_LATEST_CHECKS = 256
"""Jobs checked at each tick because they must start now: 5,000 a second."""

RECHECK_S = 0.05
"""Time after which such a job is checked again if there is room for it now, in seconds:
it starts meanwhile unless something else prevents that."""


def note_queued(tables: Tables, job: Job) -> None:
    """Schedule the check of a job that was admitted and has not begun."""
    if tables.forecast is not None and not job.begun:
        entry = (_latest_useful_start(job), job.job_id)
        heapq.heappush(tables.forecast.latest_starts, entry)


def refuse_hopeless(tables: Tables, ports: Ports, now: float) -> None:
    """Refuse queued jobs that have not begun and cannot get a useful answer.

    :param now: time in seconds.
    """
    forecast = tables.forecast
    if forecast is None:
        return
    for job in _due_jobs(tables, forecast, now):
        if not _refuse_if_hopeless(tables, ports, job, now):
            entry = (max(now + RECHECK_S, _latest_useful_start(job)), job.job_id)
            heapq.heappush(forecast.latest_starts, entry)
    if not forecast.to_check:
        forecast.to_check.extend(tables.jobs_by_id)
    for _ in range(min(MAX_CHECKS, len(forecast.to_check))):
        job_or_none = tables.jobs_by_id.get(forecast.to_check.popleft())
        if job_or_none is not None and not job_or_none.begun:
            _refuse_if_hopeless(tables, ports, job_or_none, now)


def _due_jobs(tables: Tables, forecast: ForecastState, now: float) -> list[Job]:
    """Return jobs that must start now for a useful answer, up to a limit."""
    due: list[Job] = []
    heap = forecast.latest_starts
    while heap and heap[0][0] <= now and len(due) < MAX_LATEST_CHECKS:
        job = tables.jobs_by_id.get(heapq.heappop(heap)[1])
        if job is not None and not job.begun:
            due.append(job)
    return due


def _refuse_if_hopeless(tables: Tables, ports: Ports, job: Job, now: float) -> bool:
    """Refuse a job if its forecast answer is too late; return whether it was."""
    wait_s = forecast_wait_s(tables, job, now)
    if wait_s == float("inf"):
        # Nothing is known for a forecast: other rules decide how long it is kept.
        return False
    excess_s = forecast_excess_s(job, wait_s, now)
    if wait_s <= 0.0 or excess_s <= 0.0:
        return False
    note_first_start(tables, job, now)
    tables.counters.refused_hopeless += 1
    ports.record(
        Event.JOB_HOPELESS,
        id=job.job_id,
        route=job.route.name,
        wait_ms=round(wait_s * 1000),
        excess_ms=round(excess_s * 1000),
        queued_ms=round((now - job.arrived_at) * 1000),
        queued=len(tables.jobs_by_id),
    )
    retry_after_s = max(tables.settings.min_retry_after_s, excess_s)
    settle(tables, ports, job, make_refusal("forecast_lost", job, retry_after_s), now)
    return True


def _latest_useful_start(job: Job) -> float:
    return job.deadlines.useful_until - job.expected_run_s
