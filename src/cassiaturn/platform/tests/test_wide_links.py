"""Tests of the choice of the leader when the hosts' links differ in bandwidth."""

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from cassiaturn.fleet._leader_stream import LOOK_TIMEOUT_S
from cassiaturn.fleet._leadership import Leadership
from cassiaturn.fleet._peers import PeerSurvey
from cassiaturn.fleet._service import FleetService
from cassiaturn.platform.tests.fleet import Fleet, RunningMember

WIDE_MBPS = 100.0


async def _with_wide_members(fleet: Fleet, count: int) -> list[RunningMember]:
    wide = [
        await fleet.add_member(f"wide-{number}", link_mbps=WIDE_MBPS)
        for number in range(count)
    ]
    joined = len(fleet.members) - 1
    await fleet.until(
        lambda: all(
            len(member.member.known_members) == joined for member in fleet.followers()
        )
    )
    return wide


@pytest.mark.parametrize("extra_members", range(3))
async def test_a_stopping_leader_hands_over_to_a_member_with_a_wide_link(
    fleet: Fleet, extra_members: int
) -> None:
    """Guards against a stopping leader that hands over to a member with a narrow link.

    Such a link cannot carry the orders for all callers, so that half of them time out
    until the next change of leader. With one extra member, three of four possible
    successors have one, and the member heard from last may be among them.
    """
    (wide,) = await _with_wide_members(fleet, 1)
    for number in range(extra_members):
        await fleet.add_member(f"narrow-{number}")
    await fleet.leader().member.stop()
    assert fleet.leader() is wide


@pytest.mark.parametrize("extra_members", range(3))
async def test_a_member_with_a_wide_link_replaces_a_killed_leader(
    fleet: Fleet, extra_members: int
) -> None:
    """Guards against a member with a narrow link that succeeds a killed leader.

    Members claim in an order that all agree on. If addresses alone gave the order, the
    member with the first address would lead, whatever the bandwidth of its link.
    """
    wide = await _with_wide_members(fleet, 1 + extra_members)
    await fleet.kill(fleet.leader())
    await fleet.until(lambda: fleet.count_reporting_targets() == len(fleet.runners))
    assert fleet.leader() in wide


async def test_a_member_with_a_wide_link_leads_despite_late_first_answers(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against passing over a member with a wide link that answers late once.

    The leader's process has ended, and the wide member answers the first requests of
    its peers after their timeout. If it counted as gone, it would be passed over until
    the next change of leader.
    """
    answer_request = FleetService.Look
    late_requests = iter(range(len(fleet.followers())))

    async def answer_late(service: FleetService, stream: Any) -> None:
        if next(late_requests, None) is not None:
            await asyncio.sleep(LOOK_TIMEOUT_S)
        await answer_request(service, stream)

    with monkeypatch.context() as patches:
        patches.setattr(FleetService, "Look", answer_late)
        (wide,) = await _with_wide_members(fleet, 1)
    look = wide.member._peers.look

    async def look_late(lost: Leadership | None, *, timeout_s: float) -> PeerSurvey:
        await asyncio.sleep(1.5 * LOOK_TIMEOUT_S)
        return await look(lost, timeout_s=timeout_s)

    monkeypatch.setattr(wide.member._peers, "look", look_late)
    await fleet.kill(fleet.leader())
    await fleet.until(lambda: fleet.count_reporting_targets() == len(fleet.runners))
    assert fleet.leader() is wide


async def test_a_leader_with_a_saturated_link_hands_over_to_a_wide_one(
    fleet: Fleet,
) -> None:
    """Guards against a leader that keeps leading although its narrow link is saturated.

    After a power loss of all hosts, the first process that is back leads, whatever the
    bandwidth of its link.
    """
    (wide,) = await _with_wide_members(fleet, 1)
    narrow = fleet.leader()
    narrow.member.settings = replace(narrow.member.settings, link_mbps=0.02)
    answers = []
    for number in range(60):
        member = fleet.members[number % 4]
        answers.append(asyncio.ensure_future(fleet.submit(member, f"{number:016x}")))
        await asyncio.sleep(0.05)
    assert fleet.leader() is wide
    assert {answer[0] for answer in await asyncio.gather(*answers)} == {200}


async def test_a_stopped_leader_is_not_asked_to_lead_again(fleet: Fleet) -> None:
    """Guards against handing over to a member that is stopping itself.

    Two leaders are stopped within seconds, and the first has the widest link. It
    follows the second while it finishes its callers' jobs. Unless it says that it is
    stopping, it is asked to lead when the second stops.
    """
    first = fleet.leader()
    first.member.settings = replace(first.settings, link_mbps=WIDE_MBPS)
    await first.member.stop()
    second = fleet.leader()
    await fleet.until(lambda: len(second.member.service.followers) == 2)
    await second.member.stop()
    assert fleet.leader() not in (first, second)
