"""Keeps the jobs of one service that wait for capacity in start order.

Load pattern: thousands of queued jobs, after an outage or while more jobs arrive than
there is capacity for. A leader that scans all of them at each event spends its time on
the queue and starts fewer tasks, which makes the queue longer still.

Grounds: the position of a job changes only when one of its tasks starts or is queued
again, and at two times that are known on arrival. So each position is found once, by
bisection, and the cost of looking at the first jobs does not depend on the length of
the queue.
"""

import heapq
import itertools
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, Protocol, TypeVar

from cassiaturn.sharing._deadlines import Deadlines
from cassiaturn.sharing._due_order import (
    Lateness,
    OrderKey,
    lateness_changes,
    order_key,
)
from cassiaturn.sharing._feasibility import latest_start
from cassiaturn.sharing._start_forecast import QueuedAhead

MICROSECONDS_PER_S = 1_000_000

MAX_ENTRIES_PER_JOB = 4
"""Entries of the heap of lateness changes, per queued job, above which the entries of
jobs that have left the queue are dropped. A queued job has two entries of its own."""

DUE_BUCKET_S = 0.02
"""Width of the intervals of due times in which queued work is counted, in seconds. What
is ahead of a job follows from them without a look at the queued jobs."""

MIN_ENTRIES_LIMIT = 64
"""Added to that limit, so that the heap of a short queue is not rebuilt often."""


class QueuedJob(Protocol):
    """What the queue needs to know of a job."""

    @property
    def job_id(self) -> str:
        """Id of the job."""

    @property
    def priority(self) -> int:
        """Priority of its route; 0 is the most urgent."""

    @property
    def deadlines(self) -> Deadlines:
        """When its answer is due, still useful, and no longer awaited."""

    @property
    def expected_run_s(self) -> float:
        """Expected length of its longest chain of tasks, in seconds."""

    @property
    def is_new(self) -> bool:
        """Whether none of its tasks has started."""

    @property
    def least_cpu_millis(self) -> int:
        """Smallest processor request of its tasks, in thousandths of a core."""

    @property
    def has_waiting(self) -> bool:
        """Whether any of its tasks waits to be started."""

    @property
    def waiting_cpu_millis(self) -> int:
        """Total processor request of its waiting tasks, in thousandths of a core."""


JobT = TypeVar("JobT", bound=QueuedJob)


def queue_key(job: QueuedJob, now: float) -> OrderKey:
    """Return a job's sort key in the queue.

    :param now: current time in seconds.
    """
    return order_key(
        priority=job.priority,
        deadlines=job.deadlines,
        expected_run_s=job.expected_run_s,
        is_new=job.is_new,
        now=now,
    )


class _BandKey(NamedTuple):
    """Properties that the jobs of one band share; the lowest band goes first."""

    lateness: Lateness
    priority: int
    is_new: bool


class _DueKey(NamedTuple):
    """Sort key of a job within its band."""

    due_at: float
    sequence: int


@dataclass(slots=True)
class _Amount:
    """Queued tasks of one job or of several."""

    starts: int = 0
    cpu_millis: int = 0
    work: int = 0

    def add(self, other: "_Amount", sign: int = 1) -> None:
        self.starts += sign * other.starts
        self.cpu_millis += sign * other.cpu_millis
        self.work += sign * other.work


def _due_bucket(due_at: float) -> int:
    return int(due_at / DUE_BUCKET_S)


