"""Tests of when the leader sends the configuration to followers, and how often."""

import asyncio

from cassiaturn.platform.tests.fleet import CONFIGURATION, Fleet, RunningMember
from cassiaturn.v1 import fleet_pb2 as pb

ROUTES = 1_400
"""Number of routes in a large configuration."""


def _large_configuration(version: int) -> dict[str, object]:
    routes = CONFIGURATION["routes"]
    first = routes[0]  # type: ignore[index]
    more = [
        {**first, "name": f"route-{number}", "prefix": f"/more-{number}/"}
        for number in range(ROUTES)
    ]
    return {**CONFIGURATION, "version": version, "routes": [first, *more]}


async def _wait_for_version(fleet: Fleet, version: int) -> None:
    await fleet.until(
        lambda: all(
            member.member.routing.version == version for member in fleet.members
        )
    )


def _routing_bytes_sent(member: RunningMember) -> int:
    return member.member.load.bytes_by_kind["routing"]


async def test_a_configuration_that_all_members_can_read_is_not_sent_by_the_leader(
    fleet: Fleet,
) -> None:
    """Guards against orders that wait behind a configuration that needs no sending.

    Operators publish 1,400 routes, and every member reads them from the table service.
    If the leader sent them at once to each follower that has not reported the new
    version yet, orders to targets would wait behind 0.3 MB for each of 28 followers.
    """
    leader = fleet.leader()
    fleet.store.state.put("op", "config", _large_configuration(5))
    await _wait_for_version(fleet, 5)
    await asyncio.sleep(1.0)
    assert _routing_bytes_sent(leader) == 0


async def test_members_that_join_with_the_current_configuration_are_not_sent_it(
    fleet: Fleet,
) -> None:
    """Guards against sending a configuration to followers that already have it.

    A leader dies, and the others join its successor with the same configuration. The
    documents would add to the traffic with which the successor takes over all runs.
    """
    fleet.store.state.put("op", "config", _large_configuration(5))
    await _wait_for_version(fleet, 5)
    await fleet.kill(fleet.leader())
    await fleet.until(lambda: fleet.count_reporting_targets() == 4)
    await fleet.until(lambda: all(member.member.is_ready for member in fleet.members))
    await asyncio.sleep(1.0)
    assert _routing_bytes_sent(fleet.leader()) == 0


async def test_a_follower_without_the_store_is_sent_the_configuration_once(
    fleet: Fleet,
) -> None:
    """Guards against sending a configuration again while it is in transit.

    A follower cannot reach the table service and receives slowly, so its heartbeats
    name the old version for a while. Sending the document again for each of them would
    make a slow link slower.
    """
    leader = fleet.leader()
    cut_off = fleet.followers()[0]
    cut_off.cut_from_store()
    read = cut_off.member.read_routing
    await asyncio.sleep(0.2)
    fleet.store.state.put("op", "config", _large_configuration(5))

    received: list[pb.RoutingDocument] = []
    following = cut_off.member._following
    assert following is not None
    following._read_routing = received.append
    await fleet.until(lambda: len(received) > 0)
    await asyncio.sleep(0.6)
    assert len(received) == 1
    read(received[0])
    await _wait_for_version(fleet, 5)
    size = len(received[0].document)
    assert size < _routing_bytes_sent(leader) < 1.1 * size
