"""Tests of the leader's traffic to its followers when targets or members change."""

import asyncio
import time

from cassiaturn.fleet._follower import HEARTBEAT_S
from cassiaturn.fleet._target_timing import ORDER_TIMEOUT_S
from cassiaturn.platform.tests.fleet import Fleet
from cassiaturn.platform.tests.standin_store import LOOPBACK

TARGETS = 250
"""Targets of a large deployment."""

REPLACED = 23
"""Targets that start draining at the same time."""

FOLLOWERS = 30
"""Followers in the large deployment."""

LINK_BYTES_PER_S = 12.5e6 / 8
"""Narrowest link of a leader's host in such a deployment."""

CHANGE_BYTES = LINK_BYTES_PER_S * ORDER_TIMEOUT_S / (REPLACED * FOLLOWERS)
"""Limit on the bytes per change and follower: the link must send all of them within the
timeout of an order to a target, because the order is queued behind them."""


def _target_entry(number: int, state: str = "ready") -> dict[str, object]:
    """Return the entry of a target that gets no calls: no route uses its service."""
    return {
        "service": "other",
        "address": f"{LOOPBACK}:{20_000 + number}",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": state,
        "coldRemainingMs": 0,
        "capacity": {"cpu": 16_000, "memMb": 64_000, "gpu": 0},
        "labels": ["a", "r1-1"],
        "sequence": 1,
    }


async def _publish_many(fleet: Fleet) -> None:
    for number in range(TARGETS):
        fleet.store.state.put("servers", f"other-{number}", _target_entry(number))
    wanted = TARGETS + len(fleet.runners)
    await fleet.until(lambda: all(known == wanted for known in _known_targets(fleet)))
    await asyncio.sleep(0.5)


def _known_targets(fleet: Fleet) -> list[int]:
    """Return the number of targets that each follower knows."""
    return [len(member.member.known_targets) for member in fleet.followers()]


def _sent_bytes(fleet: Fleet) -> int:
    return sum(fleet.leader().member.load.bytes_by_kind.values())


async def test_targets_that_drain_together_do_not_saturate_the_leaders_link(
    fleet: Fleet,
) -> None:
    """Guards against answers that are late for seconds when many targets drain.

    23 of 250 targets start draining at once while all others keep working. If the
    leader sends the whole list of members and targets to each follower for every single
    change, the lists take up to 15 MB/s on a link of 12.5 MB/s, and frames wait for
    1.4 s, although the event loop is at most 31 ms late. Orders to targets time out and
    nearly all targets count as silent.
    """
    await _publish_many(fleet)
    before = _sent_bytes(fleet)
    for number in range(REPLACED):
        entry = _target_entry(number, "draining")
        fleet.store.state.put("servers", f"other-{number}", entry)
    await fleet.until(
        lambda: all(
            sum(report.leaving for report in member.member.known_targets.values())
            == REPLACED
            for member in fleet.followers()
        )
    )
    sent = _sent_bytes(fleet) - before
    assert sent <= REPLACED * len(fleet.followers()) * CHANGE_BYTES


async def test_a_joining_member_does_not_saturate_the_leaders_link(
    fleet: Fleet,
) -> None:
    """Guards against sending the whole list to every follower when one member joins.

    After a change of leader, all members join almost at once. The list of members and
    targets, sent to each follower for each of them, would saturate the link.
    """
    await _publish_many(fleet)
    before = dict(fleet.leader().member.load.bytes_by_follower)
    await fleet.add_member("front-9")
    wanted = TARGETS + len(fleet.runners)
    await fleet.until(lambda: all(known == wanted for known in _known_targets(fleet)))
    await asyncio.sleep(0.5)
    after = fleet.leader().member.load.bytes_by_follower
    heartbeat_bytes = 8 * 16
    for name, size in before.items():
        assert after[name] - size <= CHANGE_BYTES + heartbeat_bytes


async def test_the_queue_is_counted_once_for_the_heartbeats_of_all_followers(
    fleet: Fleet,
) -> None:
    """Guards against late answers because the leader counts its queue too often.

    Hundreds of followers get a heartbeat every 0.15 s while thousands of jobs wait.
    Counting the queue again for each follower takes the leader's whole processor.
    """
    leader = fleet.leader().member.leader
    assert leader is not None
    count, counts = leader.waiting_by_route, []

    def counted() -> dict[str, int]:
        counts.append(1)
        return count()

    leader.waiting_by_route = counted  # type: ignore[method-assign]
    began_at = time.monotonic()
    await asyncio.sleep(1.0)
    assert len(counts) <= (time.monotonic() - began_at) / HEARTBEAT_S + 1
