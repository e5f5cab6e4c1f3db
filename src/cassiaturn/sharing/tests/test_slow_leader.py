"""Simulates a leader whose processor limits how many callers it serves in time."""

import random
from dataclasses import dataclass, field

import pytest

from cassiaturn.entities import Route
from cassiaturn.sharing import (
    Deadlines,
    JobQueue,
    Lateness,
    LoadShedder,
    TransitDelay,
    is_shed,
    job_deadlines,
    queue_key,
)
from cassiaturn.workload import MAX_STARTS_PER_TURN

READ_S = 0.0003
"""Processor time for reading a submission, in seconds."""

START_S = 0.0011
"""Processor time for starting a job and processing its end, in seconds."""

TIMER_S = 0.05

HEARTBEAT_S = 0.15

TASKS = 4
"""Tasks of a job, each of which is one start."""

PAUSE_AT_S = 4.0

CLOCK_OFFSET_S = 77.0

LENGTH_S = 12.0

WARM_UP_S = 2.0
"""Warm-up in which the leader learns its capacity, in seconds; not counted."""

KINDS = ((0, 0.05, 0.2), (1, 0.16, 0.65), (2, 0.9, 0.15))
"""Priority, run time in seconds, and share of all jobs, for each kind."""


@dataclass(slots=True, kw_only=True, eq=False)
class _Job:
    job_id: str
    priority: int
    arrived_at: float
    expected_run_s: float
    deadlines: Deadlines
    is_new: bool = True
    least_cpu_millis: int = 1_000
    waiting_cpu_millis: int = 4_000
    has_waiting: bool = True


def _deadlines(arrived_at: float, run_s: float, limit_at: float) -> Deadlines:
    route = Route(
        name="r",
        host="",
        prefix="/",
        service="s",
        stretch=1.6,
        latency_objective_s=0.06,
    )
    return job_deadlines(route, arrived_at=arrived_at, chain_s=run_s, limit_at=limit_at)


def _draw_jobs(rate: float) -> list[_Job]:
    rng = random.Random(8)
    jobs: list[_Job] = []
    now = 0.0
    while now < LENGTH_S:
        now += rng.expovariate(rate)
        weights = [share for _, _, share in KINDS]
        ((priority, run_s, _),) = rng.choices(KINDS, weights)
        limit_at = now + 3.0 * (1.6 * run_s + 0.06) + 1.6
        jobs.append(
            _Job(
                job_id=f"job-{len(jobs)}",
                priority=priority,
                arrived_at=now,
                expected_run_s=run_s,
                deadlines=_deadlines(now, run_s, limit_at),
            )
        )
    return jobs


@dataclass(slots=True, kw_only=True)
class _Leader:
    """An event loop that reads all received jobs, then starts some queued ones."""

    load: float
    """Required processor time over the available."""

    pause_s: float = 0.0
    """How long it is suspended from :data:`PAUSE_AT_S` on, in seconds."""

    max_starts: float = MAX_STARTS_PER_TURN // TASKS
    uses_transit_delay: bool = True

    now: float = 0.0
    in_time: int = 0
    counted: int = 0
    _queue: JobQueue[_Job] = field(default_factory=JobQueue)
    _transit_delay: TransitDelay = field(default_factory=TransitDelay)
    _shedder: LoadShedder = field(default_factory=LoadShedder)
    _behind_since: float | None = None

    def run(self) -> float:
        """Simulate the load; return the share of callers that are served in time."""
        jobs = _draw_jobs(self.load / (READ_S + START_S))
        known_share, heartbeat_at, timer_at = 0.0, 0.0, TIMER_S
        number = 0
        while number < len(jobs) or len(self._queue):
            if PAUSE_AT_S <= self.now < PAUSE_AT_S + self.pause_s:
                self.now = PAUSE_AT_S + self.pause_s
            if not len(self._queue):
                self.now = max(self.now, min(jobs[number].arrived_at, timer_at))
            read_until = self.now
            while number < len(jobs) and jobs[number].arrived_at <= read_until:
                self._accept(jobs[number], known_share)
                number += 1
            self._queue.advance(self.now)
            for job in self._queue.take_overdue(self.now):
                self._queue.discard(job)
            self._start()
            if self.now >= timer_at:
                behind = self._behind_since
                behind_s = 0.0 if behind is None else self.now - behind
                late_s = self.now - timer_at
                self._shedder.observe(late_s, self.now, behind_s=behind_s)
                timer_at = self.now + TIMER_S
            if self.now - heartbeat_at >= HEARTBEAT_S:
                heartbeat_at, known_share = self.now, self._shedder.share
        return self.in_time / self.counted

    def _accept(self, job: _Job, shed_share: float) -> None:
        self.counted += job.arrived_at >= WARM_UP_S
        if is_shed(
            job.job_id, share=shed_share, priority=job.priority, priorities=(0, 1, 2)
        ):
            return
        self.now += READ_S
        unread_s = self._transit_delay.observe(
            job.arrived_at + CLOCK_OFFSET_S, self.now
        )
        if not self.uses_transit_delay:
            unread_s = 0.0
        limit_s = job.deadlines.limit_at - job.arrived_at
        begin = self.now - unread_s
        job.deadlines = _deadlines(begin, job.expected_run_s, begin + limit_s)
        self._queue.advance(self.now)
        self._queue.put(job)

    def _start(self) -> None:
        left: Lateness | None = None
        for started, job in enumerate(self._queue.in_order()):
            if started >= self.max_starts:
                left = queue_key(job, self.now).lateness
                break
            self.now += START_S
            self._queue.discard(job)
            due_at = job.arrived_at + 1.6 * job.expected_run_s + 0.06
            if job.arrived_at >= WARM_UP_S:
                self.in_time += self.now + job.expected_run_s <= due_at
        if left is not Lateness.IN_TIME:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = self.now


def _max_share(load: float) -> float:
    """Return the largest share of jobs that can be started if all of them are read.

    :param load: required processor time over the available.
    """
    time_to_start = max(0.0, 1.0 - load * READ_S / (READ_S + START_S))
    return min(1.0, time_to_start * (READ_S + START_S) / START_S / load)


@pytest.mark.parametrize("load", [1.0, 1.2, 1.5, 2.0])
def test_overloaded_leader_serves_what_its_processor_allows(
    load: float,
) -> None:
    """Guards against serving a thirtieth of the callers slightly above capacity."""
    assert _Leader(load=load).run() >= 0.9 * _max_share(load)


@pytest.mark.parametrize("load", [0.8, 1.0])
def test_resumed_leader_serves_new_callers_before_late_ones(
    load: float,
) -> None:
    """Otherwise, after a pause, late jobs take all the time and make new ones late."""
    bounded = _Leader(load=load, pause_s=1.0).run()
    unbounded = _Leader(load=load, pause_s=1.0, max_starts=float("inf")).run()
    assert bounded >= unbounded + 0.05


def test_leader_below_its_limit_serves_all_callers() -> None:
    assert _Leader(load=0.8).run() >= 0.99


def test_time_unread_at_the_leader_counts_as_waiting() -> None:
    """Guards against treating jobs that stayed unread at a saturated leader as new."""
    with_delay = _Leader(load=0.8, pause_s=1.0).run()
    assert with_delay > _Leader(load=0.8, pause_s=1.0, uses_transit_delay=False).run()
