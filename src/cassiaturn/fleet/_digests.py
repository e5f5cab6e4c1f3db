"""Digests of a list of targets, by which two copies find what differs.

Load pattern: after a change of leader every member joins the new one within moments,
and holds nearly the list that the new leader has. Sent whole to each of them, the list
fills the leader's link (28 members, 250 targets: 0.6 MB, 0.4 s of 12.5 Mbit/s) just
when it takes over all that runs. Only the buckets that differ are sent.
"""

from collections.abc import Sequence

import xxhash

from cassiaturn.v1 import fleet_pb2 as pb

BUCKETS = 64
"""Parts of a list that are compared. Their digests are half a kilobyte a hello; of
1,400 targets one that differs has 22 sent, two kilobytes."""


def bucket_of(target_id: str) -> int:
    """Return the bucket of a target."""
    return xxhash.xxh64_intdigest(target_id.encode()) % BUCKETS


class Digests:
    """The digest of each bucket, kept up to date entry by entry."""

    def __init__(self) -> None:
        """Begin with an empty list."""
        self._digest_by_id: dict[str, int] = {}
        self._by_bucket = [0] * BUCKETS

    @property
    def by_bucket(self) -> Sequence[int]:
        """Digests in the order of the buckets; the order of entries does not count."""
        return tuple(self._by_bucket)

    def put(self, entry: pb.TargetEntry) -> bool:
        """Take in an entry; returns whether it differs from the one before."""
        data = _without_sequence(entry).SerializeToString(deterministic=True)
        digest = xxhash.xxh3_64_intdigest(data)
        before = self._digest_by_id.get(entry.target_id, 0)
        if digest == before:
            return False
        self._digest_by_id[entry.target_id] = digest
        self._by_bucket[bucket_of(entry.target_id)] ^= before ^ digest
        return True

    def remove(self, target_id: str) -> bool:
        """Take out an entry; returns whether it was there."""
        digest = self._digest_by_id.pop(target_id, None)
        if digest is None:
            return False
        self._by_bucket[bucket_of(target_id)] ^= digest
        return True

    def differing(self, others: Sequence[int]) -> frozenset[int]:
        """Return the buckets in which another copy differs.

        :param others: digests of that copy; of another length, nothing is known of it.
        """
        if len(others) != BUCKETS:
            return frozenset(range(BUCKETS))
        pairs = enumerate(zip(self._by_bucket, others, strict=True))
        return frozenset(bucket for bucket, (own, other) in pairs if own != other)


def _without_sequence(entry: pb.TargetEntry) -> pb.TargetEntry:
    """Return what copies of one list agree in: each report has another sequence."""
    compared = pb.TargetEntry()
    compared.CopyFrom(entry)
    compared.ClearField("sequence")
    return compared
