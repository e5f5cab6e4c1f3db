"""When the leader hands the configuration on, and what that costs its link."""

import asyncio

from cassiaturn.platform.tests.fleet import CONFIGURATION, Fleet, RunningMember
from cassiaturn.v1 import fleet_pb2 as pb

ROUTES = 1_400
"""Routes of a configuration that has grown large."""


def _large(version: int) -> dict[str, object]:
    routes = CONFIGURATION["routes"]
    first = routes[0]  # type: ignore[index]
    more = [
        {**first, "name": f"route-{number}", "prefix": f"/more-{number}/"}
        for number in range(ROUTES)
    ]
    return {**CONFIGURATION, "version": version, "routes": [first, *more]}


async def _in_force(fleet: Fleet, version: int) -> None:
    await fleet.until(
        lambda: all(row.member.routing.version == version for row in fleet.members)
    )


def _handed_on(member: RunningMember) -> int:
    return member.member.load.bytes_by_kind["routing"]


async def test_a_configuration_that_all_can_read_is_not_handed_on(
    fleet: Fleet,
) -> None:
    """Operators publish 1,400 routes; every member reads them from the table service.

    The leader sent the document to each follower that had not told yet that it has
    it, all at once: orders to targets waited behind 0.3 MB for each of 28 followers.
    """
    leader = fleet.leader()
    fleet.store.state.put("op", "config", _large(5))
    await _in_force(fleet, 5)
    await asyncio.sleep(1.0)
    assert _handed_on(leader) == 0


async def test_members_that_join_with_the_configuration_are_not_sent_it(
    fleet: Fleet,
) -> None:
    """A leader ends and the others join its successor, all with the same version.

    It sent the document to each of them, just when it takes over all that runs.
    """
    fleet.store.state.put("op", "config", _large(5))
    await _in_force(fleet, 5)
    await fleet.kill(fleet.leader())
    await fleet.until(lambda: fleet.heard_targets() == 4)
    await fleet.until(lambda: all(row.member.is_ready for row in fleet.members))
    await asyncio.sleep(1.0)
    assert _handed_on(fleet.leader()) == 0


async def test_a_follower_that_is_cut_off_is_sent_it_once(fleet: Fleet) -> None:
    """A follower cannot reach the table service, and reads slowly.

    Its heartbeats name the old version while the new one is under way. For each of
    them the leader sent the document again, so that a slow link got slower.
    """
    leader = fleet.leader()
    cut_off = fleet.followers()[0]
    cut_off.cut_from_store()
    read = cut_off.member.read_routing
    await asyncio.sleep(0.2)
    fleet.store.state.put("op", "config", _large(5))

    late: list[pb.RoutingDocument] = []
    following = cut_off.member._following
    assert following is not None
    following._read_routing = late.append
    await fleet.until(lambda: len(late) > 0)
    await asyncio.sleep(0.6)
    assert len(late) == 1
    read(late[0])
    await _in_force(fleet, 5)
    size = len(late[0].document)
    assert size < _handed_on(leader) < 1.1 * size
