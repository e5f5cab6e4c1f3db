"""Breaks the time of a job down: waits, lost runs, slow targets, run time."""

from collections.abc import Sequence
from dataclasses import dataclass

from cassiaturn.workload._tables import Job, Tables, Target, Task

FAST_TARGETS_SHARE = 0.25
"""Part of the targets that count as fast. The fastest target of all is not the
reference, because the one that seems fastest is the one whose speed is least
certain."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskTiming:
    """How one task used its caller's time; all times in seconds."""

    task_index: int
    """Index of the task in its group."""

    target_id: str
    """Target of its last run; empty: it never began."""

    start_s: float
    """From the caller's request to the start of its last run; until now if it waits."""

    lost_s: float
    """From the start of its first run to the start of its last: time spent on lost runs
    and between them."""

    run_s: float
    """Length of its last run; a lower bound if that run has not ended."""

    slower: float
    """Ratio of the run times on that target to those on fast targets; 1.0: unknown."""

    @property
    def end_s(self) -> float:
        """Time from the caller's request to the task's end, at least."""
        return self.start_s + self.run_s

    @property
    def fastest_s(self) -> float:
        """Length of its run on a fast target, at least."""
        return self.run_s / self.slower


@dataclass(frozen=True, slots=True, kw_only=True)
class JobTiming:
    """How the tasks of a job used its caller's time."""

    critical: TaskTiming
    """The task that ends last."""

    first_start_s: float
    """From the caller's request to the first start of a task, in seconds."""

    fastest_s: float
    """Length of its longest task run if every task ran on a fast target, in seconds. A
    job for which this alone exceeds the caller's limit cannot be served."""

    work_cpu_s: float
    """CPU time of its tasks on fast targets, in core-seconds. A task that is not done
    counts for at least as long as the longest task of the job that is done or has
    a lower bound by its progress."""


def job_timing(tables: Tables, job: Job, now: float) -> JobTiming:
    """Return the timing of a job's tasks; lower bounds for those not done.

    :param now: time in seconds.
    """
    fast_ratio = _fast_ratio(tables, job.route.service)
    tasks = list(job.tasks_by_ref.values())
    timings = [_task_timing(tables, job, task, fast_ratio, now) for task in tasks]
    first_starts = [task.first_started_at for task in tasks if task.first_started_at]
    return JobTiming(
        critical=max(timings, key=lambda timing: timing.end_s),
        first_start_s=min(first_starts, default=now) - job.arrived_at,
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
    """Return the ratio of actual to expected run times on fast targets."""
    ratios = sorted(
        target.speed.ratio
        for target in tables.targets_by_id.values()
        if target.service == service and not target.silent
    )
    return ratios[int(FAST_TARGETS_SHARE * len(ratios))] if ratios else 1.0


def _task_timing(
    tables: Tables, job: Job, task: Task, fast_ratio: float, now: float
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
        slower=_slowdown(target, fast_ratio),
    )


def _slowdown(target: Target | None, fast_ratio: float) -> float:
    """Return the ratio of run times on a target to those on fast targets."""
    if target is None:
        return 1.0
    # Runs on a degraded target say nothing about its usual speed.
    degradation = target.slowness if target.is_slow else 1.0
    return max(1.0, target.speed.ratio / fast_ratio, degradation)
