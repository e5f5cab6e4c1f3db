"""Decides which jobs members refuse because a leader cannot make their starts.

Load pattern: bursts of 1.75 and 3 times the starts that the leader's processor can
make. If all jobs are accepted, each order is late and hardly any caller is answered in
time. If the leader refuses the excess itself, reading and refusing takes the processor
time of other starts.

Grounds: only waits show that jobs are too many. The starts that the processor makes
tell how many are; what a start costs does not, since refusing jobs raises it. The rest
is distributed by weighted max-min fairness, so that a priority that requests little
keeps its jobs, and each gets a part. The hash of a job's id decides which jobs members
refuse, so they keep no state. Jobs whose hash exceeds every share in force reach the
leader whatever members refuse, so their number gives the starts requested without the
delay of a report.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

import xxhash

from cassiaturn.sharing._start_backlog import StartBacklog

MAX_SHARE = 0.9
"""Largest share of a priority that is refused. The remaining jobs show how many starts
are requested."""

PRIORITY_WEIGHT = 0.5
"""Weight of a priority over that of the next more urgent one in the distribution of
starts: with equal demand, it gets half as many. By strict priority, the least urgent
kinds of jobs would get none."""

MIN_SHARE_CHANGE = 0.04
"""Smallest change of a share that members are told, unless shedding begins or ends for
a priority: the count of requested starts varies by as much."""

BUCKET_S = 0.05
"""Width of the time buckets in which requested starts are counted, in seconds."""

START_WAITED_SHARE = 0.75
"""Part of their time that jobs must have waited for the processor before any is
refused: beyond it, the jobs that follow will be late."""

START_TICKS = 3
"""Consecutive ticks with such a wait after which shedding begins without a clear excess
of requested starts, which a load just above what is made does not show."""

LATEST_BUCKETS = 3
"""Complete buckets whose requested starts must fit for the shares to fall quickly."""

FIRST_WINDOW_BUCKETS = 5
"""Complete buckets that the requested rate spans when shedding begins: a burst of a
tenth of a second, whose jobs can all be in time, does not count as the load."""

WINDOW_BUCKETS = 10
"""Complete buckets that it spans while jobs are refused: the requested starts follow
from fewer jobs then, and their number varies the more the fewer they are."""

EXCESS_WINDOWS = (FIRST_WINDOW_BUCKETS, WINDOW_BUCKETS)
"""Numbers of complete buckets over which an excess of requested starts is looked for.
"""

MIN_EXCESS_DEVIATIONS = 2.0
"""Excess from which shedding begins, in standard deviations of the requested starts:
below it, the backlog is one of chance, and is made up for."""

RISE_WEIGHT = 0.5
"""Part of the way to a larger share that one tick goes."""

MAX_FALL = 0.05
"""Largest decrease of a share per tick while jobs are left unstarted: a short window
without jobs of the remaining share does not show the end of a burst."""

RELIEF = 0.3
"""Decrease of each share per tick once an overload is over. The largest share is gone
after three ticks, so members refuse nothing half a second after the end of a burst."""

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
    optional_by_priority = {
        priority: MAX_SHARE * requested
        for priority, requested in requested_by_priority.items()
    }
    budget = max(0.0, starts_per_s - (1.0 - MAX_SHARE) * total)
    fair_by_priority = _weighted_fair(optional_by_priority, budget)
    shares: dict[int, float] = {}
    for priority, requested in requested_by_priority.items():
        excess = optional_by_priority[priority] - fair_by_priority[priority]
        if not budget:
            # Also if none of its few remaining jobs arrived in the window.
            shares[priority] = MAX_SHARE
        elif excess > 0.0:
            shares[priority] = excess / requested
    return shares


def _weighted_fair(
    requested_by_priority: Mapping[int, float], starts_per_s: float
) -> dict[int, float]:
    """Return weighted max-min fair shares of starts, by priority.

    :param requested_by_priority: starts requested per second.
    :param starts_per_s: starts per second to distribute.
    :returns: in starts per second, at most what is requested.
    """
    weight_by_priority = {
        priority: PRIORITY_WEIGHT**rank
        for rank, priority in enumerate(sorted(requested_by_priority))
    }
    weight_left = sum(weight_by_priority.values())
    fair_by_priority: dict[int, float] = {}
    for priority in sorted(
        requested_by_priority,
        key=lambda one: requested_by_priority[one] / weight_by_priority[one],
    ):
        weight = weight_by_priority[priority]
        fair = min(requested_by_priority[priority], starts_per_s * weight / weight_left)
        fair_by_priority[priority] = fair
        starts_per_s -= fair
        weight_left -= weight
    return fair_by_priority


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
        self._waiting_ticks = 0
        self._wanted_shares: dict[int, float] = {}
        """Shares on their way to what is wanted, also by less than members are told."""

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
        if not self.shares:
            return self._requested_by_priority(now, FIRST_WINDOW_BUCKETS)
        window = self._bucket(now).number - self._window_from
        return self._requested_by_priority(now, min(WINDOW_BUCKETS, window))

    def _requested_by_priority(self, now: float, window: int) -> dict[int, float]:
        """Return the starts requested per second in the latest complete buckets."""
        current = self._bucket(now).number
        first_number = current - window
        window_s = window * BUCKET_S
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

    def update(self, backlog: StartBacklog, now: float) -> None:
        """Decide on the shares anew; called once a tick.

        Shedding begins only when jobs wait for the processor for most of the time that
        they have, and either clearly more starts are requested than it makes or the
        wait lasts. It ends when they fit.

        :param now: time in seconds.
        """
        if not self.shares and not self._begins(backlog, now):
            return
        requested = self.requested_by_priority(now)
        bucket = self._bucket(now)
        if not self.shares:
            # Buckets from before the burst would hide a part of it.
            self._window_from = bucket.number - FIRST_WINDOW_BUCKETS
            self._waiting_ticks = 0
        acceptable_per_s = backlog.acceptable_per_s
        shares = self._next_shares(
            shares_by_priority(requested, acceptable_per_s),
            is_over=backlog.is_clear and self._latest_fit(acceptable_per_s, now),
        )
        self._wanted_shares = shares
        if shares.keys() != self.shares.keys() or any(
            abs(share - self.shares[priority]) >= MIN_SHARE_CHANGE
            for priority, share in shares.items()
        ):
            self.shares = shares
        for priority, share in self.shares.items():
            bucket.shares[priority] = max(share, bucket.shares.get(priority, 0.0))

    def _begins(self, backlog: StartBacklog, now: float) -> bool:
        """Return whether jobs are to be refused from now on."""
        waits = backlog.waited_share >= START_WAITED_SHARE
        self._waiting_ticks = self._waiting_ticks + 1 if waits else 0
        if not backlog.sustained_per_s:
            return False
        return self._waiting_ticks >= START_TICKS or (
            waits and self._has_excess(backlog.sustained_per_s, now)
        )

    def _latest_fit(self, acceptable_per_s: float, now: float) -> bool:
        """Return whether the starts requested in the latest buckets can be accepted."""
        requested = self._requested_by_priority(now, LATEST_BUCKETS)
        return sum(requested.values()) <= acceptable_per_s

    def _has_excess(self, made_per_s: float, now: float) -> bool:
        """Return whether clearly more starts are requested than are made."""
        current = self._bucket(now).number
        for window in EXCESS_WINDOWS:
            buckets = [
                bucket
                for bucket in self._buckets
                if current - window <= bucket.number < current
            ]
            possible = made_per_s * window * BUCKET_S
            deviation = math.sqrt(sum(bucket.squared_starts for bucket in buckets))
            excess = sum(bucket.starts for bucket in buckets) - possible
            if excess > MIN_EXCESS_DEVIATIONS * deviation:
                return True
        return False

    def _next_shares(
        self, wanted: Mapping[int, float], *, is_over: bool
    ) -> dict[int, float]:
        """Return the shares of this tick on the way to those that are wanted."""
        shares: dict[int, float] = {}
        for priority in {*self._wanted_shares, *wanted}:
            share = wanted.get(priority, 0.0)
            before = self._wanted_shares.get(priority)
            if before is not None and is_over:
                share = min(share, before) - RELIEF
            elif before is not None and share < before:
                share = max(share, before - MAX_FALL)
            else:
                before = before or 0.0
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
