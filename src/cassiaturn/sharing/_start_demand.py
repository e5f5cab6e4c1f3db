"""Decides which jobs members refuse because a leader cannot make their starts.

Load pattern: bursts of 1.75 and 3 times the starts that the leader's processor can
make. If all jobs are accepted, each order is late and hardly any caller is answered in
time. If the leader refuses the excess itself, reading and refusing takes the processor
time of other starts.

Grounds: members refuse the excess, the least urgent priorities first. The hash of a
job's id decides, so members keep no state. Jobs whose hash exceeds every share in force
reach the leader whatever members refuse, so their number gives the starts requested
without the delay of a report.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

import xxhash

from cassiaturn.sharing._start_rate import StartRate

MAX_SHARE = 0.9
"""Largest share of a priority that is refused. The remaining jobs show how many starts
are requested."""

MIN_SHARE_CHANGE = 0.04
"""Smallest change of a share that members are told, unless shedding begins or ends for
a priority: the count of requested starts varies by as much."""

BUCKET_S = 0.05
"""Width of the time buckets in which requested starts are counted, in seconds."""

FIRST_WINDOW_BUCKETS = 2
"""Complete buckets that the requested rate spans while no job is refused. With the
heartbeat of 150 ms, members refuse the excess within two heartbeats."""

WINDOW_BUCKETS = 10
"""Complete buckets that it spans while jobs are refused: the requested starts follow
from fewer jobs then, and their number varies the more the fewer they are."""

EXCESS_WINDOWS = (FIRST_WINDOW_BUCKETS, 5, WINDOW_BUCKETS)
"""Numbers of complete buckets over which an excess of requested starts is looked for:
three times the load shows in the first one, 1.75 times in the others."""

MIN_EXCESS_DEVIATIONS = 2.0
"""Excess from which shedding begins, in standard deviations of the requested starts. At
0.75 of what a processor can make, a tenth of a second often requests more than that,
and all of its jobs can be in time."""

RISE_WEIGHT = 0.5
"""Part of the way to a larger share that one tick goes, for a priority of which a share
is refused already."""

MAX_FALL = 0.05
"""Largest decrease of a share per tick while the processor is full: a short window
without jobs of the remaining share does not show the end of a burst."""

RELIEF = 0.3
"""Decrease of each share per tick once the process has processor time left. The largest
share is gone after three ticks, so members refuse nothing half a second after the end
of a burst."""

SHARES_IN_FORCE_BUCKETS = 13
"""Buckets for which members may still apply a share that the leader has replaced: the
window, a heartbeat, and its transfer."""

HASH_BINS = 20
"""Number of intervals of the hash in which requested starts are counted."""

_HASH_SEED = 1
"""Differs from the hash that spreads the retry-after. With the same hash, the retries
of the refused jobs would cover only a part of the interval."""

_HASH_RANGE = float(1 << 64)


def shed_hash(job_id: str) -> float:
    """Return the hash of a job's id that decides on its refusal, 0 to 1."""
    digest = xxhash.xxh3_64_intdigest(job_id.encode(), seed=_HASH_SEED)
    return digest / _HASH_RANGE


def is_in_shed_share(job_id: str, share: float) -> bool:
    """Return whether a new job belongs to the share of its priority that is refused.

    :param share: share of the jobs of its priority, 0 to 1.
    """
    return share > 0.0 and shed_hash(job_id) < share


def shares_by_priority(
    requested_by_priority: Mapping[int, float], starts_per_s: float
) -> dict[int, float]:
    """Return the share of new jobs to refuse, by priority, so that the rest fits.

    :param requested_by_priority: starts requested per second; priority 0 is the most
        urgent.
    :param starts_per_s: starts that the leader can make per second.
    :returns: only priorities of which a share is refused.
    """
    total = sum(requested_by_priority.values())
    if total <= starts_per_s:
        return {}
    budget = starts_per_s - (1.0 - MAX_SHARE) * total
    shares: dict[int, float] = {}
    for priority, requested in sorted(requested_by_priority.items()):
        optional = MAX_SHARE * requested
        if budget <= 0.0:
            # Also if none of its few remaining jobs arrived in the window.
            shares[priority] = MAX_SHARE
        elif budget < optional:
            shares[priority] = (optional - budget) / requested
        budget -= optional
    return shares


@dataclass(slots=True, kw_only=True)
class _Bucket:
    """Starts requested in one interval of time."""

    number: int
    """Number of the interval since time 0."""

    starts_by_bin: dict[int, list[int]] = field(default_factory=dict)
    """Starts by priority and interval of the hash."""

    starts: int = 0
    """Starts of all jobs."""

    squared_starts: int = 0
    """Sum of the squares of the jobs' starts, which tells how much their sum varies."""

    shares: dict[int, float] = field(default_factory=dict)
    """Shares decided in this interval, by priority."""


