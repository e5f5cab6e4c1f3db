"""Forecasts when targets have room for the first task of a queued job.

Load pattern: bursts of 1.75 and 3 times what targets have room for. Queued work over
total capacity says when all of it is done, not when the next task can start, and
forgets the runs in progress; jobs are admitted that cannot be answered in time.

Grounds: runs in progress end when their routes' runs usually do, corrected by the
progress that targets list. Two bounds on the start hold if those ends are right: room
has become free for all queued tasks ahead without any of them ending again, which is
close for long tasks, and all of their work is done, which is close for short ones. The
earlier one is the forecast. Tasks of a size that leaves a part of each target unused
count as using that part.
"""

import math
from collections import Counter
from collections.abc import Hashable, Iterator
from dataclasses import dataclass

BUCKET_S = 0.02
"""Width of the time buckets of expected ends, in seconds: a few percent of the usual
runs."""

BUCKETS = 512
"""Number of buckets, some 10 s. Later ends count in the last one."""

ARRIVALS_SPAN_S = 0.25
"""Time constant of each of the two averages of arriving work, in seconds. The second
one averages the first: jobs that arrive at one moment, such as those of callers that
come back after an outage, are all in the queue and delay nobody further."""

MAX_DELAY_FACTOR = 20.0
"""Largest factor by which arriving work delays a task; at 0.95 of the capacity."""

MAX_SIZES = 256
"""Number of task sizes for which the usable capacity is kept."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedAhead:
    """Queued tasks that go before a job."""

    starts: int = 0
    """Number of tasks, each of which is one start."""

    cpu_millis: int = 0
    """Processors that they ask for together, in thousandths of a core."""

    work_millicore_s: float = 0.0
    """Their expected run times times the processors, in millicore-seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _ExpectedEnd:
    """A run in progress."""

    bucket: int
    """Number of the bucket of its expected end."""

    cpu_millis: float
    """Capacity that it frees, in thousandths of a core."""


class ExpectedEnds:
    """Capacity that runs in progress will free, in buckets of their expected ends."""

    def __init__(self) -> None:
        """Start without runs."""
        self.total = 0.0
        """Capacity that all runs use, in thousandths of a core."""

        self._end_by_run: dict[Hashable, _ExpectedEnd] = {}
        self._freed_by_bucket: dict[int, float] = {}
        self._first = 0
        self._overdue = 0.0

    def __contains__(self, run: Hashable) -> bool:
        """Return whether a run is counted."""
        return run in self._end_by_run

    def put(
        self, run: Hashable, *, cpu_millis: float, end_at: float, now: float
    ) -> None:
        """Add a run, or update its expected end.

        :param run: its key.
        :param cpu_millis: capacity that it frees, in thousandths of a core.
        :param end_at: its expected end, in seconds.
        :param now: current time in seconds.
        """
        self.discard(run)
        self._advance(now)
        bucket = min(max(int(end_at / BUCKET_S), self._first), self._first + BUCKETS)
        self._end_by_run[run] = _ExpectedEnd(bucket=bucket, cpu_millis=cpu_millis)
        freed = self._freed_by_bucket.get(bucket, 0.0)
        self._freed_by_bucket[bucket] = freed + cpu_millis
        self.total += cpu_millis

    def discard(self, run: Hashable) -> None:
        """Remove a run that has ended, or whose target is silent."""
        end = self._end_by_run.pop(run, None)
        if end is None:
            return
        if not self._end_by_run:
            # Rounding errors must not add up over days.
            self.total = self._overdue = 0.0
            self._freed_by_bucket.clear()
            return
        self.total -= end.cpu_millis
        if end.bucket < self._first:
            self._overdue -= end.cpu_millis
        else:
            self._freed_by_bucket[end.bucket] -= end.cpu_millis

    def freed(self, now: float) -> Iterator[tuple[float, float]]:
        """Iterate over the expected ends: time from now in seconds, and capacity.

        Runs past their expected end count as ending within the next bucket.

        :param now: current time in seconds.
        """
        self._advance(now)
        left = self.total
        if self._overdue > 0.0:
            left -= self._overdue
            yield BUCKET_S, self._overdue
        get = self._freed_by_bucket.get
        for bucket in range(self._first, self._first + BUCKETS + 1):
            freed = get(bucket)
            if freed:
                left -= freed
                yield max(0.0, (bucket + 1) * BUCKET_S - now), freed
                if left <= 0.5:
                    return

    def _advance(self, now: float) -> None:
        current = int(now / BUCKET_S)
        if not self._end_by_run:
            self._first = current
            return
        while self._first < current:
            self._overdue += self._freed_by_bucket.pop(self._first, 0.0)
            self._first += 1


