"""A member's copy of the estimates of its leader, for when it has to lead.

While the leader is heard, an entry that is not sent again has not changed, so it grows
no older. From the leader's last frame on, its age counts.
"""

from collections.abc import Sequence
from dataclasses import replace

from cassiaturn.fleet._estimates_codec import read_estimates
from cassiaturn.sharing import Estimate, EstimateKey
from cassiaturn.v1 import fleet_pb2 as pb

MAX_ENTRIES = 5_120
"""Number of entries that a member keeps: those that a leader lists at most."""


class KeptEstimates:
    """Estimates by key, of this member's leader and of earlier ones."""

    def __init__(self) -> None:
        """Start without estimates."""
        self.ignored = 0
        """Number of entries ignored for their values, or beyond the limit."""

        self.is_whole = False
        """Whether the last leader had sent all that it knew with its last page."""

        self._told_by_key: dict[EstimateKey, Estimate] = {}
        """Entries of the leader that is followed, with the time for which their age
        was told."""

        self._earlier_by_key: dict[EstimateKey, Estimate] = {}
        """Entries of earlier leaders that this one has not sent."""

        self._told_at_by_key: dict[EstimateKey, float] = {}

    @property
    def count(self) -> int:
        """Number of entries."""
        return len(self._told_by_key) + len(self._earlier_by_key)

    def read(self, message: pb.Estimates, now: float) -> int:
        """Apply what the leader sent.

        :param now: monotonic time in seconds.
        :returns: the number of entries that were ignored.
        """
        read = read_estimates(message, now)
        ignored = read.ignored
        for key in read.gone:
            self._remove(key)
        for estimate in read.estimates:
            self._earlier_by_key.pop(estimate.key, None)
            if estimate.key not in self._told_by_key and not self._has_place():
                ignored += 1
                continue
            self._told_by_key[estimate.key] = estimate
            self._told_at_by_key[estimate.key] = now
        self.is_whole = message.whole
        self.ignored += ignored
        return ignored

    def end_term(self, heard_at: float) -> None:
        """Let the entries grow older: the leader is not followed any more.

        :param heard_at: monotonic time of its last frame, in seconds.
        """
        for key, estimate in self._told_by_key.items():
            unchanged_s = max(0.0, heard_at - self._told_at_by_key[key])
            self._earlier_by_key[key] = replace(
                estimate, learned_at=estimate.learned_at + unchanged_s
            )
        self._told_by_key = {}
        self._told_at_by_key = {}

    def keep_own(self, estimates: Sequence[Estimate]) -> None:
        """Keep what this member has learned as the leader."""
        self._told_by_key = {}
        self._told_at_by_key = {}
        self._earlier_by_key = {estimate.key: estimate for estimate in estimates}
        self.is_whole = True

    @property
    def estimates(self) -> Sequence[Estimate]:
        """All entries, once the term of the leader has ended."""
        return tuple(self._earlier_by_key.values())

    def _has_place(self) -> bool:
        """Return whether one more entry can be kept; an earlier leader's makes place.

        Targets that left while nobody led are never told to be gone.
        """
        if self.count >= MAX_ENTRIES and self._earlier_by_key:
            del self._earlier_by_key[next(iter(self._earlier_by_key))]
        return self.count < MAX_ENTRIES

    def _remove(self, key: EstimateKey) -> None:
        self._told_by_key.pop(key, None)
        self._told_at_by_key.pop(key, None)
        self._earlier_by_key.pop(key, None)
