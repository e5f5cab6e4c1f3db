"""What the leader sends to its followers when targets or members change."""

import asyncio
import time

from cassiaturn.fleet._follower import HEARTBEAT_S
from cassiaturn.fleet._target_timing import ORDER_TIMEOUT_S
from cassiaturn.platform.tests.fleet import Fleet
from cassiaturn.platform.tests.standin_store import LOOPBACK

TARGETS = 250
"""Targets of a deployment that is larger than this fleet."""

REPLACED = 23
"""Of these, so many announce at once that they leave."""

FOLLOWERS = 30
"""Followers of a leader there."""

LINK_BYTES_PER_S = 12.5e6 / 8
"""What its host may send, the narrowest of such a deployment."""

CHANGE_BYTES = LINK_BYTES_PER_S * ORDER_TIMEOUT_S / (REPLACED * FOLLOWERS)
"""Most that one change may cost for each follower: all of them together leave the link
within the time in which a target has to answer an order, which is sent after them."""


def _target_entry(number: int, state: str = "ready") -> dict[str, object]:
    """Return the entry of a target that gets no calls: its service has no queue."""
    return {
        "service": "other",
        "address": f"{LOOPBACK}:{20_000 + number}",
        "zone": "a",
        "state": state,
        "capacity": {"cpu": 16_000, "memMb": 64_000, "gpu": 0},
        "labels": ["a", "r1-1"],
        "sequence": 1,
    }


async def _publish_many(fleet: Fleet) -> None:
    for number in range(TARGETS):
        fleet.store.state.put("servers", f"other-{number}", _target_entry(number))
    wanted = TARGETS + len(fleet.runners)
    await fleet.until(lambda: all(n == wanted for n in _known_targets(fleet)))
    await asyncio.sleep(0.5)


def _known_targets(fleet: Fleet) -> list[int]:
    """Return how many targets each follower knows of."""
    return [len(row.member.known_targets) for row in fleet.followers()]


def _sent_bytes(fleet: Fleet) -> int:
    return sum(fleet.leader().member.load.bytes_by_kind.values())


async def test_targets_that_leave_together_do_not_fill_the_leaders_link(
    fleet: Fleet,
) -> None:
    """23 of 250 targets announce at once that they leave; all others work on.

    Callers get no answer in time for seconds: orders to targets time out, and nearly
    all targets count as silent. For each single change the leader sent the list of all
    members and targets to each follower, and orders and answers waited behind it. Shown
    by a leader with a link of 12.5 MB/s: lists of up to 15 MB/s in just those seconds,
    frames that waited for 1.4 s, and an event loop that was 31 ms late at the most.
    """
    await _publish_many(fleet)
    before = _sent_bytes(fleet)
    for number in range(REPLACED):
        entry = _target_entry(number, "draining")
        fleet.store.state.put("servers", f"other-{number}", entry)
    await fleet.until(
        lambda: all(
            sum(report.leaving for report in row.member.known_targets.values())
            == REPLACED
            for row in fleet.followers()
        )
    )
    sent = _sent_bytes(fleet) - before
    assert sent <= REPLACED * len(fleet.followers()) * CHANGE_BYTES


async def test_a_member_that_joins_does_not_fill_the_leaders_link(
    fleet: Fleet,
) -> None:
    """A member joins; after a change of leader all of them do within moments.

    For each that joined, the leader sent the list of all members and targets to every
    follower, although nothing had changed for them but one member.
    """
    await _publish_many(fleet)
    before = dict(fleet.leader().member.load.bytes_by_follower)
    await fleet.add_member("front-9")
    wanted = TARGETS + len(fleet.runners)
    await fleet.until(lambda: all(n == wanted for n in _known_targets(fleet)))
    await asyncio.sleep(0.5)
    after = fleet.leader().member.load.bytes_by_follower
    beats = 8 * 16
    for name, size in before.items():
        assert after[name] - size <= CHANGE_BYTES + beats


async def test_the_queue_is_counted_once_for_the_heartbeats_of_all_followers(
    fleet: Fleet,
) -> None:
    """Hundreds of followers get a heartbeat each 0.15 s while thousands of jobs wait.

    Counted anew for each of them, the queue takes the leader's whole processor, and
    answers wait for it.
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
