"""Periodic checks: deadlines, stalls, repeated stop orders, expired records."""

from cassiaturn.observability import Event
from cassiaturn.sharing import Lateness, latest_start, stuck_job_deadline
from cassiaturn.workload._admission import make_refusal
from cassiaturn.workload._dispatch import dispatch, requeue_task, waits_for_earlier_runs
from cassiaturn.workload._forecast import reconcile_targets
from cassiaturn.workload._hopeless import refuse_hopeless
from cassiaturn.workload._ports import Ports
from cassiaturn.workload._settle import settle, stop
from cassiaturn.workload._tables import (
    Job,
    Outcome,
    Run,
    RunState,
    Tables,
    Target,
    Verdict,
)

SLOWNESS_DECAY_PER_TICK = 0.98
"""Part of a target's excess slowness that remains after a tick. Half of it is gone in
1.7 s at 20 ticks a second, so that a recovered target is tried again."""

MIN_STALL_RATIO = 0.05
"""Minimum time without progress after which a run counts as stalled, as a share of its
expected length: progress is reported in steps of 1%, and a slow target takes several
times as long for each."""


def tick(tables: Tables, ports: Ports, now: float) -> Lateness | None:
    """Run all periodic checks once, then start queued tasks.

    :param now: time in seconds.
    :returns: the result of :func:`dispatch`.
    """
    reconcile_targets(tables, now)
    _check_jobs(tables, ports, now)
    _check_runs(tables, ports, now)
    _expire_records(tables, now)
    changed_services = {
        service
        for service, speed_model in tables.speeds_by_service.items()
        if speed_model.shared_effects_changed()
    }
    for target in tables.targets_by_id.values():
        was_slow = target.is_slow
        target.slowness = 1.0 + (target.slowness - 1.0) * SLOWNESS_DECAY_PER_TICK
        if was_slow or target.service in changed_services:
            target.note_change()
    return dispatch(tables, ports, now)


def next_check(tables: Tables, now: float) -> float | None:
    """Return when the next tick is due, in seconds.

    :returns: None if nothing is queued or running, so that a tick changes nothing.
    """
    if tables.jobs_by_id or tables.runs_by_ref:
        return now
    return None


def has_tight_runs(tables: Tables, target: Target) -> bool:
    """Return whether a run on a target may still turn out too slow for its caller."""
    return any(
        job.is_tight
        for ref in target.runs_by_ref
        if (job := tables.jobs_by_id.get(ref.job_id)) is not None
    )


def _check_jobs(tables: Tables, ports: Ports, now: float) -> None:
    refuse_hopeless(tables, ports, now)
    _refuse_overdue(tables, ports, now)
    _end_unreachable_jobs(tables, ports, now)
    for job in list(tables.jobs_by_id.values()):
        if not job.begun:
            continue
        if now >= job.deadlines.limit_at:
            outcome = Outcome(verdict=Verdict.ABANDONED, reason="limit_passed")
            settle(tables, ports, job, outcome, now)
        elif _waits_too_long(tables, job, now):
            outcome = Outcome(verdict=Verdict.ABANDONED, reason="held_too_long")
            settle(tables, ports, job, outcome, now)
        elif _cannot_finish(job):
            outcome = Outcome(verdict=Verdict.ABANDONED, reason="cannot_finish")
            settle(tables, ports, job, outcome, now)


def _refuse_overdue(tables: Tables, ports: Ports, now: float) -> None:
    """Refuse jobs that never began and can hardly be answered in time."""
    settings = tables.settings
    for queue in tables.queue_by_service.values():
        for job in queue.take_overdue(now + settings.refusal_margin_s):
            _refuse(tables, ports, job, "no_room_in_time", now)
    if tables.targets_by_id or now < tables.began_at + settings.directory_wait_s:
        return
    for job in list(tables.jobs_by_id.values()):
        _refuse(tables, ports, job, "no_target", now)


def _end_unreachable_jobs(tables: Tables, ports: Ports, now: float) -> None:
    """End jobs of services whose targets have been unreachable for too long.

    This leader may be partitioned; another member may serve their callers.
    """
    for service, queue in tables.queue_by_service.items():
        unreached = tables.unreached_since_by_service
        if not queue or tables.has_responding_target(service):
            unreached.pop(service, None)
            continue
        since = unreached.setdefault(service, now)
        for job in list(queue.in_order()):
            kept_until = stuck_job_deadline(
                stuck_since=max(since, job.arrived_at),
                limit_at=job.deadlines.limit_at,
                expected_run_s=job.expected_run_s,
                has_begun=job.begun,
            )
            if now < kept_until:
                continue
            if job.begun:
                outcome = Outcome(verdict=Verdict.ABANDONED, reason="no_target")
            else:
                outcome = make_refusal(
                    "no_target", job, tables.settings.min_retry_after_s
                )
            settle(tables, ports, job, outcome, now)


