"""When to read the version row.

Load pattern: 350 instances poll one row, 3,500 changes come a day, and every
change has to be in force everywhere within 5 s. With a period of 2 s the fleet
makes 175 reads a second of some 2,000. Without jitter, instances that started
together would read in the same millisecond and be refused together; with it, a
quarter of the period each way, the longest gap is 2.5 s, which leaves 2.5 s for
a read of the row and one of the document.
"""

import random

JITTER = 0.25
"""Share of the period by which a poll may come earlier or later."""

HINT_SPREAD_S = 0.5
"""Time over which instances that heard of a new version read it, in seconds.

A heartbeat tells all of a domain at once; without the spread, 350 instances
would read two rows each in the same instant, a third of a second's reads.
"""


class PollSchedule:
    """Decides when one instance reads the version row."""

    __slots__ = ("_due_at", "_period_s", "_rng")

    def __init__(self, *, period_s: float, rng: random.Random) -> None:
        """Be due at once, since an instance that starts has nothing to serve by.

        :param period_s: mean time between two reads, in seconds.
        :param rng: source of the jitter.
        """
        self._period_s = period_s
        self._rng = rng
        self._due_at = 0.0

    def is_due(self, now: float) -> bool:
        """Whether to read now.

        :param now: monotonic time, in seconds.
        """
        return now >= self._due_at

    def done(self, now: float) -> None:
        """Plan the next read after one that was made, whatever came of it.

        :param now: monotonic time, in seconds.
        """
        factor = self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._due_at = now + self._period_s * factor

    def hinted(self, now: float) -> None:
        """Read sooner, since a peer holds a higher version.

        :param now: monotonic time, in seconds.
        """
        latest = now + HINT_SPREAD_S
        if self._due_at > latest:
            self._due_at = now + self._rng.uniform(0, HINT_SPREAD_S)
