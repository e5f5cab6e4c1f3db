"""Tests what a member concludes from the leader's row."""

import asyncio
from collections.abc import Sequence

import pytest
from returns.result import Success

from cassiaturn.fleet import _leader_row
from cassiaturn.fleet._leader_row import ROW_KEY, LeaderRow, RowView
from cassiaturn.fleet._leadership import Leadership, RowState
from cassiaturn.services import Row

LEADER = Leadership(token=10, term=1, member_id="old", address="10.0.0.1:1")

LONGEST_WITHOUT_LEADER_S = 2.2
"""Bound on the time from the loss of all other members to a claim by the last one, in
seconds: callers wait 1.5 s at most, so little more than one wave of them fails."""

STREAM_SILENCE_S = 0.8
"""Time after which a follower notices that its leader is silent, in seconds."""


class Clock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.now = 50.0

    def monotonic(self) -> float:
        return self.now


class LeaderRowTable:
    """A fake table service that holds only the leader's row."""

    def __init__(self) -> None:
        self.renewal = 0

    async def read(self, keys: Sequence[str]) -> Success[dict[str, Row]]:
        row = Row(
            key=ROW_KEY, value=LEADER.to_value(self.renewal), version=7 + self.renewal
        )
        return Success({ROW_KEY: row})


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    fake_clock = Clock()
    monkeypatch.setattr(_leader_row, "time", fake_clock)
    return fake_clock


def _read(row: LeaderRow) -> RowView:
    return asyncio.run(row.read())


def test_last_member_soon_detects_a_dead_leader(clock: Clock) -> None:
    """All other members, including the leader, lose power at the same time.

    To the last member this looks like its own isolation by a network partition. Only
    the row tells the difference, because nothing writes it any more. Until the member
    concludes so, it refuses its callers although every target is idle.
    """
    table = LeaderRowTable()
    row = LeaderRow(table=table)  # type: ignore[arg-type]
    lost_at = clock.now
    clock.now += STREAM_SILENCE_S
    assert _read(row).state is RowState.YOUNG
    while _read(row).state is not RowState.STALE:
        clock.now += 0.12
        assert clock.now - lost_at < LONGEST_WITHOUT_LEADER_S


def test_a_leader_with_slow_writes_is_not_dead(clock: Clock) -> None:
    """The table service takes 0.24 s per write, and this member is isolated.

    If it took the row for stale, it would take the targets away from a leader that all
    other members still hear.
    """
    table = LeaderRowTable()
    row = LeaderRow(table=table)  # type: ignore[arg-type]
    for _ in range(20):
        table.renewal += 1
        assert _read(row).state is not RowState.STALE
        clock.now += _leader_row.ROW_RENEW_PERIOD_S + 0.24
        assert _read(row).state is not RowState.STALE
