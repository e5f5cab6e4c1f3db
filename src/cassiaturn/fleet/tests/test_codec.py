"""Tests messages between members with values at the bounds of their fields."""

from dataclasses import replace

import pytest

from cassiaturn.entities import JobRequest, Resources, TaskGroup
from cassiaturn.fleet._codec import (
    from_outcome,
    from_submission,
    to_outcome,
    to_submission,
)
from cassiaturn.standins.virtual_targets import ROUTE
from cassiaturn.workload import Outcome, Verdict

REQUEST = JobRequest(
    job_id="5c0e7a21d94b36f8",
    payload="work",
    groups=(TaskGroup(count=1, resources=Resources(cpu_millis=1_000)),),
    must_be_stored=False,
)


@pytest.mark.parametrize("run_s", [0.0, 0.9, 1e6, 1e12])
def test_run_time_estimates_are_clamped_to_their_field(run_s: float) -> None:
    """A run time of fifty days overflowed its field; no caller was answered."""
    group = replace(REQUEST.groups[0], expected_run_s=run_s)
    message = from_submission(
        replace(REQUEST, groups=(group,)),
        ROUTE,
        waited_s=-0.001,
        limit_s=3_600.0,
        begun_earlier=False,
        unconfirmed=True,
        sent_s=77.5,
    )
    taken = to_submission(message, origin="m", failure_domain="a", unread_s=0.5)
    expected_run_s = taken.request.groups[0].expected_run_s
    assert expected_run_s == pytest.approx(min(run_s, 4_294_967.295))
    assert (taken.waited_s, taken.limit_s) == (0.5, 3_599.5)


@pytest.mark.parametrize("tokens", [frozenset(), frozenset({2**60, 3})])
def test_a_submission_names_the_earlier_leaders(tokens: frozenset[int]) -> None:
    """Guards against a leader that takes unknown runs for those of its predecessor."""
    message = from_submission(
        REQUEST,
        ROUTE,
        waited_s=0.0,
        limit_s=1.0,
        begun_earlier=True,
        unconfirmed=False,
        earlier_tokens=tokens,
    )
    taken = to_submission(message, origin="m", failure_domain="a")
    assert taken.earlier_tokens == (tokens or None)


def test_retry_after_is_clamped_to_its_field() -> None:
    """A long queue's retry-after overflowed its field; the follower's stream ended."""
    outcome = Outcome(verdict=Verdict.REFUSED, reason="backlog", retry_after_s=1e12)
    told = to_outcome(from_outcome("a", outcome))
    assert told.retry_after_s == pytest.approx(4_294_967.295)
