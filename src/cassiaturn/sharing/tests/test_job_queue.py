"""Order, overdue jobs and memory of the job queue."""

import random
from dataclasses import dataclass

import pytest

from cassiaturn.sharing import Deadlines, JobQueue, queue_key
from cassiaturn.sharing._job_queue import DUE_BUCKET_S


@dataclass(slots=True, kw_only=True, eq=False)
class _Job:
    job_id: str
    priority: int
    deadlines: Deadlines
    expected_run_s: float
    is_new: bool = True
    least_cpu_millis: int = 1_000
    waiting_cpu_millis: int = 4_000
    has_waiting: bool = True


def _draw(rng: random.Random, number: int, now: float) -> _Job:
    due_at = now + rng.uniform(-0.2, 2.0)
    return _Job(
        job_id=f"j{number}",
        priority=rng.randrange(3),
        deadlines=Deadlines(
            due_at=due_at, useful_until=due_at + 1.0, limit_at=due_at + 3.0
        ),
        expected_run_s=rng.choice((0.06, 0.2, 0.9)),
        least_cpu_millis=rng.randrange(1_000, 9_000),
        waiting_cpu_millis=rng.randrange(1_000, 20_000),
    )


@pytest.mark.parametrize("seed", range(5))
def test_queue_order_equals_sorted_order(seed: int) -> None:
    """Guards against jobs that become late while queued keeping their positions."""
    rng = random.Random(seed)
    queue: JobQueue[_Job] = JobQueue()
    jobs: dict[str, _Job] = {}
    now = 100.0
    for number in range(400):
        now += rng.expovariate(50.0)
        queue.advance(now)
        job = _draw(rng, number, now)
        jobs[job.job_id] = job
        queue.put(job)
        other = rng.choice(list(jobs.values()))
        match rng.randrange(4):
            case 0:
                other.is_new = not other.is_new
                queue.put(other)
            case 1:
                other.has_waiting = False
                queue.put(other)
                del jobs[other.job_id]
            case 2:
                queue.discard(jobs.pop(other.job_id))
        expected = sorted(jobs.values(), key=lambda row: queue_key(row, now))
        assert list(queue.in_order()) == expected
        assert len(queue) == len(jobs)
        least = min((row.least_cpu_millis for row in jobs.values()), default=0)
        assert queue.least_cpu_millis == least
        key = queue_key(_draw(rng, -1, now), now)
        ahead_s = sum(
            row.expected_run_s * row.waiting_cpu_millis
            for row in jobs.values()
            if queue_key(row, now) <= key
        )
        assert queue.work_ahead_millicore_s(key) == pytest.approx(ahead_s, rel=1e-3)


def test_overdue_job_is_returned_once() -> None:
    queue: JobQueue[_Job] = JobQueue()
    deadlines = Deadlines(due_at=1.0, useful_until=2.0, limit_at=3.0)
    job = _Job(job_id="a", priority=0, deadlines=deadlines, expected_run_s=1.0)
    queue.advance(0.0)
    queue.put(job)
    assert not queue.take_overdue(2.5)
    assert queue.take_overdue(2.6) == [job]
    assert not queue.take_overdue(2.7)
    queue.discard(job)
    queue.put(job)
    queue.discard(job)
    assert not queue.take_overdue(9.0)


def test_finished_jobs_leave_no_entries() -> None:
    """Guards against memory growing with finished jobs that had long time limits."""
    queue: JobQueue[_Job] = JobQueue()
    queue.advance(0.0)
    for number in range(2_000):
        job = _Job(
            job_id=f"j{number}",
            priority=0,
            deadlines=Deadlines(due_at=1.0, useful_until=3.0, limit_at=3_600.0),
            expected_run_s=0.1,
        )
        queue.put(job)
        queue.discard(job)
    assert not len(queue)
    assert len(queue._changes) + len(queue._latest_starts) < 200


@pytest.mark.parametrize("seed", range(3))
def test_amount_ahead_equals_that_of_the_jobs_before(seed: int) -> None:
    """Guards against counts that keep jobs which have left the queue or moved."""
    rng = random.Random(seed)
    queue: JobQueue[_Job] = JobQueue()
    jobs: dict[str, _Job] = {}
    now = 100.0
    for number in range(200):
        now += rng.expovariate(50.0)
        queue.advance(now)
        job = _draw(rng, number, now)
        jobs[job.job_id] = job
        queue.put(job)
        other = rng.choice(list(jobs.values()))
        if rng.random() < 0.3:
            queue.discard(jobs.pop(other.job_id))
        else:
            other.waiting_cpu_millis = rng.randrange(1_000, 20_000)
            queue.put(other)
        probe = _draw(rng, -1, now)
        key = queue_key(probe, now)
        ahead = [
            row
            for row in jobs.values()
            if (row_key := queue_key(row, now))[:3] < key[:3]
            or (
                row_key[:3] == key[:3]
                and row_key.due_at // DUE_BUCKET_S <= key.due_at // DUE_BUCKET_S
            )
        ]
        found = queue.ahead_of(probe, key)
        assert found.cpu_millis == sum(row.waiting_cpu_millis for row in ahead)
        own = queue.ahead_of(other, queue_key(other, now)).cpu_millis
        assert own >= 0
