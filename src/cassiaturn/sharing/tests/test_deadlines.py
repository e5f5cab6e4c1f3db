"""Deadlines of a job, and how long a job without progress is kept."""

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
        (4.0, (2.6, 4.0, 4.0)),  # the caller leaves before a late answer is useless
        (2.0, (2.0, 2.0, 2.0)),  # the caller leaves before the answer is due
    ],
)
def test_deadlines_follow_from_objective_and_caller_limit(
    limit_at: float, expected: tuple[float, float, float]
) -> None:
    """Guards against a route's timeout ending jobs before their answers are due."""
    found = job_deadlines(ROUTE, arrived_at=1.0, chain_s=1.0, limit_at=limit_at)
    values = (found.due_at, found.useful_until, found.limit_at)
    assert values == pytest.approx(expected)


def test_longest_chain_follows_dependencies_between_groups() -> None:
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
def test_useless_jobs_are_ordered_after_useful_ones(
    now: float, lateness: Lateness
) -> None:
    """Otherwise jobs late after an outage take the capacity of those still useful."""
    deadlines = Deadlines(due_at=2.0, useful_until=6.0, limit_at=9.0)
    key = order_key(
        priority=0, deadlines=deadlines, expected_run_s=0.4, is_new=True, now=now
    )
    assert key.lateness is lateness


@pytest.mark.parametrize(
    ("limit_at", "has_begun", "kept_until"),
    [
        (7.0, False, 2.0),  # the caller has time to retry
        (4.2, True, 2.0),
        (4.0, False, 3.9),  # no time to retry: kept for as long as it can be served
        (4.0, True, 4.0),
        (1.5, False, 2.0),  # a prompt successor may still serve it
        (1.5, True, 2.0),
    ],
)
def test_stuck_job_is_kept_if_its_caller_has_no_time_to_retry(
    limit_at: float, has_begun: bool, kept_until: float
) -> None:
    """Guards against refusing a caller 0.5 s before the next leader could serve it."""
    found = stuck_job_deadline(
        stuck_since=1.0, limit_at=limit_at, expected_run_s=0.2, has_begun=has_begun
    )
    assert found == pytest.approx(kept_until)
