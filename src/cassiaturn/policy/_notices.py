"""Whom to tell that slots are free here, with a message of its own.

Load pattern: one instance has a queue while another has become free. The load of
an instance rides on the frames that it sends anyway, so one that has just become
free, and exchanges no work with the other, is still believed to be full.

Grounds: a notice pays only if its reader has work for the slots and believes that
there are none, and a single free slot is taken before the notice arrives.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cassiaturn.policy._placement import PeerRow

LEAST_FREE = 3
"""Free slots from which a notice is sent."""

PACE_S = 1.0
"""Time between two notices to one peer, in seconds."""


@dataclass(slots=True, kw_only=True)
class Told:
    """What a peer was last told of our free slots."""

    free_slots: int = 0
    """Slots that it was told of, by any frame."""

    noticed_at: float = float("-inf")
    """When it last got a frame for this alone, in seconds."""


class FreeSlotNotices:
    """Remembers what each peer was told and says whom to tell more."""

    def __init__(self, *, failure_domain: str) -> None:
        """Start with nobody told.

        :param failure_domain: of the instance; peers there are told first.
        """
        self._failure_domain = failure_domain
        self._told_by_peer: dict[str, Told] = {}

    def record_sent(self, incarnation: str, free_slots: int) -> None:
        """Note what a frame to a peer said."""
        told = self._told_by_peer.setdefault(incarnation, Told())
        told.free_slots = free_slots

    def forget(self, incarnation: str) -> None:
        """Drop a peer that is gone."""
        self._told_by_peer.pop(incarnation, None)

    def due(
        self, *, free_slots: int, queued: int, peers: Iterable[PeerRow], now: float
    ) -> Sequence[str]:
        """Return the peers to tell now, each at most once in ``PACE_S``.

        :param free_slots: free here.
        :param queued: tasks that wait here.
        :param now: time in seconds.
        :returns: incarnations; as many as the free slots can serve.
        """
        if queued or free_slots < LEAST_FREE:
            return ()
        waiting = [peer for peer in peers if self._is_waiting(peer, now)]
        waiting.sort(key=lambda peer: peer.failure_domain != self._failure_domain)
        chosen = waiting[: free_slots // LEAST_FREE]
        for peer in chosen:
            told = self._told_by_peer.setdefault(peer.incarnation, Told())
            told.noticed_at = now
        return [peer.incarnation for peer in chosen]

    def _is_waiting(self, peer: PeerRow, now: float) -> bool:
        if not peer.ready or peer.queued == 0:
            return False
        told = self._told_by_peer.get(peer.incarnation)
        if told is None:
            return True
        return told.free_slots < LEAST_FREE and now - told.noticed_at >= PACE_S