def end_unstarted(tables: Tables, ports: Ports, *, before: float, now: float) -> None:
    """End the jobs of this leader's own callers that may run under another leader.

    A job of which a run is known here goes on: its targets still obey this leader.

    :param before: jobs that arrived later are kept, in seconds.
    """
    for job in list(tables.jobs_by_id.values()):
        if job.arrived_at > before or any(
            ref in tables.runs_by_ref for ref in job.tasks_by_ref
        ):
            continue
        outcome = Outcome(verdict=Verdict.ABANDONED, reason="leader_paused")
        if not job.begun:
            outcome = make_refusal(
                "leader_paused", job, tables.settings.min_retry_after_s
            )
        settle(tables, ports, job, outcome, now)


def _refuse(tables: Tables, ports: Ports, job: Job, reason: str, now: float) -> None:
    if not job.begun:
        outcome = make_refusal(reason, job, tables.settings.min_retry_after_s)
        settle(tables, ports, job, outcome, now)


def _waits_too_long(tables: Tables, job: Job, now: float) -> bool:
    """Return whether an inherited job must wait until after its latest start."""
    if not job.waiting or now < tables.began_at + tables.settings.first_list_timeout_s:
        return False
    start_by = latest_start(
        limit_at=job.deadlines.limit_at,
        expected_run_s=job.expected_run_s,
        is_idle=True,
    )
    return job.hold_until > start_by and waits_for_earlier_runs(tables, job, now)


def _cannot_finish(job: Job) -> bool:
    """Return whether a running task will certainly end after the limit."""
    return any(
        task.run is not None
        and task.run.started_at + task.run.least_run_s > job.deadlines.limit_at
        for task in job.tasks_by_ref.values()
    )


def _check_runs(tables: Tables, ports: Ports, now: float) -> None:
    settings = tables.settings
    for run in list(tables.runs_by_ref.values()):
        target = tables.targets_by_id[run.target_id]
        if target.silent:
            # Its lease ends its runs; orders to stop would only accumulate.
            continue
        if run.state in (RunState.STOPPING, RunState.UNCERTAIN):
            if now - run.order_sent_at >= settings.stop_resend_interval_s:
                run.order_sent_at = now
                ports.stop(run)
        elif run.group is None:
            if now > tables.began_at + settings.orphan_grace_s:
                ports.record(
                    Event.RUN_ORPHANED, id=run.ref.job_id, target=run.target_id
                )
                stop(tables, ports, run, now)
        elif run.state is RunState.RUNNING and _is_stalled(tables, run):
            _replace_stalled_run(tables, ports, run, now)


def _is_stalled(tables: Tables, run: Run) -> bool:
    """Return whether a run has shown no progress for the stall timeout.

    Only the time up to the last list that includes it counts.
    """
    job = tables.jobs_by_id.get(run.ref.job_id)
    expected_run_s = job.expected_run_s if job is not None else 0.0
    expected_run_s *= run.remote_factor
    stall_timeout_s = max(
        tables.settings.stall_timeout_s, MIN_STALL_RATIO * expected_run_s
    )
    return run.last_reported_at - run.progress_changed_at >= stall_timeout_s


def _replace_stalled_run(tables: Tables, ports: Ports, run: Run, now: float) -> None:
    """Stop a stalled run; its task then starts on another target."""
    target = tables.targets_by_id[run.target_id]
    target.paused_until = max(target.paused_until, now + tables.settings.stall_pause_s)
    ports.record(
        Event.RUN_STALLED,
        id=run.ref.job_id,
        task=run.ref.task_index,
        target=run.target_id,
        percent=run.percent,
        age_ms=round((now - run.started_at) * 1000),
    )
    stop(tables, ports, run, now)
    job = tables.jobs_by_id.get(run.ref.job_id)
    if job is not None:
        job.tasks_by_ref[run.ref].avoided |= {run.target_id}
        requeue_task(tables, run.ref)


def _expire_records(tables: Tables, now: float) -> None:
    _expire_unclaimed_ends(tables, now)
    ended_jobs = tables.ended_jobs_by_id
    while ended_jobs:
        job_id, oldest = next(iter(ended_jobs.items()))
        if now - oldest.at < tables.settings.ended_job_retention_s:
            return
        del ended_jobs[job_id]


def _expire_unclaimed_ends(tables: Tables, now: float) -> None:
    unclaimed_ends = tables.unclaimed_ends_by_ref
    while unclaimed_ends:
        ref, oldest = next(iter(unclaimed_ends.items()))
        if now - oldest.at < tables.settings.unclaimed_end_retention_s:
            return
        del unclaimed_ends[ref]
