"""Tests of the choice of the leader when the hosts' processors differ in capacity."""

import asyncio
from dataclasses import replace

import pytest

from cassiaturn.fleet._follower import Follower
from cassiaturn.fleet._leadership import Leadership
from cassiaturn.platform.tests.fleet import Fleet, RunningMember

STRONG_CORES = 2.15

WEAK_CORES = 0.387


def _weaken(member: RunningMember) -> RunningMember:
    settings = replace(member.member.settings, cpu_share=WEAK_CORES)
    member.member.settings = settings
    return member


async def test_weak_leader_hands_over_to_a_strong_member_that_joins(
    fleet: Fleet,
) -> None:
    """Guards against callers that are late because of the first process that is back.

    After a power loss of all hosts, that process leads, whatever the processor of its
    host. No caller may pay for the change of leader.
    """
    weak = _weaken(fleet.leader())
    strong = await fleet.add_member("strong", cpu_cores=STRONG_CORES)
    answers = []
    for number in range(40):
        member = fleet.members[number % 4]
        answers.append(asyncio.ensure_future(fleet.submit(member, f"{number:016x}")))
        await asyncio.sleep(0.05)
    assert fleet.leader() is strong
    assert weak.member.relief.requests_by_reason == {"unfit": 1}
    assert {answer[0] for answer in await asyncio.gather(*answers)} == {200}


async def test_leader_with_a_full_processor_hands_over(fleet: Fleet) -> None:
    """Guards against a leader that makes all orders late while others are idle.

    The other host has twice its processor capacity, too little to count as unfit.
    """
    weak = _weaken(fleet.leader())
    weak.member.cpu_load.busy_share = 0.7
    strong = await fleet.add_member("strong", cpu_cores=2 * WEAK_CORES)
    await fleet.until(lambda: strong.member.leader is not None)
    await fleet.until(lambda: fleet.leader() is strong)
    assert weak.member.relief.requests_by_reason == {"processor_full": 1}


async def test_leader_goes_on_if_the_member_that_it_asked_dies(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a fleet without a leader after a hand-over that failed."""
    weak = _weaken(fleet.leader())
    strong = await fleet.add_member("strong", cpu_cores=STRONG_CORES)
    killed = asyncio.Event()

    def kill_instead(follower: Follower, leadership: Leadership) -> None:
        killed.set()

    monkeypatch.setattr(Follower, "ask_to_lead", kill_instead)
    await killed.wait()
    await fleet.kill(strong)
    assert (await fleet.submit(fleet.members[1], "0" * 16))[0] == 200
    assert fleet.leader() is weak


async def test_strong_member_replaces_a_killed_leader(fleet: Fleet) -> None:
    """Guards against a weak successor whose link is as wide as that of the strong one.

    If addresses gave the order among equal links, any of the members might lead.
    """
    for number in range(2):
        await fleet.add_member(f"weak-{number}", cpu_cores=WEAK_CORES)
    strong = await fleet.add_member("strong", cpu_cores=STRONG_CORES)
    await fleet.until(
        lambda: all(
            len(member.member.known_members) == 5 for member in fleet.followers()
        )
    )
    await fleet.kill(fleet.leader())
    await fleet.until(lambda: fleet.count_reporting_targets() == len(fleet.runners))
    assert fleet.leader() is strong
    await fleet.until(lambda: strong.member.cpu_load.busy_share > 0.0)
