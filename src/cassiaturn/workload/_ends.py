"""Applies the ends of runs to their tasks, jobs and targets."""

from collections.abc import Iterable

from cassiaturn.entities import (
    EndedRun,
    RunEnd,
    TaskRef,
)
from cassiaturn.observability import Event
from cassiaturn.sharing import failed_target_pause_s
from cassiaturn.workload._dispatch import requeue_task
from cassiaturn.workload._forecast import forget_run
from cassiaturn.workload._ports import Ports
from cassiaturn.workload._settle import settle, stop
from cassiaturn.workload._tables import (
    Job,
    Outcome,
    Run,
    Tables,
    Target,
    Task,
    UnclaimedEnd,
    Verdict,
)

SLOWNESS_WEIGHT = 0.3
"""Weight of one run in a target's slowness: after three runs, a target that takes four
times as long can be told from one that ran a single long task."""

MAX_HEALTHY_SLOWNESS = 1.5
"""Slowness below which a target's runs count towards expected run times and speeds: a
degraded target says nothing about the others."""


def apply_run_end(
    tables: Tables, ports: Ports, target: Target, ended: EndedRun, now: float
) -> None:
    """Record that a run has ended, and complete, fail or requeue its task."""
    run = target.runs_by_ref.get(ended.ref)
    if run is not None and run.number == ended.run:
        remove_run(tables, target, run)
    elif run is not None:
        return
    job = tables.jobs_by_id.get(ended.ref.job_id)
    if job is None:
        _keep_unclaimed(tables, target, ended, now)
        return
    task = job.tasks_by_ref.get(ended.ref)
    if task is None or task.done or (task.run is not None and task.run is not run):
        return
    if run is not None:
        _update_target_health(tables, target, job, run, ended.end, now)
        task.length_s = 0.0 if run.is_adopted else now - run.started_at
    if ended.end is RunEnd.DONE:
        _complete(tables, ports, job, task, now)
    elif ended.end is RunEnd.FAILED:
        _fail(tables, ports, job, task, target.target_id, now)
    else:
        ports.record(
            Event.RUN_ENDED,
            id=job.job_id,
            task=ended.ref.task_index,
            target=target.target_id,
            end=ended.end,
        )
        requeue_task(tables, ended.ref)


def apply_completed(
    tables: Tables,
    ports: Ports,
    job: Job,
    completed: frozenset[TaskRef],
    now: float,
) -> None:
    """Record tasks of a job that are done under an earlier leader.

    That leader has acknowledged their ends, so their targets list them no more, and
    the tasks would run again.

    :param completed: references of these tasks.
    """
    for task in list(job.tasks_by_ref.values()):
        if task.ref not in completed or task.done:
            continue
        job.begun = True
        run = task.run
        ports.record(Event.TASK_INHERITED_DONE, id=job.job_id, task=task.ref.task_index)
        _complete(tables, ports, job, task, now)
        if run is not None:
            stop(tables, ports, run, now)
        if job.job_id not in tables.jobs_by_id:
            return


def note_done(
    tables: Tables, ports: Ports, refs: Iterable[TaskRef], now: float
) -> None:
    """Record tasks that are done under an earlier leader, as another member kept them.

    Their jobs may not have been passed on to this leader yet.
    """
    refs_by_job: dict[str, set[TaskRef]] = {}
    for ref in refs:
        refs_by_job.setdefault(ref.job_id, set()).add(ref)
    for job_id, done in refs_by_job.items():
        job = tables.jobs_by_id.get(job_id)
        if job is not None:
            apply_completed(tables, ports, job, frozenset(done), now)
            continue
        for ref in done:
            ended = EndedRun(sequence=0, ref=ref, run=0, end=RunEnd.DONE)
            tables.unclaimed_ends_by_ref[ref] = UnclaimedEnd(
                ended=ended, target_id="", at=now
            )


def apply_unclaimed_ends(tables: Tables, ports: Ports, job: Job, now: float) -> None:
    """Apply the ends of a job's tasks that targets listed before the job.

    Most tasks end between the last message of a leader and the first list that its
    successor receives, and a target forgets an end once it is acknowledged. If these
    tasks ran again, they would take their time twice, and their callers would get a
    late answer or none.
    """
    for task in list(job.tasks_by_ref.values()):
        unclaimed_end = tables.unclaimed_ends_by_ref.pop(task.ref, None)
        if unclaimed_end is None or task.done:
            continue
        job.begun = True
        task.next_run = max(task.next_run, unclaimed_end.ended.run + 1)
        ports.record(
            Event.RUN_ENDED,
            id=job.job_id,
            task=task.ref.task_index,
            target=unclaimed_end.target_id,
            end=unclaimed_end.ended.end,
            age_ms=round((now - unclaimed_end.at) * 1000),
        )
        if unclaimed_end.ended.end is RunEnd.DONE:
            _complete(tables, ports, job, task, now)
        else:
            _fail(tables, ports, job, task, unclaimed_end.target_id, now)
        if job.job_id not in tables.jobs_by_id:
            return


