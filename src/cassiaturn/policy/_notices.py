"""Chooses the peers that get an extra message about free slots here.

Load pattern: one instance has a queue while another has just become free. Load
reports are carried by frames that are sent anyway, so without an extra message an
instance that exchanges no work with the other is still believed to be full.

Grounds: a notice is worth its cost only if the peer has queued work and believes
that no slot is free here. A single free slot is taken before the notice arrives.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cassiaturn.policy._placement import PeerRow

MIN_FREE_SLOTS = 3
"""Least number of free slots for which a notice is sent."""

MIN_INTERVAL_S = 1.0
"""Least time between two notices to one peer, in seconds."""


@dataclass(slots=True, kw_only=True)
class LastReport:
    """Free slots last reported to a peer."""

    free_slots: int = 0
    """Free slots in the last frame of any kind to the peer."""

    notified_at: float = float("-inf")
    """When the last notice was sent to the peer, in seconds."""


class FreeSlotNotices:
    """Tracks the load reports sent to each peer and chooses whom to notify."""

    def __init__(self, *, failure_domain: str) -> None:
        """Start without any report sent.

        :param failure_domain: failure domain of the instance; peers in the same
            domain are notified first.
        """
        self._failure_domain = failure_domain
        self._reports_by_peer: dict[str, LastReport] = {}

    def record_sent(self, incarnation: str, free_slots: int) -> None:
        """Record the free slots reported in a frame to a peer."""
        last_report = self._reports_by_peer.setdefault(incarnation, LastReport())
        last_report.free_slots = free_slots

    def forget(self, incarnation: str) -> None:
        """Drop the record of a peer that is gone."""
        self._reports_by_peer.pop(incarnation, None)

    def due(
        self, *, free_slots: int, queued: int, peers: Iterable[PeerRow], now: float
    ) -> Sequence[str]:
        """Return the peers to notify now, each at most once in ``MIN_INTERVAL_S``.

        :param free_slots: free slots of this instance.
        :param queued: queued tasks of this instance.
        :param peers: all known peers.
        :param now: present time, in seconds.
        :returns: incarnations; at most one per ``MIN_FREE_SLOTS`` free slots.
        """
        if queued or free_slots < MIN_FREE_SLOTS:
            return ()
        waiting = [peer for peer in peers if self._needs_notice(peer, now)]
        waiting.sort(key=lambda peer: peer.failure_domain != self._failure_domain)
        chosen = waiting[: free_slots // MIN_FREE_SLOTS]
        for peer in chosen:
            last_report = self._reports_by_peer.setdefault(
                peer.incarnation, LastReport()
            )
            last_report.notified_at = now
        return [peer.incarnation for peer in chosen]

    def _needs_notice(self, peer: PeerRow, now: float) -> bool:
        if not peer.ready or peer.queued == 0:
            return False
        last_report = self._reports_by_peer.get(peer.incarnation)
        if last_report is None:
            return True
        return (
            last_report.free_slots < MIN_FREE_SLOTS
            and now - last_report.notified_at >= MIN_INTERVAL_S
        )