@dataclass(slots=True, eq=False)
class _Band(Generic[JobT]):
    """Jobs that differ only in when they are due, as three parallel sorted lists."""

    due_keys: list[_DueKey] = field(default_factory=list)
    jobs: list[JobT] = field(default_factory=list)
    work_by_position: list[int] = field(default_factory=list)
    total_work: int = 0
    total: _Amount = field(default_factory=_Amount)
    amount_by_bucket: dict[int, _Amount] = field(default_factory=dict)

    def insert(self, due_key: _DueKey, job: JobT, amount: _Amount) -> None:
        work = amount.work
        self.total.add(amount)
        bucket = _due_bucket(due_key.due_at)
        self.amount_by_bucket.setdefault(bucket, _Amount()).add(amount)
        position = bisect_left(self.due_keys, due_key)
        self.due_keys.insert(position, due_key)
        self.jobs.insert(position, job)
        self.work_by_position.insert(position, work)
        self.total_work += work

    def delete(self, due_key: _DueKey, amount: _Amount) -> None:
        self.total.add(amount, -1)
        bucket = _due_bucket(due_key.due_at)
        self.amount_by_bucket[bucket].add(amount, -1)
        if not self.amount_by_bucket[bucket].starts:
            del self.amount_by_bucket[bucket]
        position = bisect_left(self.due_keys, due_key)
        del self.due_keys[position]
        del self.jobs[position]
        self.total_work -= self.work_by_position.pop(position)

    def work_until(self, due_at: float) -> int:
        end = bisect_right(self.due_keys, due_at, key=lambda due_key: due_key.due_at)
        return sum(self.work_by_position[:end])


@dataclass(frozen=True, slots=True)
class _Row(Generic[JobT]):
    """A queued job and its position."""

    job: JobT
    band_key: _BandKey
    due_key: _DueKey
    amount: _Amount


