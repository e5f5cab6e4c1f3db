"""Tests of a leader that stops while the member that it asks to lead has a fault."""

import asyncio

import pytest

from cassiaturn.fleet._leadership import Step
from cassiaturn.fleet._member import Member
from cassiaturn.platform.tests.fleet import Fleet, RunningMember
from cassiaturn.platform.tests.standin_store import Fault

COMPLETED = (200, '{"state":"completed"}')

WIDE_MBPS = 100.0

LATE_S = 0.7
"""How late the member that is asked acts, in seconds."""


async def _add_successor(fleet: Fleet) -> RunningMember:
    """Add the member that the leader asks first."""
    wide = await fleet.add_member("wide", link_mbps=WIDE_MBPS)
    await fleet.until(lambda: wide.member.is_ready)
    await fleet.until(lambda: len(fleet.leader().member.service.followers) == 3)
    return wide


async def _submit_everywhere(fleet: Fleet) -> list[tuple[int, str, str]]:
    """Submit a job at every member at intervals while the leader changes."""
    answers = []
    for number in range(24):
        member = fleet.members[number % len(fleet.members)]
        answers.append(asyncio.ensure_future(fleet.submit(member, f"{number:016x}")))
        await asyncio.sleep(LATE_S / 12)
    return await asyncio.gather(*answers)


async def test_a_stopping_leader_waits_for_a_slow_successor(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that ends while it leads: all callers would notice."""
    wide = await _add_successor(fleet)
    decide = Member._decide_step

    async def decide_late(member: Member, *args: object, **options: object) -> Step:
        await asyncio.sleep(LATE_S)
        return await decide(member, *args, **options)  # type: ignore[arg-type]

    monkeypatch.setattr(Member, "_decide_step", decide_late)
    submitting = asyncio.ensure_future(_submit_everywhere(fleet))
    await fleet.leader().member.stop()
    assert fleet.leader() is wide
    assert {answer[:2] for answer in await submitting} == {COMPLETED}


async def test_a_stopping_leader_asks_another_member_if_its_successor_dies(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a leader that asks one member only, which is gone."""
    wide = await _add_successor(fleet)
    stopping = fleet.leader()
    killing: list[asyncio.Future[None]] = []

    async def die(*args: object, **options: object) -> Step:
        if not killing:
            killing.append(asyncio.ensure_future(fleet.kill(wide)))
        await asyncio.sleep(30.0)
        raise AssertionError("the member was killed")

    monkeypatch.setattr(wide.member, "_decide_step", die)
    await stopping.member.stop()
    await killing[0]
    assert fleet.leader() not in (stopping, wide)


async def test_a_stopping_leader_asks_another_member_if_its_successor_never_claims(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a leader that waits for one member until its process ends."""
    wide = await _add_successor(fleet)
    stopping = fleet.leader()

    async def never(*args: object, **options: object) -> Step:
        await asyncio.sleep(30.0)
        raise AssertionError("the test is over")

    monkeypatch.setattr(wide.member, "_decide_step", never)
    await stopping.member.stop()
    assert fleet.leader() not in (stopping, wide)


async def test_a_stopping_leader_hands_over_while_the_store_is_silent(
    fleet: Fleet,
) -> None:
    """Guards against a successor that waits for the store longer than the leader."""
    wide = await _add_successor(fleet)
    fleet.store.state.fault = Fault.SILENT
    await fleet.leader().member.stop()
    assert fleet.leader() is wide


async def test_a_leader_that_nobody_can_succeed_stops_in_time(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stop that outlasts the time that the process has."""
    monkeypatch.setattr("cassiaturn.fleet._member.STOP_MARGIN_S", 5.0)

    async def never(*args: object, **options: object) -> Step:
        await asyncio.sleep(30.0)
        raise AssertionError("the test is over")

    monkeypatch.setattr(Member, "_decide_step", never)
    stopping = fleet.leader()
    async with asyncio.timeout(2.0):
        await stopping.member.stop()
    assert fleet.leader() is stopping
