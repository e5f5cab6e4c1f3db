"""Tests of what a leader sends next to a follower."""

import asyncio

import pytest

from cassiaturn.entities import TaskRef
from cassiaturn.fleet._follower import HEARTBEAT_S, Follower
from cassiaturn.fleet._list_pace import ListPace
from cassiaturn.fleet._roster_feed import RosterFeed
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.fleet._routing_feed import RoutingFeed
from cassiaturn.v1 import fleet_pb2 as pb

LINK_MBPS = 1_000.0

MAX_FRAMES = 200
"""Frames of a busy stream after which a heartbeat counts as missing."""


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


async def test_tasks_to_keep_share_one_frame_and_its_receipt() -> None:
    """Guards against a frame for each of hundreds of ends a second."""
    follower = _follower()
    receipts = [
        follower.keep_done("job", [TaskRef("job", 0, 0, index)]) for index in range(3)
    ]
    queued = await follower.next_frame(pb.LeaderBeat)
    assert len(queued.frame.done.jobs[0].completed) == 3
    assert queued.receipt is receipts[0] is receipts[1] is receipts[2]


async def test_receipts_are_settled_when_the_member_is_gone() -> None:
    """Guards against ends that are never acknowledged."""
    follower = _follower()
    receipts = [
        follower.keep_done("job", [TaskRef("job", 0, 0, 0)]),
        follower.send_progress("job", []),
    ]
    follower.close()
    receipts.append(follower.send_progress("job", []))
    assert all(receipt.is_settled for receipt in receipts)


async def test_a_busy_stream_sends_a_requested_heartbeat() -> None:
    """Guards against members that go on refusing jobs after an overload."""
    follower = _follower()
    while await _kinds(follower, 1) != ["beat"]:
        pass
    follower.request_heartbeat()
    kinds: list[str | None] = []
    while "beat" not in kinds and len(kinds) < MAX_FRAMES:
        follower.send_progress("job", [])
        kinds += await _kinds(follower, 1)
        await asyncio.sleep(HEARTBEAT_S / 20)
    assert kinds[-1] == "beat"
    assert kinds.count("progress") > 1


async def test_a_requested_heartbeat_does_not_go_out_at_once() -> None:
    """Guards against hundreds of frames in one turn of the leader's event loop."""
    follower = _follower()
    while await _kinds(follower, 1) != ["beat"]:
        pass
    follower.send_progress("job", [])
    follower.request_heartbeat()
    assert await _kinds(follower, 1) == ["progress"]
