"""Choice of the peer that takes queued work of an instance without targets.

Load pattern: an instance that leaves has given its targets to others while tasks
still wait in its queue, or has none since others hold them all. No slot frees up
here, so waiting for a peer that reports a free one can last until the deadline
when every peer is full.

Grounds: with no way of its own the shortest expected wait is best, whatever it is;
the count of our own sends since a peer's report keeps a long queue from going to
one peer (join the shortest queue, with stale reports corrected by own sends).
"""

from collections.abc import Sequence

from cassiaturn.policy._placement import PeerRow


def choose_handover_peer(peers: Sequence[PeerRow]) -> PeerRow | None:
    """Return the peer where a task waits the least, or None without any ready.

    :param peers: all known peers.
    """
    ready = [peer for peer in peers if peer.ready and peer.slots > 0]
    return min(ready, key=_backlog, default=None)


def _backlog(peer: PeerRow) -> float:
    waiting = peer.queued + peer.claimed - peer.free_slots
    return waiting / peer.slots
