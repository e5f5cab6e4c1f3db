"""Chooses the peer that runs a task when no own target is free.

Load pattern: all slots of an instance are in use while peers have free ones.
Without spilling, tasks of one instance queue while slots elsewhere are idle; with
eager spilling, several instances send to the same free slot and all but one of the
sends are wasted.

Grounds: a peer's report is as old as its heartbeat, and every other instance sees the
same one. So a sender claims only a share of the reported free slots, subtracts its own
sends from them, chooses among peers at random in proportion to their free slots (join
idle queue with a random tie break, which avoids herding), and sends to another failure
domain only if the wait saved outweighs the latency. The last free slots of each
instance are reserved for higher classes (trunk reservation), but only while a peer
reports free slots: lower classes then have somewhere to go, and no throughput is lost.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from cassiaturn.policy._queued_task import QueuedTask
from cassiaturn.policy._settings import PlacementSettings

_HASH_RANGE = float(1 << 64)
_ROUNDING = 0.5
"""Makes a comparison with a fractional number of slots round to whole slots."""


@dataclass(slots=True, kw_only=True, eq=False)
class PeerRow:
    """Estimated load of a peer: its last report, corrected by own sends."""

    instance_id: str
    """Id of the instance."""

    incarnation: str
    """Id of its present process."""

    failure_domain: str
    """Failure domain in which it runs."""

    free_slots: int
    """Estimated free slots: those reported, less own sends since."""

    queued: int
    """Queued tasks reported."""

    expected_wait_s: float
    """Expected wait reported, in seconds."""

    reported_at: float
    """When the report arrived, in seconds."""

    ready: bool
    """Whether it accepts work."""

    slots: int
    """Slots that it holds."""

    outstanding: int = 0
    """Own tasks sent to it that have no outcome yet."""

    claimed: int = 0
    """Own sends since its last report."""

    def apply_report(
        self, *, free_slots: int, queued: int, expected_wait_s: float, now: float
    ) -> None:
        """Replace the estimates by a new report."""
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
        """Make the placement of an instance.

        :param settings: placement settings.
        :param failure_domain: failure domain in which the instance runs.
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

        A task for which no peer has free slots may use reserved slots from now on.

        :param task: a task for which no own target is free.
        :param own_wait_s: its expected wait at this instance, in seconds.
        :param peers: all known peers.
        :param now: present time, in seconds.
        """
        settings = self._settings
        spill_after_s = settings.spill_after_s_by_class[task.request_class]
        if own_wait_s < spill_after_s:
            return None
        spare_share = settings.spare_share_by_class.get(task.request_class, 0.0)
        candidates = _with_free_slots(peers, spare_share, now - settings.report_trust_s)
        if not candidates:
            # While every peer is full, a slot reserved for higher classes stays
            # idle and its throughput is lost. Permitting only this task is enough,
            # because one task at a time is at the head of the queue.
            task.may_use_spare = True
            return None
        may_leave_domain = own_wait_s >= spill_after_s + settings.far_extra_s
        peer_wait_limit_s = own_wait_s * settings.hysteresis
        in_same_domain: list[PeerRow] = []
        in_other_domains: list[PeerRow] = []
        for peer in candidates:
            free = peer.free_slots
            claimed = peer.claimed
            if free <= spare_share * peer.slots + _ROUNDING:
                continue
            if claimed and claimed >= (free + claimed) * settings.claim_share:
                continue
            if peer.expected_wait_s >= peer_wait_limit_s:
                continue
            if peer.failure_domain == self._failure_domain:
                in_same_domain.append(peer)
            elif may_leave_domain:
                in_other_domains.append(peer)
        return _choose_weighted(task, in_same_domain or in_other_domains)


def _with_free_slots(
    peers: Sequence[PeerRow], spare_share: float, reported_after: float
) -> Sequence[PeerRow]:
    """Return the ready peers whose last report has free slots for a class."""
    return [
        peer
        for peer in peers
        if peer.free_slots + peer.claimed > spare_share * peer.slots + _ROUNDING
        and peer.reported_at > reported_after
        and peer.ready
    ]


def _choose_weighted(task: QueuedTask, peers: Sequence[PeerRow]) -> PeerRow | None:
    if not peers:
        return None
    if len(peers) == 1:
        return peers[0]
    # Every instance sees the same reports; if each chose the peer with the most
    # free slots, all would send to it at once. The hash makes the choice of each
    # task independent.
    total = sum(peer.free_slots for peer in peers)
    digest = xxhash.xxh3_64_intdigest(
        task.key.submission_id.encode(), task.key.task_index
    )
    point = digest / _HASH_RANGE * total
    for peer in peers:
        point -= peer.free_slots
        if point < 0.0:
            return peer
    return peers[-1]
