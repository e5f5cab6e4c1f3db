"""Which jobs are refused while the leader's process is full.

Load pattern: more jobs than one process can start, above all a burst while targets are
cut off. Taken all the same, every caller is late: answers are read after the timeout of
their orders, sound targets count as silent, and followers take the leader for dead.

Grounds: a timer is late by the work that waited before it, and work that is done in
small parts is late by how long some of it that could be in time has been left. A pause
of the process makes single timers late, work that does not fit makes all of them late.
What cannot be taken is refused by the member that the caller reached, the least urgent
jobs first.
"""

from collections import deque
from collections.abc import Sequence

import xxhash

BUSY_LATE_S = 0.06
"""Lateness of each of some timers in a row from which the process counts as full, in
seconds: below the timeout of an order."""

MOST_BEHIND_S = 0.1
"""Longest time that jobs have been left that counts, in seconds: those that are left
for longer are not in time any more, so that it says no more about the process."""

TIMERS = 2
"""Timers in a row that must be late: one alone is a pause of the process."""

LEAST_RAISE = 0.1
"""Least part of the jobs still taken that a raise refuses."""

MOST_RAISE = 0.8
"""The same at the most; between the two it is the lateness in seconds."""

HOLD_S = 0.2
"""Least time between two raises, in seconds: members hear of one within a heartbeat."""

LOWER = 0.01
"""What is taken off the share at each timer in time: a tenth of all jobs in 0.5 s."""

MOST_SHED = 0.9
"""Largest share that is refused: the rest tells whether the process is still full."""

_HASH_RANGE = float(1 << 64)


class LoadShedder:
    """Learns from timers of the event loop which share of new jobs to refuse."""

    def __init__(self) -> None:
        """Refuse nothing."""
        self.share = 0.0
        """Share of all new jobs to refuse, 0 to 1."""

        self._late_s: deque[float] = deque(maxlen=TIMERS)
        self._raised_at = float("-inf")

    def observe(self, late_s: float, now: float, *, behind_s: float = 0.0) -> None:
        """Take in a timer.

        :param late_s: by how much it fired late, in seconds.
        :param behind_s: for how long jobs that could be in time have been left though
            there is room for them, in seconds.
        :param now: time in seconds.
        """
        late_s = max(late_s, min(behind_s, MOST_BEHIND_S))
        self._late_s.append(late_s)
        if len(self._late_s) < TIMERS or min(self._late_s) < BUSY_LATE_S:
            self.share = max(0.0, self.share - LOWER)
        elif now - self._raised_at >= HOLD_S:
            self._raised_at = now
            part = min(MOST_RAISE, max(LEAST_RAISE, late_s))
            self.share = min(MOST_SHED, self.share + part * (1.0 - self.share))


def is_shed(
    job_id: str, *, share: float, priority: int, priorities: Sequence[int]
) -> bool:
    """Return whether a new job is refused.

    :param job_id: gives each job its own place among those of its priority.
    :param share: of all new jobs that are refused, 0 to 1.
    :param priority: of its route; 0 goes first.
    :param priorities: every priority that jobs come with, in ascending order.
    """
    less_urgent = sum(other > priority for other in priorities)
    own_share = share * len(priorities) - less_urgent
    place = xxhash.xxh3_64_intdigest(job_id.encode()) / _HASH_RANGE
    return place < own_share
