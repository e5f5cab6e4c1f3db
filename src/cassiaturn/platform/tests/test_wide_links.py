"""Which member leads where hosts' links differ."""

from dataclasses import replace

import pytest

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
