"""Tests of what a leader may start after its process was paused."""

import pytest

from cassiaturn.fleet._lease_clock import LeaseClock
from cassiaturn.fleet._pause import (
    ANSWER_WAIT_S,
    PAUSE_S,
    REPEAT_S,
    REPEATED_PAUSE_S,
    PauseHold,
)
from cassiaturn.workload import WorkloadSettings

OWN = "front-0/a"
FOLLOWER = "front-1/b"
OTHER = "front-2/c"

SETTINGS = WorkloadSettings()

CLOCK_MS = 50_000
"""A target's clock when this host's clock showed 10 s."""


def _paused(*followers: str) -> PauseHold:
    hold = PauseHold(own_id=OWN, now=9.0)
    hold.begin(10.0, followers)
    return hold


@pytest.mark.parametrize(
    ("gap_s", "since_last_s", "expected_s"),
    [
        (0.05, None, 0.0),
        (PAUSE_S - 0.01, None, 0.0),
        (PAUSE_S + 0.01, None, PAUSE_S + 0.01),
        (PAUSE_S + 0.01, REPEAT_S - 0.01, 0.0),
        (REPEATED_PAUSE_S + 0.01, REPEAT_S - 0.01, REPEATED_PAUSE_S + 0.01),
        (PAUSE_S + 0.01, REPEAT_S + 0.01, PAUSE_S + 0.01),
    ],
)
def test_a_turn_after_a_gap_is_a_pause(
    gap_s: float, since_last_s: float | None, expected_s: float
) -> None:
    """Guards against missing a pause, and against a slow host that only asks."""
    hold = PauseHold(own_id=OWN, now=100.0)
    if since_last_s is not None:
        hold.begin(100.0 - since_last_s, [FOLLOWER])
    assert hold.is_paused(100.0 + gap_s) is bool(expected_s)
    assert hold.turn(100.0 + gap_s) == pytest.approx(expected_s)
    assert not hold.is_paused(100.0 + gap_s)


def test_a_members_jobs_wait_for_its_answer() -> None:
    """Guards against starting jobs of a member that left during the pause."""
    hold = _paused(FOLLOWER, OTHER)
    assert hold.unheard == {OWN, FOLLOWER, OTHER}
    assert not hold.note_answer(FOLLOWER, 0)
    assert hold.note_answer(FOLLOWER, 1)
    assert hold.unheard == {OTHER}
    assert not hold.note_answer(FOLLOWER, 1)


def test_an_answer_to_an_earlier_pause_does_not_count() -> None:
    """Guards against an answer that was given before the last pause."""
    hold = _paused(FOLLOWER)
    hold.begin(12.0, [FOLLOWER])
    assert not hold.note_answer(FOLLOWER, 1)
    assert hold.note_answer(FOLLOWER, 2)


@pytest.mark.parametrize(
    ("asked", "followers", "waited_s", "ended", "deserted"),
    [
        ((), (), ANSWER_WAIT_S - 0.01, False, False),
        ((), (), ANSWER_WAIT_S, True, False),
        ((FOLLOWER,), (FOLLOWER,), 5.0, False, False),
        ((FOLLOWER,), (), ANSWER_WAIT_S, True, True),
    ],
)
def test_a_leader_without_followers_goes_on_alone(
    asked: tuple[str, ...],
    followers: tuple[str, ...],
    waited_s: float,
    ended: bool,
    deserted: bool,
) -> None:
    """Guards against a leader that waits forever for members that are gone."""
    hold = _paused(*asked)
    assert hold.end_alone(10.0 + waited_s, followers) is deserted
    assert hold.holds_all is not ended


@pytest.mark.parametrize(
    ("now", "heard_at", "counts"),
    [(10.2, 10.1, False), (10.3, 9.9, False), (10.3, 10.1, True)],
)
def test_a_member_that_cannot_answer_counts_once_heard(
    now: float, heard_at: float, counts: bool
) -> None:
    """Guards against a rolling change in which members of both versions take part."""
    assert _paused(FOLLOWER).counts_as_answer(now, heard_at=heard_at) is counts


def test_a_lease_counts_from_the_decision() -> None:
    """Guards against a start that a resumed process sends with a fresh lease."""
    clock = LeaseClock(settings=SETTINGS)
    clock.observe(CLOCK_MS, 10.0)
    assert clock.lease_end(10.0) == CLOCK_MS + 1_000
    # Sent 5 s later, it is refused: the target's clock is past it.
    assert clock.observe(CLOCK_MS + 5_000, 15.0) == 0.0
    assert clock.lease_end(10.0) == CLOCK_MS + 1_000


def test_a_decision_before_a_suspension_gets_no_fresh_lease() -> None:
    """Guards against a host that was suspended, whose own clock stood still.

    The host is suspended for 5 s after a decision, and reads an answer of the target
    before it sends the start.
    """
    clock = LeaseClock(settings=SETTINGS)
    clock.observe(CLOCK_MS, 10.0)
    assert clock.observe(CLOCK_MS + 5_010, 10.01) == pytest.approx(5.0)
    assert clock.lease_end(10.005) == pytest.approx(CLOCK_MS + 1_005, abs=1)
    assert clock.lease_end(10.02) == pytest.approx(CLOCK_MS + 6_020, abs=1)


def test_a_late_answer_does_not_shorten_what_a_lease_may_last() -> None:
    """Guards against counting a lease as over that a renewal has extended."""
    clock = LeaseClock(settings=SETTINGS)
    clock.observe(CLOCK_MS, 10.0)
    clock.lease_end(11.0)
    over_at = clock.leases_over_at
    clock.lease_end(10.5)
    assert clock.leases_over_at == over_at
