"""Determines the share of new jobs to refuse while the leader is saturated.

Load pattern: more jobs than one process can start, above all a burst while targets are
unreachable. If all are accepted, every caller is late: replies are read after their
orders have timed out, healthy targets count as unresponsive, and followers consider the
leader dead.

Grounds: a timer is late by the work that ran before it. If work is done in small
batches instead, the backlog shows in how long jobs that could still be in time are left
waiting although there is capacity for them. A pause of the process delays single
timers, overload delays all of them. The excess is refused by the member that the caller
reached, the least urgent jobs first.
"""

from collections import deque
from collections.abc import Sequence

import xxhash

SATURATED_LATENESS_S = 0.06
"""Lateness of consecutive timers from which the process counts as saturated, in
seconds: below the timeout of a start order."""

MAX_BEHIND_S = 0.1
"""Cap on the time that jobs have been left waiting, in seconds: jobs that have waited
longer are late anyway, so more says nothing further about the load of the process."""

LATE_TIMERS = 2
"""Consecutive timers that must be late: a single one indicates a pause of the process.
"""

MIN_SHARE_INCREASE = 0.1
"""Smallest increase of the share, as a fraction of the jobs still accepted."""

MAX_SHARE_INCREASE = 0.8
"""Largest increase of the share, as a fraction of the jobs still accepted. Between the
two bounds the fraction equals the lateness in seconds."""

MIN_INCREASE_INTERVAL_S = 0.2
"""Minimum time between two increases, in seconds: members learn of an increase within
a heartbeat."""

SHARE_DECREASE = 0.01
"""Decrease of the share for each timer on time: a tenth of all jobs in 0.5 s."""

MAX_SHED_SHARE = 0.9
"""Largest share refused: the remaining jobs show whether the process is still
saturated."""

_HASH_RANGE = float(1 << 64)


class LoadShedder:
    """Learns from event loop timers which share of new jobs to refuse."""

    def __init__(self) -> None:
        """Start with no job refused."""
        self.share = 0.0
        """Share of all new jobs to refuse, 0 to 1."""

        self._late_s: deque[float] = deque(maxlen=LATE_TIMERS)
        self._increased_at = float("-inf")

    def observe(self, late_s: float, now: float, *, behind_s: float = 0.0) -> None:
        """Add the sample of one timer and update the share.

        :param late_s: by how much it fired late, in seconds.
        :param behind_s: how long jobs that could still be in time have been left
            waiting although there is capacity for them, in seconds.
        :param now: current time in seconds.
        """
        late_s = max(late_s, min(behind_s, MAX_BEHIND_S))
        self._late_s.append(late_s)
        if len(self._late_s) < LATE_TIMERS or min(self._late_s) < SATURATED_LATENESS_S:
            self.share = max(0.0, self.share - SHARE_DECREASE)
        elif now - self._increased_at >= MIN_INCREASE_INTERVAL_S:
            self._increased_at = now
            fraction = min(MAX_SHARE_INCREASE, max(MIN_SHARE_INCREASE, late_s))
            self.share = min(MAX_SHED_SHARE, self.share + fraction * (1.0 - self.share))


def is_shed(
    job_id: str, *, share: float, priority: int, priorities: Sequence[int]
) -> bool:
    """Return whether a new job is refused.

    The share is taken from the least urgent priorities first, as if each priority had
    the same number of jobs.

    :param job_id: its hash decides which jobs of one priority are refused.
    :param share: share of all new jobs that are refused, 0 to 1.
    :param priority: priority of its route; 0 is the most urgent.
    :param priorities: every priority in use, in ascending order.
    """
    less_urgent = sum(other > priority for other in priorities)
    own_share = share * len(priorities) - less_urgent
    hash_fraction = xxhash.xxh3_64_intdigest(job_id.encode()) / _HASH_RANGE
    return hash_fraction < own_share
