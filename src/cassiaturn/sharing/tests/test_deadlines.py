"""Until when an answer is worth what, and how long a stuck job is kept."""

import pytest

from cassiaturn.entities import Resources, Route, TaskGroup
from cassiaturn.sharing import (
    Deadlines,
    Lateness,
    job_deadlines,
    longest_chain_s,
    order_key,
    stuck_job_deadline,
)

ROUTE = Route(
    name="r",
    host="",
    prefix="/",
    service="s",
    timeout_s=0.1,
    stretch=1.5,
    latency_objective_s=0.1,
)


@pytest.mark.parametrize(
    ("limit_at", "expected"),
    [
        (10.0, (2.6, 5.8, 10.0)),  # the objective is 1.6 s after 1.0
        (4.0, (2.6, 4.0, 4.0)),  # a caller that leaves before a late answer
        (2.0, (2.0, 2.0, 2.0)),  # and one that leaves before it is due
    ],
)
def test_deadlines_come_from_the_objective_and_the_caller(
    limit_at: float, expected: tuple[float, float, float]
) -> None:
    """Jobs were ended by their route's timeout while their answers were not yet due."""
    found = job_deadlines(ROUTE, arrived_at=1.0, chain_s=1.0, limit_at=limit_at)
    values = (found.due_at, found.useful_until, found.limit_at)
    assert values == pytest.approx(expected)


def test_the_longest_chain_follows_the_groups_before() -> None:
    resources = Resources(cpu_millis=1)
    groups = [
        TaskGroup(count=1, resources=resources, after=after)
        for after in ((), (), (0,), (1, 2))
    ]
    assert longest_chain_s(groups, [0.1, 0.5, 0.2, 0.3]) == pytest.approx(0.8)


@pytest.mark.parametrize(
    ("now", "lateness"),
    [
        (1.57, Lateness.IN_TIME),
        (1.59, Lateness.LATE),
        (5.57, Lateness.LATE),
        (5.59, Lateness.PAST_USE),
    ],
)
def test_what_is_of_no_use_any_more_goes_behind_what_is(
    now: float, lateness: Lateness
) -> None:
    """After an outage late jobs took the places of others that were still of use."""
    deadlines = Deadlines(due_at=2.0, useful_until=6.0, limit_at=9.0)
    key = order_key(
        priority=0, deadlines=deadlines, expected_run_s=0.4, is_new=True, now=now
    )
    assert key.lateness is lateness


@pytest.mark.parametrize(
    ("limit_at", "has_begun", "kept_until"),
    [
        (7.0, False, 2.0),  # its caller has time to come back
        (4.2, True, 2.0),
        (4.0, False, 3.9),  # it has not: kept for as long as it can be served
        (4.0, True, 4.0),
        (1.5, False, 2.0),  # a leader that is replaced at once may still serve it
        (1.5, True, 2.0),
    ],
)
def test_a_stuck_job_is_kept_where_its_caller_cannot_come_back_in_time(
    limit_at: float, has_begun: bool, kept_until: float
) -> None:
    """Jobs were refused half a second before the next leader, to callers in a hurry."""
    found = stuck_job_deadline(
        stuck_since=1.0, limit_at=limit_at, expected_run_s=0.2, has_begun=has_begun
    )
    assert found == pytest.approx(kept_until)
