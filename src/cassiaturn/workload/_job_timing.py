"""Where the time of a job went: waits, lost runs, slow targets, or its own length."""

from collections.abc import Sequence
from dataclasses import dataclass

from cassiaturn.workload._tables import Job, Tables, Target, Task

FAST_TARGET_RATIO = 0.25
"""Part of the targets that count as fast: the one that seems the fastest of all is the
one whose speed is known the least."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskTiming:
    """What one task took of its caller's time, all in seconds."""

    task_index: int
    """Its index in its group."""

    target_id: str
    """Where its last run was; empty: it never began."""

    start_s: float
    """From the caller's request to the start of its last run, or until now."""

    lost_s: float
    """From the start of its first run to that of its last: what went by on runs that
    were lost, and between them."""

    run_s: float
    """Length of its last run; of one that is not over, what is known of it at least."""

    slower: float
    """Run times on that target over those on fast ones; 1.0 where unknown."""

    @property
    def end_s(self) -> float:
        """From the caller's request to its end, at least."""
        return self.start_s + self.run_s

    @property
    def fastest_s(self) -> float:
        """Length of its run on a fast target, at least."""
        return self.run_s / self.slower


@dataclass(frozen=True, slots=True, kw_only=True)
class JobTiming:
    """What the tasks of a job took."""

    critical: TaskTiming
    """The task that ends last."""

    first_start_s: float
    """From the caller's request to the first start of a task, in seconds."""

    fastest_s: float
    """Longest run of a task, had each been on a fast target, in seconds. Nobody can
    serve a job for which this alone is above the caller's limit."""

    work_cpu_s: float
    """Processor time of its tasks on fast targets, in core-seconds. A task that is not
    done counts for as long as the longest of its job of which something is known."""


def job_timing(tables: Tables, job: Job, now: float) -> JobTiming:
    """Return what the tasks of a job took, or will take at least.

    :param now: time in seconds.
    """
    fast = _fast_ratio(tables, job.route.service)
    tasks = list(job.tasks_by_ref.values())
    timings = [_task_timing(tables, job, task, fast, now) for task in tasks]
    begun = [task.first_started_at for task in tasks if task.first_started_at]
    return JobTiming(
        critical=max(timings, key=lambda timing: timing.end_s),
        first_start_s=min(begun, default=now) - job.arrived_at,
        fastest_s=max(timing.fastest_s for timing in timings),
        work_cpu_s=_work_cpu_s(job, tasks, timings),
    )


def _work_cpu_s(
    job: Job, tasks: Sequence[Task], timings: Sequence[TaskTiming]
) -> float:
    known_s = [
        timing.fastest_s
        for task, timing in zip(tasks, timings, strict=True)
        if task.done or (task.run is not None and task.run.least_run_s)
    ]
    unknown_s = max(known_s, default=job.expected_run_s)
    return sum(
        task.group.resources.cpu_millis
        / 1000
        * (timing.fastest_s if task.done else max(timing.fastest_s, unknown_s))
        for task, timing in zip(tasks, timings, strict=True)
    )


def _fast_ratio(tables: Tables, service: str) -> float:
    """Return the run times of the service's fast targets over the expected ones."""
    ratios = sorted(
        target.pace.ratio
        for target in tables.targets_by_id.values()
        if target.service == service and not target.silent
    )
    return ratios[int(FAST_TARGET_RATIO * len(ratios))] if ratios else 1.0


def _task_timing(
    tables: Tables, job: Job, task: Task, fast: float, now: float
) -> TaskTiming:
    target = tables.targets_by_id.get(task.last_target_id)
    run = task.run
    length_s = task.length_s
    if run is not None:
        length_s = max(run.least_run_s, now - run.started_at)
    is_waiting = run is None and not task.done
    started_at = now if is_waiting else task.last_started_at
    return TaskTiming(
        task_index=task.ref.task_index,
        target_id=task.last_target_id,
        start_s=started_at - job.arrived_at,
        lost_s=started_at - (task.first_started_at or started_at),
        run_s=0.0 if is_waiting else length_s,
        slower=_slowdown(target, fast),
    )


def _slowdown(target: Target | None, fast: float) -> float:
    """Return run times on a target over those on fast ones."""
    if target is None:
        return 1.0
    # Runs on a target that is sick tell nothing of its pace.
    sick = target.slowness if target.is_slow else 1.0
    return max(1.0, target.pace.ratio / fast, sick)