class JobQueue(Generic[JobT]):
    """The jobs of one service that have tasks to start."""

    def __init__(self) -> None:
        """Start empty."""
        self._band_by_key: dict[_BandKey, _Band[JobT]] = {}
        self._row_by_id: dict[str, _Row[JobT]] = {}
        self._least_cpus: list[int] = []
        self._changes: list[tuple[float, int, str]] = []
        self._latest_starts: list[tuple[float, int, str]] = []
        self._sequences = itertools.count()
        self._now = float("-inf")

    def __len__(self) -> int:
        """Return the number of queued jobs."""
        return len(self._row_by_id)

    @property
    def least_cpu_millis(self) -> int:
        """Smallest processor request of any queued task, in thousandths of a core."""
        return self._least_cpus[0] if self._least_cpus else 0

    def advance(self, now: float) -> None:
        """Update the positions of the jobs to the current time.

        :param now: current time in seconds.
        """
        self._now = now
        while self._changes and self._changes[0][0] < now:
            _, _, job_id = heapq.heappop(self._changes)
            row = self._row_by_id.get(job_id)
            if row is not None:
                self.put(row.job)

    def take_overdue(self, now: float) -> list[JobT]:
        """Return the jobs that can hardly be answered while their callers wait.

        Each is returned by one call only, and stays queued.

        :param now: current time in seconds.
        """
        overdue: list[JobT] = []
        while self._latest_starts and self._latest_starts[0][0] < now:
            _, sequence, job_id = heapq.heappop(self._latest_starts)
            row = self._row_by_id.get(job_id)
            if row is not None and row.due_key.sequence == sequence:
                overdue.append(row.job)
        return overdue

    def put(self, job: JobT) -> None:
        """Insert a job or update its position; remove it if no task of it waits."""
        before = self._row_by_id.get(job.job_id)
        if before is not None:
            self._remove_from_band(before)
        if not job.has_waiting:
            if before is not None:
                self._remove_row(before)
            return
        key = queue_key(job, self._now)
        sequence = next(self._sequences) if before is None else before.due_key.sequence
        band_key = _BandKey(key.lateness, key.priority, key.is_new)
        row = _Row(job, band_key, _DueKey(key.due_at, sequence), _queued_amount(job))
        self._band_by_key.setdefault(band_key, _Band()).insert(
            row.due_key, job, row.amount
        )
        self._row_by_id[job.job_id] = row
        if before is None:
            insort(self._least_cpus, job.least_cpu_millis)
            self._schedule_changes(job, sequence)

    def _schedule_changes(self, job: JobT, sequence: int) -> None:
        """Add a job to the heaps of lateness changes and latest starts."""
        for change_at in lateness_changes(job.deadlines, job.expected_run_s):
            heapq.heappush(self._changes, (change_at, sequence, job.job_id))
        start_by = latest_start(
            limit_at=job.deadlines.limit_at,
            expected_run_s=job.expected_run_s,
            is_idle=True,
        )
        heapq.heappush(self._latest_starts, (start_by, sequence, job.job_id))
        max_entries = MAX_ENTRIES_PER_JOB * len(self._row_by_id) + MIN_ENTRIES_LIMIT
        if len(self._changes) > max_entries:
            self._changes = self._without_stale(self._changes)
            self._latest_starts = self._without_stale(self._latest_starts)

    def _without_stale(
        self, entries: list[tuple[float, int, str]]
    ) -> list[tuple[float, int, str]]:
        """Return the entries of jobs that are still queued, as a heap."""
        sequence_by_id = {
            job_id: row.due_key.sequence for job_id, row in self._row_by_id.items()
        }
        kept = [entry for entry in entries if sequence_by_id.get(entry[2]) == entry[1]]
        heapq.heapify(kept)
        return kept

    def discard(self, job: JobT) -> None:
        """Remove a job if it is queued."""
        row = self._row_by_id.get(job.job_id)
        if row is not None:
            self._remove_from_band(row)
            self._remove_row(row)

    def in_order(self) -> Iterator[JobT]:
        """Iterate over the jobs in start order.

        Jobs may be started during the iteration: a started job moves forward, so none
        is returned twice.
        """
        for band_key in sorted(self._band_by_key):
            band = self._band_by_key.get(band_key)
            if band is not None:
                yield from list(band.jobs)

    def work_ahead_millicore_s(self, key: OrderKey) -> float:
        """Return the work ordered before a key, in millicore-seconds.

        :param key: sort key; work due at the same time is included.
        """
        own_band_key = _BandKey(key.lateness, key.priority, key.is_new)
        work = sum(
            band.total_work
            for band_key, band in self._band_by_key.items()
            if band_key < own_band_key
        )
        if own_band_key in self._band_by_key:
            work += self._band_by_key[own_band_key].work_until(key.due_at)
        return work / MICROSECONDS_PER_S

    def ahead_of(self, job: JobT, key: OrderKey) -> QueuedAhead:
        """Return the queued tasks that go before a job, without its own.

        The cost does not depend on the number of queued jobs. Jobs that are due in the
        same 20 ms count as ahead.

        :param job: queued or not.
        :param key: its sort key.
        """
        own_band_key = _BandKey(key.lateness, key.priority, key.is_new)
        own_bucket = _due_bucket(key.due_at)
        ahead = _Amount()
        for band_key, band in self._band_by_key.items():
            if band_key < own_band_key:
                ahead.add(band.total)
            elif band_key == own_band_key:
                for bucket, amount in band.amount_by_bucket.items():
                    if bucket <= own_bucket:
                        ahead.add(amount)
        row = self._row_by_id.get(job.job_id)
        if row is not None and row.band_key <= own_band_key:
            ahead.add(row.amount, -1)
        return QueuedAhead(
            starts=ahead.starts,
            cpu_millis=ahead.cpu_millis,
            work_millicore_s=ahead.work / MICROSECONDS_PER_S,
        )

    def _remove_from_band(self, row: _Row[JobT]) -> None:
        band = self._band_by_key[row.band_key]
        band.delete(row.due_key, row.amount)
        if not band.due_keys:
            del self._band_by_key[row.band_key]

    def _remove_row(self, row: _Row[JobT]) -> None:
        del self._row_by_id[row.job.job_id]
        del self._least_cpus[bisect_left(self._least_cpus, row.job.least_cpu_millis)]


def _queued_amount(job: QueuedJob) -> _Amount:
    """Return a job's waiting tasks; their work is in millicore-microseconds.

    The number of tasks is exact if all of them ask for the same processors, and too
    high otherwise.
    """
    cpu_millis = job.waiting_cpu_millis
    return _Amount(
        starts=max(1, cpu_millis // max(1, job.least_cpu_millis)),
        cpu_millis=cpu_millis,
        work=round(job.expected_run_s * MICROSECONDS_PER_S) * cpu_millis,
    )
