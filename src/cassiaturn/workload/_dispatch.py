"""Starts queued tasks on targets with free resources, in queue order."""

from collections.abc import Callable

from cassiaturn.entities import TaskRef
from cassiaturn.observability import Event
from cassiaturn.sharing import (
    JobQueue,
    Lateness,
    TargetIndex,
    latest_start,
    queue_key,
    remote_rack_factor,
)
from cassiaturn.workload._backlog import usable_check
from cassiaturn.workload._forecast import note_first_start, note_run
from cassiaturn.workload._ports import Ports, StartOrder
from cassiaturn.workload._tables import Job, Run, RunState, Tables, Target, Task

MAX_STARTS_PER_TURN = 32
"""Starts after which the rest of a service's queue waits for the next turn, so that
jobs that have arrived meanwhile, and may be more urgent, are read first."""

MAX_TURN_S = 0.02
"""Longest time that the starts of one turn may take if their rate is known, in seconds.
On a slow host, 32 starts take longer than the most urgent jobs can wait."""

MIN_STARTS_PER_TURN = 8
"""Starts of one turn on any host: each turn has a cost of its own."""


def dispatch(tables: Tables, ports: Ports, now: float) -> Lateness | None:
    """Start queued tasks, up to a limit per service.

    :param now: time in seconds.
    :returns: the most urgent lateness class among the jobs left for the next turn;
        None: none was left.
    """
    remaining: list[Lateness] = []
    tables.left_waited_share = 0.0
    for service, queue in tables.queue_by_service.items():
        index = tables.index_by_service.get(service)
        if not queue or index is None:
            continue
        queue.advance(now)
        is_usable = usable_check(tables, service, now)
        if index.largest_free_cpu_millis(is_usable) >= queue.least_cpu_millis:
            first = _start_in_order(tables, ports, queue, index, is_usable, now)
            if first is not None:
                remaining.append(queue_key(first, now).lateness)
                share = _waited_share(first, now)
                tables.left_waited_share = max(tables.left_waited_share, share)
    return min(remaining, default=None)


def _start_in_order(
    tables: Tables,
    ports: Ports,
    queue: JobQueue[Job],
    index: TargetIndex[Target],
    is_usable: Callable[[Target], bool],
    now: float,
) -> Job | None:
    """Start tasks of the first queued jobs; return the first job left over."""
    started_count = 0
    max_starts = _max_starts(tables)
    free_cpu = index.largest_free_cpu_millis(is_usable)
    for job in queue.in_order():
        if free_cpu < queue.least_cpu_millis:
            return None
        if started_count >= max_starts:
            return job
        if job.least_cpu_millis > free_cpu or not _may_start(tables, job, now):
            continue
        started: list[Run] = []
        is_new = job.is_new
        for task in list(job.waiting):
            if task.group.resources.cpu_millis > free_cpu:
                break
            if not job.is_open(task.ref.group) or tables.may_still_run(task.ref):
                continue
            run = _start(tables, ports, job, task, index, is_usable, now)
            if run is not None:
                started.append(run)
                free_cpu = index.largest_free_cpu_millis(is_usable)
        if started:
            note_first_start(tables, job, now)
            _count_starts(tables, job, len(started), now, is_new=is_new)
            started_count += len(started)
            tables.requeue(job)
            _record_starts(ports, job, started, now)
    return None


def _waited_share(job: Job, now: float) -> float:
    """Return which part of the time until its latest start in time a job has waited."""
    start_in_s = job.deadlines.due_at - job.expected_run_s - job.arrived_at
    if start_in_s <= 0.0:
        return 1.0
    return min(1.0, (now - job.arrived_at) / start_in_s)


def _count_starts(
    tables: Tables, job: Job, starts: int, now: float, *, is_new: bool
) -> None:
    counts = tables.start_counts
    counts.starts += starts
    if is_new:
        job.is_prompt = now + job.expected_run_s <= job.deadlines.due_at
        counts.note_first_start(now - job.arrived_at, is_late=not job.is_prompt)


def _max_starts(tables: Tables) -> int:
    """Return after how many starts the rest of a queue waits for the next turn."""
    if tables.forecast is None or tables.forecast.starts_per_s == float("inf"):
        return MAX_STARTS_PER_TURN
    starts = int(tables.forecast.starts_per_s * MAX_TURN_S)
    return max(MIN_STARTS_PER_TURN, min(MAX_STARTS_PER_TURN, starts))


