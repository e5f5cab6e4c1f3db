"""Chooses a peer for queued tasks of an instance that has no targets.

Load pattern: an instance that is shutting down has handed its targets over while
tasks still wait in its queue, or it has no targets because other instances hold
them all. No slot becomes free here, so if every peer is full, waiting for a peer to
report a free slot can last until the deadline.

Grounds: without own targets the peer with the shortest expected wait is best,
however long that wait is (join the shortest queue). Reports are stale, so each
send since a peer's last report counts as waiting there; otherwise a long queue
would go to a single peer.
"""

from collections.abc import Sequence

from cassiaturn.policy._placement import PeerRow


def choose_handover_peer(peers: Sequence[PeerRow]) -> PeerRow | None:
    """Return the ready peer with the shortest wait, or None if none is ready.

    :param peers: all known peers.
    """
    ready = [peer for peer in peers if peer.ready and peer.slots > 0]
    return min(ready, key=_backlog, default=None)


def _backlog(peer: PeerRow) -> float:
    waiting = peer.queued + peer.claimed - peer.free_slots
    return waiting / peer.slots
