"""The jobs of one service that wait for room, kept in order.

Load pattern: thousands of queued jobs, after an outage or while more comes than there
is room for. A leader that looks through all of them at each event spends its time on
the queue, starts fewer tasks, and has a longer queue for it.

Grounds: the place of a job changes when a task of it starts or comes back, and at two
times that are known when it comes. So its place is found once, by bisection, and
looking at the first jobs costs the same however many wait behind them.
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

MICROSECONDS = 1_000_000

MOST_PLANNED = 4
"""Planned changes for each queued job, two of which are its own, before those of jobs
that are not queued any more are dropped."""

LEAST_PLANNED = 64
"""Planned changes that are kept in any case."""


class QueuedJob(Protocol):
    """What the queue asks of a job."""

    @property
    def job_id(self) -> str:
        """Its id."""

    @property
    def priority(self) -> int:
        """Of its route; 0 goes first."""

    @property
    def deadlines(self) -> Deadlines:
        """Until when its answer is worth what."""

    @property
    def expected_run_s(self) -> float:
        """Expected length of its longest chain of tasks, in seconds."""

    @property
    def is_new(self) -> bool:
        """Whether none of its tasks has started."""

    @property
    def least_cpu_millis(self) -> int:
        """Least that a task of it asks for, in thousandths of a core."""

    @property
    def has_waiting(self) -> bool:
        """Whether a task of it waits."""

    @property
    def waiting_cpu_millis(self) -> int:
        """What its waiting tasks ask for together, in thousandths of a core."""


JobT = TypeVar("JobT", bound=QueuedJob)


def queue_key(job: QueuedJob, now: float) -> OrderKey:
    """Return a job's place in the queue.

    :param now: time in seconds.
    """
    return order_key(
        priority=job.priority,
        deadlines=job.deadlines,
        expected_run_s=job.expected_run_s,
        is_new=job.is_new,
        now=now,
    )


class _Kind(NamedTuple):
    """What jobs of one band have in common; the lowest goes first."""

    lateness: Lateness
    priority: int
    is_new: bool


class _Place(NamedTuple):
    """Where a job stands within its band."""

    due_at: float
    number: int


@dataclass(slots=True, eq=False)
class _Band(Generic[JobT]):
    """Jobs that differ only in when they are due; three lists, place by place."""

    places: list[_Place] = field(default_factory=list)
    jobs: list[JobT] = field(default_factory=list)
    works: list[int] = field(default_factory=list)
    work: int = 0

    def insert(self, place: _Place, job: JobT, work: int) -> None:
        position = bisect_left(self.places, place)
        self.places.insert(position, place)
        self.jobs.insert(position, job)
        self.works.insert(position, work)
        self.work += work

    def delete(self, place: _Place) -> None:
        position = bisect_left(self.places, place)
        del self.places[position]
        del self.jobs[position]
        self.work -= self.works.pop(position)

    def work_until(self, due_at: float) -> int:
        end = bisect_right(self.places, due_at, key=lambda place: place.due_at)
        return sum(self.works[:end])


@dataclass(frozen=True, slots=True)
class _Row(Generic[JobT]):
    """A queued job, and where it stands."""

    job: JobT
    kind: _Kind
    place: _Place


class JobQueue(Generic[JobT]):
    """The jobs of one service that have tasks to start."""

    def __init__(self) -> None:
        """Begin empty."""
        self._band_by_kind: dict[_Kind, _Band[JobT]] = {}
        self._row_by_id: dict[str, _Row[JobT]] = {}
        self._least_cpus: list[int] = []
        self._changes: list[tuple[float, int, str]] = []
        self._latest_starts: list[tuple[float, int, str]] = []
        self._numbers = itertools.count()
        self._now = float("-inf")

    def __len__(self) -> int:
        """Return how many jobs wait."""
        return len(self._row_by_id)

    @property
    def least_cpu_millis(self) -> int:
        """Least that a task of any of them asks for, in thousandths of a core."""
        return self._least_cpus[0] if self._least_cpus else 0

    def advance(self, now: float) -> None:
        """Move the jobs to their places at a time.

        :param now: time in seconds.
        """
        self._now = now
        while self._changes and self._changes[0][0] < now:
            _, _, job_id = heapq.heappop(self._changes)
            row = self._row_by_id.get(job_id)
            if row is not None:
                self.put(row.job)

    def take_overdue(self, now: float) -> list[JobT]:
        """Return the jobs that can hardly be answered while their callers wait.

        Each is returned once; it stays queued.

        :param now: time in seconds.
        """
        overdue: list[JobT] = []
        while self._latest_starts and self._latest_starts[0][0] < now:
            _, number, job_id = heapq.heappop(self._latest_starts)
            row = self._row_by_id.get(job_id)
            if row is not None and row.place.number == number:
                overdue.append(row.job)
        return overdue

    def put(self, job: JobT) -> None:
        """Give a job its place; one that has no task to start any more has none."""
        before = self._row_by_id.get(job.job_id)
        if before is not None:
            self._delete(before)
        if not job.has_waiting:
            if before is not None:
                self._forget(before)
            return
        key = queue_key(job, self._now)
        number = next(self._numbers) if before is None else before.place.number
        kind = _Kind(key.lateness, key.priority, key.is_new)
        row = _Row(job, kind, _Place(key.due_at, number))
        self._band_by_kind.setdefault(kind, _Band()).insert(
            row.place, job, _queued_work(job)
        )
        self._row_by_id[job.job_id] = row
        if before is None:
            insort(self._least_cpus, job.least_cpu_millis)
            self._plan(job, number)

    def _plan(self, job: JobT, number: int) -> None:
        """Note the times at which something is to be done about a job."""
        for at in lateness_changes(job.deadlines, job.expected_run_s):
            heapq.heappush(self._changes, (at, number, job.job_id))
        start_by = latest_start(
            limit_at=job.deadlines.limit_at,
            expected_run_s=job.expected_run_s,
            is_idle=True,
        )
        heapq.heappush(self._latest_starts, (start_by, number, job.job_id))
        most = MOST_PLANNED * len(self._row_by_id) + LEAST_PLANNED
        if len(self._changes) > most:
            self._changes = self._of_queued(self._changes)
            self._latest_starts = self._of_queued(self._latest_starts)

    def _of_queued(
        self, planned: list[tuple[float, int, str]]
    ) -> list[tuple[float, int, str]]:
        """Return what is planned for jobs that are still queued, as a heap."""
        number_by_id = {
            job_id: row.place.number for job_id, row in self._row_by_id.items()
        }
        kept = [entry for entry in planned if number_by_id.get(entry[2]) == entry[1]]
        heapq.heapify(kept)
        return kept

    def discard(self, job: JobT) -> None:
        """Take a job out, if it is queued."""
        row = self._row_by_id.get(job.job_id)
        if row is not None:
            self._delete(row)
            self._forget(row)

    def in_order(self) -> Iterator[JobT]:
        """Return the jobs, the first to start first.

        Places may change meanwhile: a job that moves is not returned twice.
        """
        for kind in sorted(self._band_by_kind):
            band = self._band_by_kind.get(kind)
            if band is not None:
                yield from list(band.jobs)

    def work_ahead_s(self, key: OrderKey) -> float:
        """Return the work that goes before a place, in seconds of a thousandth core."""
        own = _Kind(key.lateness, key.priority, key.is_new)
        work = sum(band.work for kind, band in self._band_by_kind.items() if kind < own)
        if own in self._band_by_kind:
            work += self._band_by_kind[own].work_until(key.due_at)
        return work / MICROSECONDS

    def _delete(self, row: _Row[JobT]) -> None:
        band = self._band_by_kind[row.kind]
        band.delete(row.place)
        if not band.places:
            del self._band_by_kind[row.kind]

    def _forget(self, row: _Row[JobT]) -> None:
        del self._row_by_id[row.job.job_id]
        del self._least_cpus[bisect_left(self._least_cpus, row.job.least_cpu_millis)]


def _queued_work(job: QueuedJob) -> int:
    """Return a job's work that waits, in microseconds of a thousandth of a core."""
    return round(job.expected_run_s * MICROSECONDS) * job.waiting_cpu_millis