def _keep_unclaimed(
    tables: Tables, target: Target, ended: EndedRun, now: float
) -> None:
    if ended.end in (RunEnd.DONE, RunEnd.FAILED):
        tables.unclaimed_ends_by_ref[ended.ref] = UnclaimedEnd(
            ended=ended, target_id=target.target_id, at=now
        )


def remove_run(tables: Tables, target: Target, run: Run) -> None:
    """Remove a run that has certainly ended, and free its resources."""
    del target.runs_by_ref[run.ref]
    forget_run(tables, target, run)
    if tables.runs_by_ref.get(run.ref) is run:
        del tables.runs_by_ref[run.ref]
    if run.group is not None:
        target.release(run.group.resources, run.group_key)


def _update_target_health(
    tables: Tables, target: Target, job: Job, run: Run, end: RunEnd, now: float
) -> None:
    if end is RunEnd.DONE:
        target.failures_in_row = 0
        if run.is_adopted:
            return
        run_s = (now - run.started_at) / run.remote_factor
        update_slowness(target, job, run_s)
        target.note_change()
        if target.slowness < MAX_HEALTHY_SLOWNESS:
            tables.expected.observe(job.route.name, run_s)
    elif end is RunEnd.FAILED:
        target.failures_in_row += 1
        pause_s = failed_target_pause_s(target.failures_in_row)
        target.paused_until = max(target.paused_until, now + pause_s)


def _update_target_speeds(tables: Tables, ports: Ports, job: Job) -> None:
    """Update the speeds of targets from the run times of a complete job."""
    expected = tables.expected
    name = job.route.name
    runs = [
        (
            target,
            task.length_s
            / task.remote_factor
            / expected.expected_s(name, task.group.expected_run_s),
        )
        for task in job.tasks_by_ref.values()
        if task.length_s and task.first_started_at == task.last_started_at
        if (target := tables.targets_by_id.get(task.last_target_id)) is not None
        if target.slowness < MAX_HEALTHY_SLOWNESS
    ]
    if not runs:
        return
    steps = [target.speed.step for target, _ in runs]
    tables.speeds_by_service[job.route.service].observe_job(
        [(target.speed, ratio) for target, ratio in runs]
    )
    for step, (target, _) in zip(steps, runs, strict=True):
        if target.speed.step != step:
            target.note_change()
            ports.record(
                Event.TARGET_SPEED, target=target.target_id, ratio=target.speed.ratio
            )


def update_slowness(target: Target, job: Job, run_s: float) -> None:
    """Update a target's slowness from the actual or predicted time of a run.

    :param run_s: length that the run would have near its data, or a lower bound of
        it, in seconds.
    """
    ratio = run_s / max(job.expected_run_s, 1e-3)
    target.slowness += SLOWNESS_WEIGHT * (min(ratio, 10.0) - target.slowness)
    target.note_change()


def _complete(tables: Tables, ports: Ports, job: Job, task: Task, now: float) -> None:
    task.done = True
    task.run = None
    if task in job.waiting:
        job.waiting.remove(task)
        tables.requeue(job)
    job.remaining_by_group[task.ref.group] -= 1
    if job.remaining == 0:
        _update_target_speeds(tables, ports, job)
        settle(
            tables,
            ports,
            job,
            Outcome(verdict=Verdict.COMPLETED, reason="all_done"),
            now,
        )


def _fail(
    tables: Tables, ports: Ports, job: Job, task: Task, target_id: str, now: float
) -> None:
    task.failures += 1
    task.avoided |= {target_id}
    ports.record(
        Event.TASK_FAILED,
        id=job.job_id,
        task=task.ref.task_index,
        target=target_id,
        failures=task.failures,
        attempts=job.route.max_attempts,
    )
    requeue_task(tables, task.ref)
    if task.failures >= job.route.max_attempts:
        outcome = Outcome(verdict=Verdict.FAILED, reason="task_failed")
        settle(tables, ports, job, outcome, now)
