"""Until when the answer to a job is worth what to its caller.

Load pattern: callers that wait for seconds, several times as long as their routes'
objectives allow, while leaders, targets and power are lost. One number for all three
deadlines ends jobs whose callers still wait, or lets jobs that are of no use any more
take the places of others.

Grounds: the objective grows with the job's own length and comes from its route; how
long a caller waits only the caller knows. A route's timeout bounds neither.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from cassiaturn.entities import Route, TaskGroup

LATE_FACTOR = 3.0
"""Multiple of its objective up to which the answer to a job is of use, though late."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Deadlines:
    """Three points in time of one job, in seconds, in this order."""

    due_at: float
    """Until when its answer is as good as an immediate one."""

    useful_until: float
    """Until when its answer is of use, though late."""

    limit_at: float
    """When its caller stops waiting. Until then an answer is better than none."""


def job_deadlines(
    route: Route, *, arrived_at: float, chain_s: float, limit_at: float
) -> Deadlines:
    """Return the deadlines of a job.

    :param route: says what its objective is.
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
    """Return the length of the longest chain of groups, in seconds.

    :param runs_s: expected run time of a task of each group, in seconds.
    """
    ends: list[float] = []
    for group, run_s in zip(groups, runs_s, strict=True):
        ends.append(run_s + max((ends[earlier] for earlier in group.after), default=0))
    return max(ends)
