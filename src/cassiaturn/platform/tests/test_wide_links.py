"""Which member leads where hosts' links differ."""

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
            len(row.member.known_members) == joined for row in fleet.followers()
        )
    )
    return wide


@pytest.mark.parametrize("turn", range(3))
async def test_a_leader_that_stops_hands_over_to_a_wide_link(
    fleet: Fleet, turn: int
) -> None:
    """A leader stops as planned; three of four that could follow it have narrow links.

    Orders for all callers are more than such a link carries, so that half of them time
    out until the next change of leader. The one that was heard last was asked to lead.
    """
    (wide,) = await _with_wide_members(fleet, 1)
    for _ in range(turn):
        await fleet.add_member(f"narrow-{_}")
    await fleet.leader().member.stop()
    assert fleet.leader() is wide


@pytest.mark.parametrize("turn", range(3))
async def test_a_wide_link_leads_after_a_leader_that_was_killed(
    fleet: Fleet, turn: int
) -> None:
    """A leader's process ends, and members with narrow and wide links could follow it.

    They claim in an order that all agree on, by addresses alone so far: whoever has the
    first one led, whatever its link carries.
    """
    wide = await _with_wide_members(fleet, 1 + turn)
    await fleet.kill(fleet.leader())
    await fleet.until(lambda: fleet.heard_targets() == len(fleet.runners))
    assert fleet.leader() in wide


async def test_a_wide_link_leads_though_it_answers_its_first_looks_late(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A busy member with a wide link misses one look, and a narrow link takes the lead.

    The leader's process has ended; the wide member answers the first looks after their
    timeout. Counted as gone, it is passed over until the next change of leader.
    """
    answer_look = FleetService.Look
    late_looks = iter(range(len(fleet.followers())))

    async def answer_late(service: FleetService, stream: Any) -> None:
        if next(late_looks, None) is not None:
            await asyncio.sleep(LOOK_TIMEOUT_S)
        await answer_look(service, stream)

    with monkeypatch.context() as patches:
        patches.setattr(FleetService, "Look", answer_late)
        (wide,) = await _with_wide_members(fleet, 1)
    look = wide.member._peers.look

    async def look_late(lost: Leadership | None) -> PeerSurvey:
        await asyncio.sleep(1.5 * LOOK_TIMEOUT_S)
        return await look(lost)

    monkeypatch.setattr(wide.member._peers, "look", look_late)
    await fleet.kill(fleet.leader())
    await fleet.until(lambda: fleet.heard_targets() == len(fleet.runners))
    assert fleet.leader() is wide


async def test_a_leader_whose_link_is_full_asks_a_wide_one_to_lead(
    fleet: Fleet,
) -> None:
    """After a power loss of all the first process back led with a narrow link."""
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


async def test_a_leader_that_stopped_is_not_asked_to_lead_again(fleet: Fleet) -> None:
    """Two leaders are stopped within seconds, the first with the widest link.

    The first finishes what its callers wait for, and follows the second meanwhile; it
    did not say to its new leader that it stops, and was asked to lead as that one did.
    """
    first = fleet.leader()
    first.member.settings = replace(first.settings, link_mbps=WIDE_MBPS)
    await first.member.stop()
    second = fleet.leader()
    await fleet.until(lambda: len(second.member.service.followers) == 2)
    await second.member.stop()
    assert fleet.leader() not in (first, second)
