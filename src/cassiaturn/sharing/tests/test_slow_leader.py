"""What callers get from a leader that needs more processor time than it has."""

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
"""Processor time for starting a job and hearing of its end, in seconds."""

TIMER_S = 0.05

HEARTBEAT_S = 0.15

TASKS = 4
"""Tasks of a job, of which each is a start."""

PAUSE_AT_S = 4.0

CLOCK_OFFSET_S = 77.0

LENGTH_S = 12.0

BEGIN_S = 2.0
"""Time in which the leader learns how much it can take, in seconds; not counted."""

KINDS = ((0, 0.05, 0.2), (1, 0.16, 0.65), (2, 0.9, 0.15))
"""Priority, run time in seconds, and share of the jobs of each kind."""


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
    chance = random.Random(8)
    jobs: list[_Job] = []
    now = 0.0
    while now < LENGTH_S:
        now += chance.expovariate(rate)
        weights = [share for _, _, share in KINDS]
        ((priority, run_s, _),) = chance.choices(KINDS, weights)
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
    """An event loop that reads what has come, and then starts some of what waits."""

    load: float
    """Processor time that it needs, over what it has."""

    pause_s: float = 0.0
    """How long it stands still from :data:`PAUSE_AT_S` on, in seconds."""

    most_starts: float = MAX_STARTS_PER_TURN // TASKS
    knows_waits: bool = True

    now: float = 0.0
    in_aim: int = 0
    counted: int = 0
    _queue: JobQueue[_Job] = field(default_factory=JobQueue)
    _transit: TransitDelay = field(default_factory=TransitDelay)
    _shedder: LoadShedder = field(default_factory=LoadShedder)
    _behind_since: float | None = None

    def run(self) -> float:
        """Play a load; returns the share of the callers that are served in time."""
        jobs = _draw_jobs(self.load / (READ_S + START_S))
        told_share, told_at, timer_at = 0.0, 0.0, TIMER_S
        number = 0
        while number < len(jobs) or len(self._queue):
            if PAUSE_AT_S <= self.now < PAUSE_AT_S + self.pause_s:
                self.now = PAUSE_AT_S + self.pause_s
            if not len(self._queue):
                self.now = max(self.now, min(jobs[number].arrived_at, timer_at))
            read_until = self.now
            while number < len(jobs) and jobs[number].arrived_at <= read_until:
                self._take(jobs[number], told_share)
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
            if self.now - told_at >= HEARTBEAT_S:
                told_at, told_share = self.now, self._shedder.share
        return self.in_aim / self.counted

    def _take(self, job: _Job, shed_share: float) -> None:
        self.counted += job.arrived_at >= BEGIN_S
        if is_shed(
            job.job_id, share=shed_share, priority=job.priority, priorities=(0, 1, 2)
        ):
            return
        self.now += READ_S
        unread_s = self._transit.observe(job.arrived_at + CLOCK_OFFSET_S, self.now)
        if not self.knows_waits:
            unread_s = 0.0
        limit_s = job.deadlines.limit_at - job.arrived_at
        begin = self.now - unread_s
        job.deadlines = _deadlines(begin, job.expected_run_s, begin + limit_s)
        self._queue.advance(self.now)
        self._queue.put(job)

    def _start(self) -> None:
        left: Lateness | None = None
        for started, job in enumerate(self._queue.in_order()):
            if started >= self.most_starts:
                left = queue_key(job, self.now).lateness
                break
            self.now += START_S
            self._queue.discard(job)
            due_at = job.arrived_at + 1.6 * job.expected_run_s + 0.06
            if job.arrived_at >= BEGIN_S:
                self.in_aim += self.now + job.expected_run_s <= due_at
        if left is not Lateness.IN_TIME:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = self.now


def _most(load: float) -> float:
    """Return the share that can be started at all, if every job is read."""
    time_to_start = max(0.0, 1.0 - load * READ_S / (READ_S + START_S))
    return min(1.0, time_to_start * (READ_S + START_S) / START_S / load)


@pytest.mark.parametrize("load", [1.0, 1.2, 1.5, 2.0])
def test_a_leader_that_needs_more_time_than_it_has_serves_what_it_can(
    load: float,
) -> None:
    """A leader a little too slow turned from serving all to serving a thirtieth."""
    assert _Leader(load=load).run() >= 0.9 * _most(load)


@pytest.mark.parametrize("load", [0.8, 1.0])
def test_a_leader_that_stood_still_serves_new_callers_before_late_ones(
    load: float,
) -> None:
    """After a pause jobs that were late took all the time, and made new ones late."""
    ours = _Leader(load=load, pause_s=1.0).run()
    in_one_go = _Leader(load=load, pause_s=1.0, most_starts=float("inf")).run()
    assert ours >= in_one_go + 0.05


def test_a_leader_below_its_limit_serves_everybody() -> None:
    assert _Leader(load=0.8).run() >= 0.99


def test_waits_on_the_way_to_a_leader_count() -> None:
    """Jobs that had waited unread at a full leader were taken for new ones."""
    told = _Leader(load=0.8, pause_s=1.0).run()
    assert told > _Leader(load=0.8, pause_s=1.0, knows_waits=False).run()
