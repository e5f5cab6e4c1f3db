"""Processes the answers of targets to orders, and their lists of runs."""

from cassiaturn.entities import (
    LeaseReport,
    RunningTask,
    StartAnswer,
    TaskRef,
)
from cassiaturn.observability import Event
from cassiaturn.sharing import Progress, failed_target_pause_s
from cassiaturn.workload._dispatch import requeue_task
from cassiaturn.workload._ends import apply_run_end, remove_run, update_slowness
from cassiaturn.workload._forecast import (
    note_run,
    note_target,
    remaining_by_progress,
)
from cassiaturn.workload._intake import adopt_run
from cassiaturn.workload._ports import Ports
from cassiaturn.workload._settings import CLOCK_DRIFT_RATIO
from cassiaturn.workload._settle import stop
from cassiaturn.workload._tables import (
    Run,
    RunState,
    Tables,
    Target,
)

MILLISECONDS_PER_SECOND = 1000


def on_start_answer(
    tables: Tables,
    ports: Ports,
    target_id: str,
    ref: TaskRef,
    number: int,
    answer: StartAnswer,
    now: float,
    *,
    clock_ms: int | None = None,
) -> None:
    """Process a target's answer to an order to start.

    :param number: run number of the start.
    :param now: time in seconds.
    :param clock_ms: the target's clock when it answered, in milliseconds.
    """
    target = tables.targets_by_id.get(target_id)
    run = target.runs_by_ref.get(ref) if target is not None else None
    if target is None or run is None or run.number != number:
        return
    if answer is StartAnswer.STARTED:
        _acknowledge_run(run, clock_ms, now)
        return
    ports.record(
        Event.START_REFUSED,
        id=ref.job_id,
        task=ref.task_index,
        run=number,
        target=target_id,
        answer=answer,
        age_ms=round((now - run.started_at) * 1000),
    )
    if answer is StartAnswer.UNKNOWN:
        # The run may begin at any time until its lease would have expired. An order to
        # stop makes the target refuse it from then on.
        if run.state is RunState.STARTING:
            run.state = RunState.UNCERTAIN
        stop(tables, ports, run, now)
        run.state = RunState.UNCERTAIN
        return
    tables.counters.refused_starts += 1
    _pause_after_refusal(tables, target, answer, now)
    remove_run(tables, target, run)
    requeue_task(tables, ref)
    if answer is StartAnswer.OUTDATED:
        _raise_next_run(tables, ref)


def on_stop_answer(
    tables: Tables, target_id: str, ref: TaskRef, number: int, now: float
) -> None:
    """Record that a target has carried out an order to stop."""
    target = tables.targets_by_id.get(target_id)
    run = target.runs_by_ref.get(ref) if target is not None else None
    if run is not None and run.number == number:
        run.last_reported_at = now
        run.is_acknowledged = True


def on_lease_report(
    tables: Tables,
    ports: Ports,
    target_id: str,
    report: LeaseReport,
    *,
    asked_at: float,
    now: float,
) -> None:
    """Process a target's list of current and ended runs.

    :param asked_at: when the request for this list was sent, in seconds.
    :param now: time in seconds.
    """
    target = tables.targets_by_id.get(target_id)
    if target is None:
        return
    if not target.has_reported or target.silent:
        ports.record(Event.TARGET_HEARD, target=target_id, runs=len(report.running))
    tables.note_reported(target)
    target.silent = False
    target.listed_incarnation = report.incarnation
    for ended in report.ended:
        if ended.sequence > target.ended_seen:
            target.ended_seen = ended.sequence
            apply_run_end(tables, ports, target, ended, now)
    listed: set[TaskRef] = set()
    strays: set[TaskRef] = set()
    for listing in report.running:
        listed.add(listing.ref)
        if not _apply_listing(tables, ports, target, listing, report.clock_ms, now):
            strays.add(listing.ref)
    if asked_at >= target.list_requested_at:
        # Lists can arrive out of order; an older one does not tell what runs now.
        target.list_requested_at = asked_at
        tables.set_stray_runs(target, strays)
    else:
        tables.set_stray_runs(target, target.stray_refs | strays)
    for run in list(target.runs_by_ref.values()):
        if (
            run.ref not in listed
            and run.is_acknowledged
            and run.last_reported_at < asked_at
        ):
            _remove_missing_run(tables, ports, target, run, now)
    note_target(tables, target, now)


