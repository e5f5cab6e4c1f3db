"""Choice of the peer that runs a task when no own target is free.

Load pattern: an instance whose slots are full while peers have free ones.
Without spilling, the work of one instance queues beside idle slots; with eager
spilling, several instances send to the same free slot and all but one of the
sends are wasted.

Grounds: a peer's report is as old as its heartbeat, and every other instance
sees the same one. So a sender claims only a part of the reported free slots,
lowers what it believes by its own sends, chooses among peers in proportion to
free slots (join idle queue with a random tie break does not herd), and goes
far only if the wait saved pays for the distance. The last free slots of each
instance are left to higher classes (trunk reservation), but only while a peer
reports room: then lower work has somewhere to go and no throughput is lost.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from cassiaturn.policy._queued_task import QueuedTask
from cassiaturn.policy._settings import PlacementSettings

_HASH_RANGE = float(1 << 64)
_ROUNDING = 0.5
"""Turns "more slots than the share, rounded" into a comparison of floats."""


@dataclass(slots=True, kw_only=True, eq=False)
class PeerRow:
    """Another instance, as last reported and as believed since."""

    instance_id: str
    """Its name."""

    incarnation: str
    """Its present life."""

    failure_domain: str
    """Where it runs."""

    free_slots: int
    """Free slots believed: reported, less our sends since."""

    queued: int
    """Queued tasks reported."""

    expected_wait_s: float
    """Expected wait reported, in seconds."""

    reported_at: float
    """When the report arrived, in seconds."""

    ready: bool
    """Whether it takes work."""

    slots: int
    """Slots it holds."""

    outstanding: int = 0
    """Our tasks with it that have no outcome yet."""

    claimed: int = 0
    """Our sends since its last report."""

    def apply_report(
        self, *, free_slots: int, queued: int, expected_wait_s: float, now: float
    ) -> None:
        """Take in a report, which overrules what was believed."""
        self.free_slots = free_slots
        self.queued = queued
        self.expected_wait_s = expected_wait_s
        self.reported_at = now
        self.claimed = 0

    def count_send(self) -> None:
        """Count a task as sent to it."""
        self.free_slots -= 1
        self.claimed += 1
        self.outstanding += 1


class Placement:
    """Chooses a peer for tasks that find no free target of their own."""

    def __init__(self, *, settings: PlacementSettings, failure_domain: str) -> None:
        """Make the chooser of an instance.

        :param settings: the tunables.
        :param failure_domain: where the instance runs.
        """
        self._settings = settings
        self._failure_domain = failure_domain

    def choose_peer(
        self,
        task: QueuedTask,
        own_wait_s: float,
        peers: Sequence[PeerRow],
        now: float,
    ) -> PeerRow | None:
        """Return the peer that should run a task, or None to keep it.

        A task that no peer has room for may use spare slots from now on.

        :param task: a task that no own target is free for.
        :param own_wait_s: its expected wait here, in seconds.
        :param peers: all known peers.
        :param now: present time, in seconds.
        """
        settings = self._settings
        near_after_s = settings.spill_after_s_by_class[task.request_class]
        if own_wait_s < near_after_s:
            return None
        spare_share = settings.spare_share_by_class.get(task.request_class, 0.0)
        with_room = _with_room(peers, spare_share, now - settings.report_trust_s)
        if not with_room:
            # With every peer full, a slot kept for higher classes is lost to all
            # and throughput falls by as much. Letting just this task have it is
            # enough: one task at a time is in this place.
            task.may_use_spare = True
            return None
        may_go_far = own_wait_s >= near_after_s + settings.far_extra_s
        wait_below_s = own_wait_s * settings.hysteresis
        near: list[PeerRow] = []
        far: list[PeerRow] = []
        for peer in with_room:
            free = peer.free_slots
            claimed = peer.claimed
            if free <= spare_share * peer.slots + _ROUNDING:
                continue
            if claimed and claimed >= (free + claimed) * settings.claim_share:
                continue
            if peer.expected_wait_s >= wait_below_s:
                continue
            if peer.failure_domain == self._failure_domain:
                near.append(peer)
            elif may_go_far:
                far.append(peer)
        return _draw(task, near or far)


def _with_room(
    peers: Sequence[PeerRow], spare_share: float, reported_after: float
) -> Sequence[PeerRow]:
    """Return the ready peers whose last report names room for a class."""
    return [
        peer
        for peer in peers
        if peer.free_slots + peer.claimed > spare_share * peer.slots + _ROUNDING
        and peer.reported_at > reported_after
        and peer.ready
    ]


def _draw(task: QueuedTask, peers: Sequence[PeerRow]) -> PeerRow | None:
    if not peers:
        return None
    if len(peers) == 1:
        return peers[0]
    # Every instance sees the same reports; if each took the freest peer, all
    # would send there at once. The hash gives each task its own order.
    total = sum(peer.free_slots for peer in peers)
    digest = xxhash.xxh3_64_intdigest(
        task.key.submission_id.encode(), task.key.task_index
    )
    mark = digest / _HASH_RANGE * total
    for peer in peers:
        mark -= peer.free_slots
        if mark < 0.0:
            return peer
    return peers[-1]