def _may_start(tables: Tables, job: Job, now: float) -> bool:
    if not job.is_confirmed or job.origins <= tables.unheard_members:
        return False
    if not job.begun and now > latest_start(
        limit_at=job.deadlines.limit_at,
        expected_run_s=job.expected_run_s,
        is_idle=True,
    ):
        return False
    if (
        now < tables.began_at + tables.settings.first_lists_wait_s
        and not tables.all_targets_reported
    ):
        return False
    return not waits_for_earlier_runs(tables, job, now)


def waits_for_earlier_runs(tables: Tables, job: Job, now: float) -> bool:
    """Return whether a task of a job may still run under an earlier leader."""
    if now >= job.hold_until:
        return False
    # Once every target to which its predecessor gave orders has reported to this
    # leader, their lists contain all runs that the predecessor started. Later in the
    # term they may not: a target that the predecessor reached may have left this
    # leader's directory during a partition that has healed since. The leader of another
    # side of a partition may have reached targets that are not in this leader's
    # directory at all. A predecessor that lost this leader as a follower may have
    # reached new targets since, which the job's members know.
    in_handover = now < tables.began_at + tables.settings.handover_window_s
    return not (in_handover and tables.knows_runs_of(job.earlier_tokens, job.origins))


def holds_inherited_jobs(tables: Tables, now: float) -> bool:
    """Return whether any job waits for runs that an earlier leader may have started.

    :param now: time in seconds.
    """
    # Jobs with the same earlier leaders wait for the same targets.
    held_by_tokens = {
        job.earlier_tokens: job
        for job in tables.jobs_by_id.values()
        if now < job.hold_until and job.waiting
    }
    return any(
        waits_for_earlier_runs(tables, job, now) for job in held_by_tokens.values()
    )


def _start(
    tables: Tables,
    ports: Ports,
    job: Job,
    task: Task,
    index: TargetIndex[Target],
    is_usable: Callable[[Target], bool],
    now: float,
) -> Run | None:
    run = Run(
        ref=task.ref,
        number=task.next_run,
        target_id="",
        group=task.group,
        state=RunState.STARTING,
        started_at=now,
        last_reported_at=now,
        progress_changed_at=now,
    )
    target = index.choose(
        task.group,
        run.group_key,
        is_usable=is_usable,
        avoided=task.avoided,
        is_tight=job.is_tight,
        preferred_domain=job.failure_domain,
        remote_factor=tables.settings.remote_rack_factor,
    )
    if target is None:
        return None
    run.target_id = target.target_id
    run.remote_factor = remote_rack_factor(
        task.group, target.labels, tables.settings.remote_rack_factor
    )
    tables.counters.remote_starts += run.remote_factor > 1.0
    task.next_run += 1
    task.assign_run(run)
    job.waiting.remove(task)
    job.begun = True
    target.allocate(task.group.resources, run.group_key)
    target.runs_by_ref[task.ref] = run
    tables.runs_by_ref[task.ref] = run
    tables.counters.starts += 1
    note_run(tables, run, now)
    ports.start(
        StartOrder(
            target_id=target.target_id,
            ref=task.ref,
            number=run.number,
            payload=job.request.payload,
            decided_at=now,
        )
    )
    return run


def _record_starts(ports: Ports, job: Job, started: list[Run], now: float) -> None:
    ports.record(
        Event.JOB_STARTED,
        id=job.job_id,
        tasks=",".join(f"{run.ref.task_index}@{run.target_id}" for run in started),
        left=len(job.waiting),
        wait_ms=round((now - job.arrived_at) * 1000),
        **_remote_field(started),
    )


def _remote_field(started: list[Run]) -> dict[str, str]:
    """Return the log field that names the tasks away from their racks, if any."""
    remote = [str(run.ref.task_index) for run in started if run.remote_factor > 1.0]
    return {"remote": ",".join(remote)} if remote else {}


def requeue_task(tables: Tables, ref: TaskRef) -> None:
    """Queue a task whose run has ended for another run, if its job is active."""
    job = tables.jobs_by_id.get(ref.job_id)
    if job is None:
        return
    task = job.tasks_by_ref[ref]
    task.run = None
    if not task.done and task not in job.waiting:
        # The task started before the rest of its job, so it also restarts first.
        job.waiting.insert(0, task)
        tables.requeue(job)