def _apply_listing(
    tables: Tables,
    ports: Ports,
    target: Target,
    listing: RunningTask,
    clock_ms: int,
    now: float,
) -> bool:
    """Apply one entry of a list; return whether that run belongs to its task."""
    run = target.runs_by_ref.get(listing.ref)
    if run is not None and run.number == listing.run:
        _apply_progress(tables, target, run, listing, clock_ms, now)
        return True
    other_run = tables.runs_by_ref.get(listing.ref)
    listed_run = Run(
        ref=listing.ref,
        number=listing.run,
        target_id=target.target_id,
        group=None,
        state=RunState.RUNNING,
        started_at=now,
        last_reported_at=now,
        is_adopted=True,
        is_acknowledged=True,
        first_seen_clock_ms=clock_ms,
        percent=listing.percent,
        progress_changed_at=now,
    )
    if run is not None or other_run is not None:
        # A start was carried out late, after another run had replaced it.
        ports.record(
            Event.RUN_UNEXPECTED,
            id=listing.ref.job_id,
            task=listing.ref.task_index,
            run=listing.run,
            target=target.target_id,
        )
        ports.stop(listed_run)
        return False
    target.runs_by_ref[listed_run.ref] = listed_run
    tables.runs_by_ref[listed_run.ref] = listed_run
    job = tables.jobs_by_id.get(listed_run.ref.job_id)
    task = job.tasks_by_ref.get(listed_run.ref) if job is not None else None
    if job is not None and task is not None and task in job.waiting:
        adopt_run(tables, job, task, now)
    elif now > tables.began_at + tables.settings.orphan_grace_s:
        stop(tables, ports, listed_run, now)
    return True


def _apply_progress(
    tables: Tables,
    target: Target,
    run: Run,
    listing: RunningTask,
    clock_ms: int,
    now: float,
) -> None:
    first_seen_clock_ms = _acknowledge_run(run, clock_ms, now)
    if listing.percent == run.percent:
        return
    run.percent = listing.percent
    run.progress_changed_at = now
    # Measured by the target's clock: a busy leader reads a list some time after it was
    # made, and by its own clock would overestimate the run's length.
    elapsed_s = (
        (clock_ms - first_seen_clock_ms)
        / MILLISECONDS_PER_SECOND
        * (1.0 - CLOCK_DRIFT_RATIO)
    )
    progress = Progress(elapsed_s=elapsed_s, percent=listing.percent)
    run.least_run_s = max(run.least_run_s, progress.least_run_s())
    remaining_s = None
    if not run.is_adopted:
        remaining_s = remaining_by_progress(elapsed_s, listing.percent)
    note_run(tables, run, now, remaining_s=remaining_s)
    job = tables.jobs_by_id.get(run.ref.job_id)
    if job is not None and run.least_run_s and not run.is_adopted:
        update_slowness(target, job, run.least_run_s / run.remote_factor)


def _acknowledge_run(run: Run, clock_ms: int | None, now: float) -> int:
    """Record that a target has a run; return its clock when it first showed it."""
    run.last_reported_at = now
    run.is_acknowledged = True
    if run.state is RunState.STARTING:
        run.state = RunState.RUNNING
    if run.first_seen_clock_ms is None:
        run.first_seen_clock_ms = clock_ms
    return run.first_seen_clock_ms or 0


def _remove_missing_run(
    tables: Tables, ports: Ports, target: Target, run: Run, now: float
) -> None:
    was_wanted = run.state is RunState.RUNNING
    remove_run(tables, target, run)
    if was_wanted:
        tables.counters.lost_runs += 1
        ports.record(
            Event.RUN_LOST,
            id=run.ref.job_id,
            task=run.ref.task_index,
            target=target.target_id,
            reason="not_listed",
            age_ms=round((now - run.started_at) * 1000),
        )
    job = tables.jobs_by_id.get(run.ref.job_id)
    if job is not None and job.tasks_by_ref[run.ref].run is run:
        requeue_task(tables, run.ref)


def _pause_after_refusal(
    tables: Tables, target: Target, answer: StartAnswer, now: float
) -> None:
    settings = tables.settings
    pauses = {
        StartAnswer.UNHEALTHY: settings.unhealthy_pause_s,
        StartAnswer.NO_ROOM: settings.no_room_pause_s,
    }
    pause_s = pauses.get(answer, 0.0)
    if answer is StartAnswer.UNHEALTHY:
        target.failures_in_row += 1
        pause_s = max(pause_s, failed_target_pause_s(target.failures_in_row))
    target.paused_until = max(target.paused_until, now + pause_s)


def _raise_next_run(tables: Tables, ref: TaskRef) -> None:
    """Raise the next run number above those that an earlier leader may have used."""
    job = tables.jobs_by_id.get(ref.job_id)
    if job is not None:
        job.tasks_by_ref[ref].next_run += tables.settings.run_numbers_per_term
