"""Deadlines of a job: when its answer is due, still useful, and no longer awaited.

Load pattern: callers wait for seconds, several times as long as their routes'
latency objectives, while leaders and targets fail or hosts lose power. With one
number for all three deadlines, either jobs are ended whose callers still wait, or jobs
whose answers are no longer useful take the capacity of others.

Grounds: the objective comes from the job's route and grows with the job's expected
length. Only the caller knows how long it waits. The timeout that a route configures
limits neither of them and ends no job.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from cassiaturn.entities import Route, TaskGroup

LATE_FACTOR = 3.0
"""Multiple of its objective up to which a late answer is still useful."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Deadlines:
    """Three points in time of one job, in seconds, in ascending order."""

    due_at: float
    """Until when its answer counts as in time."""

    useful_until: float
    """Until when its answer is late but still useful."""

    limit_at: float
    """When its caller stops waiting; until then any answer is better than none."""


def job_deadlines(
    route: Route, *, arrived_at: float, chain_s: float, limit_at: float
) -> Deadlines:
    """Return the deadlines of a job.

    :param route: defines the latency objective.
    :param arrived_at: when its caller sent it, in seconds.
    :param chain_s: expected length of its longest chain of tasks, in seconds.
    :param limit_at: when its caller stops waiting, in seconds.
    """
    objective_s = route.stretch * chain_s + route.latency_objective_s
    return Deadlines(
        due_at=min(arrived_at + objective_s, limit_at),
        useful_until=min(arrived_at + LATE_FACTOR * objective_s, limit_at),
        limit_at=limit_at,
    )


def longest_chain_s(groups: Sequence[TaskGroup], runs_s: Sequence[float]) -> float:
    """Return the length of the critical path through the groups, in seconds.

    :param runs_s: expected run time of a task of each group, in seconds.
    """
    ends: list[float] = []
    for group, run_s in zip(groups, runs_s, strict=True):
        ends.append(run_s + max((ends[earlier] for earlier in group.after), default=0))
    return max(ends)
