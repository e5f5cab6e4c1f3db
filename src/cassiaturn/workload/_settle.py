"""Ends a job: records its one outcome and stops its remaining runs."""

from cassiaturn.observability import Event
from cassiaturn.workload._job_timing import job_timing
from cassiaturn.workload._ports import Ports
from cassiaturn.workload._tables import (
    EndedJob,
    Job,
    Outcome,
    Run,
    RunState,
    Tables,
    Verdict,
)


def settle(
    tables: Tables, ports: Ports, job: Job, outcome: Outcome, now: float
) -> None:
    """Send a job's outcome to its callers and stop its remaining runs."""
    _count_outcome(tables, job, outcome, now)
    ports.finish(job, outcome)
    ports.record(
        Event.JOB_ENDED,
        id=job.job_id,
        route=job.route.name,
        verdict=outcome.verdict,
        reason=outcome.reason,
        age_ms=round((now - job.arrived_at) * 1000),
        begun=job.begun,
        tasks=len(job.tasks_by_ref),
        left=job.remaining,
    )
    if job.begun and (job.is_tight or outcome.verdict is Verdict.ABANDONED):
        _record_timing(tables, ports, job, outcome, now)
    remove_ended_job(tables, ports, job, outcome, now)


def _record_timing(
    tables: Tables, ports: Ports, job: Job, outcome: Outcome, now: float
) -> None:
    timing = job_timing(tables, job, now)
    critical = timing.critical
    ports.record(
        Event.JOB_TIMED,
        id=job.job_id,
        route=job.route.name,
        served=outcome.verdict is Verdict.COMPLETED and now <= job.deadlines.limit_at,
        reason=outcome.reason,
        tasks=len(job.tasks_by_ref),
        work_cpu_s=round(timing.work_cpu_s, 2),
        limit_ms=_milliseconds(job.deadlines.limit_at - job.arrived_at),
        first_start_ms=_milliseconds(timing.first_start_s),
        fastest_ms=_milliseconds(timing.fastest_s),
        critical=f"{critical.task_index}@{critical.target_id or 'none'}",
        start_ms=_milliseconds(critical.start_s),
        lost_ms=_milliseconds(critical.lost_s),
        run_ms=_milliseconds(critical.run_s),
        slower=round(critical.slower, 3),
    )


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)


def remove_ended_job(
    tables: Tables, ports: Ports, job: Job, outcome: Outcome | None, now: float
) -> None:
    """Remove a job from the tables and stop its remaining runs.

    :param outcome: the answer to a late resubmission; None: a resubmitted job runs
        again.
    """
    tables.remove_job(job)
    next_run = max(task.next_run for task in job.tasks_by_ref.values())
    tables.ended_jobs_by_id[job.job_id] = EndedJob(
        outcome=outcome, next_run=next_run, at=now
    )
    for task in job.tasks_by_ref.values():
        if task.run is not None:
            stop(tables, ports, task.run, now)


def stop(tables: Tables, ports: Ports, run: Run, now: float) -> None:
    """Order a run to stop; it counts as running until its end is confirmed."""
    run.state = RunState.STOPPING
    run.order_sent_at = now
    tables.counters.stops += 1
    ports.stop(run)


def _count_outcome(tables: Tables, job: Job, outcome: Outcome, now: float) -> None:
    match outcome.verdict:
        case Verdict.COMPLETED:
            tables.counters.completed += 1
            is_late = now > job.deadlines.due_at
            tables.start_counts.answers += job.is_prompt
            tables.start_counts.late_answers += job.is_prompt and is_late
        case Verdict.REFUSED:
            tables.counters.refused += 1
        case _:
            tables.counters.failed += 1
