"""Tests of a change of leader just after a target was added."""

import asyncio
from collections import Counter

import pytest

from cassiaturn.fleet import _roster_feed
from cassiaturn.fleet._leadership import Step
from cassiaturn.fleet._member import Member
from cassiaturn.platform.tests.fleet import PREFIX, Fleet, RunningMember
from cassiaturn.platform.tests.standin_runner import StandinRunner
from cassiaturn.platform.tests.standin_store import Fault

JOB = "5c0e7a21d94b36f8"

COMPLETED = (200, '{"state":"completed"}')

RUN_S = 0.8
"""Length of each task, in seconds: longer than a change of leader takes."""

LATE_S = 0.5
"""How late the successor claims, or is told of the new target, in seconds."""

TASKS = {"count": 17, "cpu": 4_000, "memMb": 64, "estimatedMs": 800}
"""A group with one task more than the fleet's first targets have room for."""


async def _add_target(fleet: Fleet) -> StandinRunner:
    """Add a target that only the leader can learn of; the store is silent then."""
    runner = StandinRunner("new")
    fleet.runners.append(runner)
    for known in fleet.runners:
        known.run_s = RUN_S
    runner.start()
    fleet.publish(runner)
    await fleet.until(lambda: fleet.count_reporting_targets() == len(fleet.runners))
    fleet.store.state.fault = Fault.SILENT
    return runner


def _submit(
    fleet: Fleet, member: RunningMember
) -> "asyncio.Task[tuple[int, str, str]]":
    """Submit a job whose caller waits until all of its tasks have run."""
    request = fleet.request(
        member,
        "POST",
        PREFIX + JOB,
        headers={"X-Cassiaturn-Deadline-Ms": "6000"},
        json={"taskSpec": "x", "bestEffort": True, "steps": [TASKS]},
    )
    return asyncio.create_task(request)


def _starts(fleet: Fleet) -> int:
    return sum(len(runner.starts) for runner in fleet.runners)


def _repeated_starts(fleet: Fleet) -> int:
    counts = Counter(ref for runner in fleet.runners for ref in runner.starts)
    return counts.total() - len(counts)


async def test_a_successor_asked_before_a_target_was_added_repeats_no_task(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two runs of a task at a planned stop while targets are added."""
    stopping = fleet.leader()
    decide = Member._decide_step

    async def decide_late(member: Member, *args: object, **options: object) -> Step:
        await asyncio.sleep(LATE_S)
        return await decide(member, *args, **options)  # type: ignore[arg-type]

    monkeypatch.setattr(Member, "_decide_step", decide_late)
    ending = asyncio.create_task(stopping.member.stop())
    await fleet.until(lambda: bool(stopping.member.asked_to_lead))
    await _add_target(fleet)
    waiting = _submit(fleet, stopping)
    await fleet.until(lambda: _starts(fleet) >= 16)
    await ending
    assert (await waiting)[:2] == COMPLETED
    assert _repeated_starts(fleet) == 0


async def test_a_successor_not_told_of_a_target_yet_repeats_no_task(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two runs of a task at a kill while targets are added."""
    monkeypatch.setattr(_roster_feed, "BATCH_WINDOW_S", 2 * LATE_S)
    leader, follower = fleet.leader(), fleet.followers()[0]
    await _add_target(fleet)
    waiting = _submit(fleet, follower)
    await fleet.until(lambda: _starts(fleet) >= 16)
    await fleet.kill(leader)
    assert (await waiting)[:2] == COMPLETED
    assert _repeated_starts(fleet) == 0


async def test_a_target_that_every_follower_knows_gets_starts(fleet: Fleet) -> None:
    """Guards against new targets that are never used."""
    runner = await _add_target(fleet)
    assert (await _submit(fleet, fleet.followers()[0]))[:2] == COMPLETED
    assert runner.starts
    assert _repeated_starts(fleet) == 0
