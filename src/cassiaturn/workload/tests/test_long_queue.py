"""Cost and outcome of a leader's decisions while many jobs are queued."""

from dataclasses import replace
from typing import Any

import pytest

from cassiaturn import workload
from cassiaturn.entities import Route
from cassiaturn.sharing import Lateness
from cassiaturn.standins.virtual_targets import ROUTE, VirtualLeader
from cassiaturn.workload import Verdict


class _CountingRoute(Route):
    """Counts reads of the priority, the first part of a job's queue key."""

    priority_reads = 0

    def __getattribute__(self, name: str) -> Any:
        if name == "priority":
            _CountingRoute.priority_reads += 1
        return super().__getattribute__(name)


PATIENT = _CountingRoute(
    name="patient", host="", prefix="/", service="svc", stretch=100.0, max_attempts=2
)


def _play(queued: int) -> VirtualLeader:
    play = VirtualLeader()
    for index in range(8):
        play.add_target(f"t{index}")
    play.run(0.1)
    for index in range(queued):
        play.submit(f"a{index}", count=2, run_s=2.0, route=PATIENT, limit_s=1_000.0)
    return play


@pytest.mark.parametrize("queued", [100, 1_000])
def test_submission_cost_does_not_grow_with_the_queue(queued: int) -> None:
    """Guards against a scan of the queue at each submission.

    A leader with a long queue would start fewer jobs, so that the queue grows further.
    """
    play = _play(queued)
    _CountingRoute.priority_reads = 0
    play.submit("b", count=2, run_s=2.0, route=PATIENT, limit_s=1_000.0)
    assert _CountingRoute.priority_reads <= 20


@pytest.mark.parametrize("queued", [100, 1_000])
def test_dispatch_cost_does_not_grow_with_the_queue(queued: int) -> None:
    """Guards against sorting the queue at each event.

    This happens if the free resources suffice for one small job that may not start yet.
    """
    play = _play(queued)
    slow = replace(ROUTE, priority=9, stretch=100.0)
    # This job waits for a run of an earlier leader, and no other job fits the free
    # room.
    play.submit("small", cpu=2_300, route=slow, limit_s=1_000.0, begun_earlier=True)
    _CountingRoute.priority_reads = 0
    workload.dispatch(play.tables, play, play.now)
    assert _CountingRoute.priority_reads <= 20


def test_urgent_job_starts_before_the_rest_of_a_burst() -> None:
    """Guards against starting a burst as a whole before later urgent jobs are read."""
    play = VirtualLeader()
    for index in range(100):
        play.add_target(f"t{index}")
    play.run(0.1)
    relaxed = replace(ROUTE, priority=2)
    play.auto_dispatch = False
    for index in range(60):
        play.submit(f"a{index}", count=2, run_s=0.3, route=relaxed, limit_s=9.0)
    left = workload.dispatch(play.tables, play, play.now)
    assert left is Lateness.IN_TIME
    play.submit("urgent", count=2, run_s=0.06, limit_s=9.0)
    workload.dispatch(play.tables, play, play.now)
    assert play.tables.jobs_by_id["urgent"].begun
    assert not play.tables.jobs_by_id["a59"].begun
    play.auto_dispatch = True
    play.run(1.0)
    assert {play.verdict(f"a{index}") for index in range(60)} == {Verdict.COMPLETED}


@pytest.mark.parametrize(
    ("limit_s", "waited_s"),
    [(6.0, 1.0), (1.8, 1.75)],
)
def test_leader_that_reaches_no_target_ends_its_jobs(
    limit_s: float, waited_s: float
) -> None:
    """Guards against a partitioned leader keeping jobs that others could serve."""
    play = VirtualLeader()
    for index in range(4):
        play.add_target(f"t{index}")
    play.run(0.1)
    for index in range(4):
        play.targets[f"t{index}"].cut = True
        play.lose(f"t{index}")
    play.submit("a", run_s=0.06, limit_s=limit_s)
    play.run(6.0)
    assert play.verdict("a") is Verdict.REFUSED
    took_s = play.answered_at["a"] - play.submitted_at["a"]
    assert took_s == pytest.approx(waited_s, abs=0.1)


def test_job_without_cpu_demand_is_served() -> None:
    """Guards against never queueing or answering a job with a CPU demand of 0."""
    play = _play(0)
    play.submit("a", cpu=0)
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED


def test_jobs_too_large_for_any_target_do_not_block_others() -> None:
    """Guards against jobs larger than any target blocking the head of the queue."""
    play = _play(0)
    for index in range(80):
        play.submit(f"a{index}", cpu=20_000, limit_s=30.0)
    play.submit("b", cpu=1_000, limit_s=30.0)
    play.run(0.5)
    assert play.verdict("b") is Verdict.COMPLETED


def test_paused_targets_do_not_count_as_unreachable() -> None:
    """Guards against refusing every caller once a failing job paused all targets."""
    play = _play(0)
    for row in play.tables.targets_by_id.values():
        row.paused_until = play.now + 1.6
    play.submit("a", limit_s=20.0)
    play.run(3.0)
    assert play.verdict("a") is Verdict.COMPLETED


def test_long_run_does_not_count_as_stalled() -> None:
    """Guards against stopping runs of 60 s, whose progress changes every 0.6 s.

    The minimum stall timeout is 0.35 s.
    """
    play = _play(0)
    play.submit("a", run_s=60.0, limit_s=200.0)
    play.run(70.0)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == 1


def test_joining_request_extends_the_limit_of_a_job() -> None:
    """Guards against ending a job at the limit of its first request.

    The caller comes back through another member and waits longer.
    """
    play = _play(8)
    play.submit("b", run_s=0.06, limit_s=1.0)
    play.run(0.5)
    play.submit("b", run_s=0.06, limit_s=9.0, origin="m2")
    play.run(4.0)
    assert play.verdict("b") is Verdict.COMPLETED
