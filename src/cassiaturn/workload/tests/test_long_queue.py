"""What a leader does for each event beside a long queue."""

from dataclasses import replace
from typing import Any

import pytest

from cassiaturn import workload
from cassiaturn.entities import Route
from cassiaturn.sharing import Lateness
from cassiaturn.standins.virtual_targets import ROUTE, Play
from cassiaturn.workload import Verdict


class _CountingRoute(Route):
    """Counts the looks at jobs' places in the queue, which begin with the priority."""

    looks = 0

    def __getattribute__(self, name: str) -> Any:
        if name == "priority":
            _CountingRoute.looks += 1
        return super().__getattribute__(name)


PATIENT = _CountingRoute(
    name="patient", host="", prefix="/", service="svc", stretch=100.0, max_attempts=2
)


def _play(queued: int) -> Play:
    play = Play()
    for index in range(8):
        play.add_target(f"t{index}")
    play.run(0.1)
    for index in range(queued):
        play.submit(f"a{index}", count=2, run_s=2.0, route=PATIENT, limit_s=1_000.0)
    return play


@pytest.mark.parametrize("queued", [100, 1_000])
def test_a_submission_costs_the_same_beside_any_queue(queued: int) -> None:
    """A leader spent its time on its queue, started less, and the queue grew."""
    play = _play(queued)
    _CountingRoute.looks = 0
    play.submit("b", count=2, run_s=2.0, route=PATIENT, limit_s=1_000.0)
    assert _CountingRoute.looks <= 20


@pytest.mark.parametrize("queued", [100, 1_000])
def test_a_dispatch_costs_the_same_beside_any_queue(queued: int) -> None:
    """Room for one small job had every event sort the queue."""
    play = _play(queued)
    slow = replace(ROUTE, priority=9, stretch=100.0)
    # Held for a run of an earlier leader, it leaves room that no other job fits.
    play.submit("small", cpu=2_300, route=slow, limit_s=1_000.0, begun_earlier=True)
    _CountingRoute.looks = 0
    workload.dispatch(play.tables, play, play.now)
    assert _CountingRoute.looks <= 20


def test_jobs_that_become_urgent_meanwhile_start_before_the_rest_of_a_burst() -> None:
    """A burst was started in one go, and an urgent job waited until all was sent."""
    play = Play()
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
def test_a_leader_that_reaches_no_target_hands_jobs_back(
    limit_s: float, waited_s: float
) -> None:
    """A member that was cut off alone kept jobs that others could have served."""
    play = Play()
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


def test_a_job_whose_tasks_ask_for_no_processor_is_served() -> None:
    """Such a job was never queued, and never answered."""
    play = _play(0)
    play.submit("a", cpu=0)
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED


def test_jobs_that_fit_nowhere_hold_up_nobody() -> None:
    """Jobs wider than any target at the head of the queue kept all others waiting."""
    play = _play(0)
    for index in range(80):
        play.submit(f"a{index}", cpu=20_000, limit_s=30.0)
    play.submit("b", cpu=1_000, limit_s=30.0)
    play.run(0.5)
    assert play.verdict("b") is Verdict.COMPLETED


def test_targets_that_are_paused_are_not_out_of_reach() -> None:
    """All targets paused for a failing job, and everybody was refused."""
    play = _play(0)
    for row in play.tables.targets_by_id.values():
        row.paused_until = play.now + 1.6
    play.submit("a", limit_s=20.0)
    play.run(3.0)
    assert play.verdict("a") is Verdict.COMPLETED


def test_a_long_run_is_not_taken_for_one_that_stands_still() -> None:
    """Runs of a minute show progress every 0.6 s, and were stopped after 0.35."""
    play = _play(0)
    play.submit("a", run_s=60.0, limit_s=200.0)
    play.run(70.0)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == 1


def test_a_request_that_joins_a_job_keeps_it_for_as_long_as_it_waits() -> None:
    """A caller came again at another member, and got the end of its first request."""
    play = _play(8)
    play.submit("b", run_s=0.06, limit_s=1.0)
    play.run(0.5)
    play.submit("b", run_s=0.06, limit_s=9.0, origin="m2")
    play.run(4.0)
    assert play.verdict("b") is Verdict.COMPLETED
