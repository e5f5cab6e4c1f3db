"""What a member concludes from the leader's row."""

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
"""From the loss of all other members to a claim by the last one: callers wait 1.5 s
at most, so this loses one wave of them and little more."""

STREAM_SILENCE_S = 0.8
"""When a follower notices that its leader is silent."""


class Clock:
    """Time that a test moves."""

    def __init__(self) -> None:
        self.now = 50.0

    def monotonic(self) -> float:
        return self.now


class OneRow:
    """A table service that holds the leader's row only."""

    def __init__(self) -> None:
        self.renewal = 0

    async def read(self, keys: Sequence[str]) -> Success[dict[str, Row]]:
        row = Row(
            key=ROW_KEY, value=LEADER.to_value(self.renewal), version=7 + self.renewal
        )
        return Success({ROW_KEY: row})


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    moved = Clock()
    monkeypatch.setattr(_leader_row, "time", moved)
    return moved


def _read(row: LeaderRow) -> RowView:
    return asyncio.run(row.read())


def test_the_last_member_knows_soon_that_the_leader_is_dead(clock: Clock) -> None:
    """Every other member loses power at once, the leader among them.

    The last one hears nobody, which its own cut would look like too. Only the row
    tells: it is not written any more. Until the last member concludes so its callers
    are refused, though every target is idle.
    """
    table = OneRow()
    row = LeaderRow(table=table)  # type: ignore[arg-type]
    lost_at = clock.now
    clock.now += STREAM_SILENCE_S
    assert _read(row).state is RowState.YOUNG
    while _read(row).state is not RowState.STALE:
        clock.now += 0.12
        assert clock.now - lost_at < LONGEST_WITHOUT_LEADER_S


def test_a_leader_that_writes_slowly_is_not_dead(clock: Clock) -> None:
    """The table service takes 0.24 s a write, and this member is cut off.

    A member that took the row for dead would take the targets away from a leader
    that everybody else hears.
    """
    table = OneRow()
    row = LeaderRow(table=table)  # type: ignore[arg-type]
    for _ in range(20):
        table.renewal += 1
        assert _read(row).state is not RowState.STALE
        clock.now += _leader_row.RENEW_ROW_S + 0.24
        assert _read(row).state is not RowState.STALE
