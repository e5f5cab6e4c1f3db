"""Tests of a leader that hears of a later one while the store does not answer."""

import asyncio

import pytest

from cassiaturn.fleet._leader_row import LeaderRow
from cassiaturn.fleet._leadership import Leadership
from cassiaturn.platform.tests.fleet import Fleet


async def test_a_leader_steps_down_while_its_renewal_is_not_answered(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a leader that holds its followers' jobs until a timeout."""
    renewals: list[Leadership] = []

    async def renew(row: LeaderRow, leadership: Leadership) -> None:
        renewals.append(leadership)
        await asyncio.sleep(60.0)

    monkeypatch.setattr(LeaderRow, "renew", renew)
    leader = fleet.leader().member
    await fleet.until(lambda: bool(renewals))
    follower = fleet.followers()[0].member
    leader.note_reachable_leader(follower.next_leadership(reach=3))
    await fleet.until(lambda: leader.leader is None)