class StartDemand:
    """Counts the starts requested of a leader and decides which jobs members refuse."""

    def __init__(self) -> None:
        """Start with no job refused."""
        self.shares: dict[int, float] = {}
        """Share of new jobs to refuse, 0 to 1, by priority; empty: none."""

        self._buckets: deque[_Bucket] = deque(maxlen=SHARES_IN_FORCE_BUCKETS)
        self._window_from = 0

    def note(self, job_id: str, *, priority: int, starts: int, now: float) -> None:
        """Count a new job that has reached the leader.

        :param priority: priority of its route.
        :param starts: number of its tasks, each of which is one start.
        :param now: time in seconds.
        """
        bucket = self._bucket(now)
        bucket.starts += starts
        bucket.squared_starts += starts * starts
        bins = bucket.starts_by_bin.setdefault(priority, [0] * HASH_BINS)
        bins[min(HASH_BINS - 1, int(shed_hash(job_id) * HASH_BINS))] += starts

    def requested_by_priority(self, now: float) -> dict[int, float]:
        """Return the starts requested per second, with those that members refused.

        :param now: time in seconds.
        """
        current = self._bucket(now).number
        first_number = max(self._window_from, current - WINDOW_BUCKETS)
        if not self.shares:
            first_number = current - FIRST_WINDOW_BUCKETS
        window_s = (current - first_number) * BUCKET_S
        highest: dict[int, float] = {}
        for bucket in self._buckets:
            for priority, share in bucket.shares.items():
                highest[priority] = max(share, highest.get(priority, 0.0))
        requested: dict[int, float] = {}
        for bucket in self._buckets:
            for priority, bins in bucket.starts_by_bin.items():
                requested.setdefault(priority, 0.0)
                if not first_number <= bucket.number < current:
                    continue
                # Members refuse no job of these bins, whichever share they know.
                first = -int(-highest.get(priority, 0.0) * HASH_BINS // 1)
                first = min(first, HASH_BINS - 1)
                starts = sum(bins[first:]) * HASH_BINS / (HASH_BINS - first)
                requested[priority] += starts / window_s
        return requested

    def update(self, rate: StartRate, now: float) -> None:
        """Decide on the shares anew; called once a tick.

        Shedding begins only when the processor is full and clearly more starts are
        requested than it can make. It ends when they fit or the processor has time
        left.

        :param now: time in seconds.
        """
        if not self.shares and not (rate.is_full and self._has_excess(rate, now)):
            return
        requested = self.requested_by_priority(now)
        bucket = self._bucket(now)
        if not self.shares:
            # Buckets from before the burst would hide a part of it.
            self._window_from = bucket.number - FIRST_WINDOW_BUCKETS
        shares = self._next_shares(
            shares_by_priority(requested, rate.starts_per_s), is_free=rate.is_free
        )
        if shares.keys() != self.shares.keys() or any(
            abs(share - self.shares[priority]) >= MIN_SHARE_CHANGE
            for priority, share in shares.items()
        ):
            self.shares = shares
        for priority, share in self.shares.items():
            bucket.shares[priority] = max(share, bucket.shares.get(priority, 0.0))

    def _has_excess(self, rate: StartRate, now: float) -> bool:
        """Return whether clearly more starts are requested than can be made."""
        current = self._bucket(now).number
        for window in EXCESS_WINDOWS:
            buckets = [
                bucket
                for bucket in self._buckets
                if current - window <= bucket.number < current
            ]
            possible = rate.starts_per_s * window * BUCKET_S
            deviation = math.sqrt(sum(bucket.squared_starts for bucket in buckets))
            excess = sum(bucket.starts for bucket in buckets) - possible
            if excess > MIN_EXCESS_DEVIATIONS * deviation:
                return True
        return False

    def _next_shares(
        self, wanted: Mapping[int, float], *, is_free: bool
    ) -> dict[int, float]:
        """Return the shares of this tick on the way to those that are wanted."""
        shares: dict[int, float] = {}
        for priority in {*self.shares, *wanted}:
            share = wanted.get(priority, 0.0)
            before = self.shares.get(priority)
            if before is not None and is_free:
                share = min(share, before) - RELIEF
            elif before is not None and share < before:
                share = max(share, before - MAX_FALL)
            elif before is not None:
                share = before + RISE_WEIGHT * (share - before)
            if share > 0.0:
                shares[priority] = share
        return shares

    def _bucket(self, now: float) -> _Bucket:
        number = int(now / BUCKET_S)
        oldest = number - SHARES_IN_FORCE_BUCKETS
        while self._buckets and self._buckets[0].number <= oldest:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number < number:
            self._buckets.append(_Bucket(number=number))
        return self._buckets[-1]
