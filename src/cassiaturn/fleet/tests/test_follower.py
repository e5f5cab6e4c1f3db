"""Tests of what a leader sends next to a follower."""

import pytest

from cassiaturn.fleet._follower import Follower
from cassiaturn.fleet._list_pace import ListPace
from cassiaturn.fleet._roster_feed import RosterFeed
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.fleet._routing_feed import RoutingFeed
from cassiaturn.v1 import fleet_pb2 as pb

LINK_MBPS = 1_000.0


def _follower() -> Follower:
    feed = RosterFeed(pace=ListPace(link_mbps=LINK_MBPS))
    feed.begin({})
    routing = RoutingFeed(routing=CurrentRouting(), pace=ListPace(link_mbps=LINK_MBPS))
    hello = pb.Hello(member_id="front-1/a", address="127.0.0.1:1")
    return Follower(hello=hello, feed=feed, routing=routing)


async def _kinds(follower: Follower, count: int) -> list[str | None]:
    frames = [await follower.next_frame(pb.LeaderBeat) for _ in range(count)]
    return [queued.frame.WhichOneof("frame") for queued in frames]


@pytest.mark.parametrize("heartbeats", range(3))
async def test_a_heartbeat_that_is_due_costs_no_page_of_the_list(
    heartbeats: int,
) -> None:
    """Guards against a follower that never learns of some members and targets.

    A page counts as sent once it is taken, and later ones tell changes only.
    """
    follower = _follower()
    for _ in range(heartbeats):
        follower.send_heartbeat()
    kinds = await _kinds(follower, 2)
    assert "roster" in kinds
    assert kinds[0] == ("beat" if heartbeats else "roster")