class ArrivingWork:
    """Work of the jobs that were admitted lately, by priority.

    What is queued ahead of a job does not show those that arrive later and go first.
    """

    def __init__(self) -> None:
        """Start without work."""
        self._averages_by_priority: dict[int, tuple[float, float]] = {}
        self._at = 0.0

    def note(self, priority: int, work_millicore_s: float, now: float) -> None:
        """Count an admitted job.

        :param work_millicore_s: expected run times times processors, in
            millicore-seconds.
        :param now: current time in seconds.
        """
        self._decay(now)
        first, second = self._averages_by_priority.get(priority, (0.0, 0.0))
        first += work_millicore_s / ARRIVALS_SPAN_S
        self._averages_by_priority[priority] = first, second

    def delay_factor(
        self, now: float, *, capacity_millis: float, before: int | None
    ) -> float:
        """Return by which factor arriving work lengthens a wait.

        :param now: current time in seconds.
        :param capacity_millis: capacity of the targets, in thousandths of a core.
        :param before: only work of priorities more urgent than this one; None: of all.
        :returns: 1 or more.
        """
        self._decay(now)
        arriving = sum(
            second
            for priority, (_, second) in self._averages_by_priority.items()
            if before is None or priority < before
        )
        left = 1.0 - arriving / capacity_millis if capacity_millis else 0.0
        return 1.0 / max(left, 1.0 / MAX_DELAY_FACTOR)

    def _decay(self, now: float) -> None:
        if now <= self._at:
            return
        spans = (now - self._at) / ARRIVALS_SPAN_S
        kept = math.exp(-spans)
        self._at = now
        for priority, (first, second) in self._averages_by_priority.items():
            decayed = (first * kept, (second + first * spans) * kept)
            self._averages_by_priority[priority] = decayed


class RoomForecast:
    """Runs in progress and capacity of the targets of one service."""

    def __init__(self) -> None:
        """Start without targets."""
        self.ends = ExpectedEnds()
        """Expected ends of the runs on counted targets."""

        self.arriving = ArrivingWork()
        """Work of the jobs that were admitted lately."""

        self._cpu_by_target: dict[str, int] = {}
        self._targets_by_cpu: Counter[int] = Counter()
        self._total = 0
        self._unit_by_size: dict[int, float] = {}

    def set_target(self, target_id: str, cpu_millis: int) -> bool:
        """Set the capacity of a target that may get starts.

        :param cpu_millis: in thousandths of a core; 0: it gets none.
        :returns: whether that changes anything.
        """
        before = self._cpu_by_target.get(target_id, 0)
        if before == cpu_millis:
            return False
        if before:
            self._targets_by_cpu[before] -= 1
            del self._cpu_by_target[target_id]
        if cpu_millis:
            self._targets_by_cpu[cpu_millis] += 1
            self._cpu_by_target[target_id] = cpu_millis
        self._total += cpu_millis - before
        self._unit_by_size.clear()
        return True

    def counts(self, target_id: str) -> bool:
        """Return whether a target is counted."""
        return target_id in self._cpu_by_target

    @property
    def capacity_millis(self) -> int:
        """Capacity of the counted targets, in thousandths of a core."""
        return self._total

    def unit(self, size: int) -> float:
        """Return the capacity that a task of a size uses per processor that it asks.

        A target of 24 cores holds two tasks of 9, so each of them uses 12.

        :param size: processors of the task, in thousandths of a core.
        :returns: 1 or more; infinite: no target holds such a task.
        """
        unit = self._unit_by_size.get(size)
        if unit is None:
            usable = sum(
                count * (cpu // size * size if size else cpu)
                for cpu, count in self._targets_by_cpu.items()
            )
            unit = self._total / usable if usable else float("inf")
            if len(self._unit_by_size) >= MAX_SIZES:
                self._unit_by_size.clear()
            self._unit_by_size[size] = unit
        return unit

    def put_run(self, run: Hashable, *, size: int, end_at: float, now: float) -> None:
        """Count a run on a target that may get starts, or update its expected end.

        :param size: processors of its task, in thousandths of a core.
        :param end_at: its expected end, in seconds.
        """
        unit = self.unit(size)
        cpu_millis = size * unit if unit != float("inf") else float(size)
        self.ends.put(run, cpu_millis=cpu_millis, end_at=end_at, now=now)

    def wait_s(self, size: int, ahead: QueuedAhead, now: float) -> float:
        """Return after which time there is room for a task, in seconds.

        :param size: its processors, in thousandths of a core.
        :param ahead: the queued tasks that go before it.
        :param now: current time in seconds.
        :returns: 0: there is room now; infinite: no target holds such a task.
        """
        unit = self.unit(size)
        if unit == float("inf"):
            return unit
        needed = size * unit
        demand = ahead.cpu_millis * unit
        free = self._total - self.ends.total
        if free >= demand + needed:
            return 0.0
        to_finish = ahead.work_millicore_s * unit
        if demand + needed > self._total:
            # The last tasks ahead need to start, not to end.
            to_finish -= self._total * to_finish / demand / 2.0
        earlier_s = 0.0
        for at_s, freed in self.ends.freed(now):
            finishable = max(0.0, free) * (at_s - earlier_s)
            if free >= needed and finishable >= to_finish:
                return earlier_s + to_finish / free
            to_finish -= finishable
            earlier_s = at_s
            free += freed
            if free >= demand + needed:
                return at_s
        return earlier_s + max(0.0, to_finish) / self._total
