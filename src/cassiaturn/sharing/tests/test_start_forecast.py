"""Tests of the forecast of a start by target capacity, and of its errors."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiaturn.sharing import ForecastError, QueuedAhead, RoomForecast
from cassiaturn.sharing._start_forecast import ArrivingWork

SIZE = 8_000

NOW = 100.0


def _room(targets: int, cpu_millis: int = 24_000) -> RoomForecast:
    room = RoomForecast()
    for number in range(targets):
        room.set_target(f"t{number}", cpu_millis)
    return room


def _ahead(count: int, run_s: float, size: int = SIZE) -> QueuedAhead:
    return QueuedAhead(
        starts=count, cpu_millis=count * size, work_millicore_s=count * size * run_s
    )


def _fifo_start_s(ends_s: list[float], count: int, run_s: float) -> float:
    """Return when a task starts behind others on places that become free."""
    free_at = sorted(ends_s)
    for _ in range(count):
        free_at.append(free_at.pop(0) + run_s)
        free_at.sort()
    return free_at[0]


@pytest.mark.parametrize("run_s", [0.05, 0.3, 1.0])
@pytest.mark.parametrize("count", [0, 6, 30, 60, 150])
def test_forecast_is_near_the_start_in_queue_order(run_s: float, count: int) -> None:
    """Guards against a forecast by queued work alone, without the runs in progress."""
    rng = random.Random(count)
    room = _room(20)
    ends_s = [rng.uniform(0.0, 0.6) for _ in range(60)]
    for number, end_s in enumerate(ends_s):
        room.put_run(number, size=SIZE, end_at=NOW + end_s, now=NOW)
    wait_s = room.wait_s(SIZE, _ahead(count, run_s), NOW)
    actual_s = _fifo_start_s(ends_s, count, run_s)
    assert wait_s == pytest.approx(actual_s, abs=0.1 + 0.15 * actual_s)


def test_task_that_leaves_a_part_of_each_target_unused_waits_for_whole_places() -> None:
    """A target of 24 cores holds two tasks of 9: its last 6 cores are of no use."""
    room = _room(1)
    for number in range(2):
        room.put_run(number, size=9_000, end_at=NOW + 0.5, now=NOW)
    assert room.wait_s(9_000, QueuedAhead(), NOW) == pytest.approx(0.5, abs=0.03)
    assert room.wait_s(30_000, QueuedAhead(), NOW) == float("inf")


def test_runs_of_a_silent_target_free_no_capacity() -> None:
    """Guards against jobs admitted for room on a target that does not answer."""
    room = _room(2)
    for number in range(6):
        end_at = NOW + (0.1 if number < 3 else 0.8)
        room.put_run(number, size=SIZE, end_at=end_at, now=NOW)
    assert room.wait_s(SIZE, QueuedAhead(), NOW) == pytest.approx(0.1, abs=0.03)
    room.set_target("t0", 0)
    for number in range(3):
        room.ends.discard(number)
    assert room.wait_s(SIZE, QueuedAhead(), NOW) == pytest.approx(0.8, abs=0.03)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 8), st.booleans(), st.floats(-1.0, 30.0), st.floats(0, 2.0)
        ),
        max_size=60,
    )
)
def test_room_is_whole_again_after_any_starts_and_ends(
    steps: list[tuple[int, bool, float, float]],
) -> None:
    """Guards against capacity that is lost to runs past their expected end."""
    room = _room(3)
    now = NOW
    for run, ends, remaining_s, pause_s in steps:
        now += pause_s
        if ends:
            room.ends.discard(run)
        else:
            room.put_run(run, size=SIZE, end_at=now + remaining_s, now=now)
        wait_s = room.wait_s(SIZE, _ahead(5, 0.2), now)
        assert 0.0 <= wait_s < 15.0
    for run in range(9):
        room.ends.discard(run)
    assert room.wait_s(SIZE, _ahead(8, 0.2), now) == 0.0


def test_margin_is_the_upper_quartile_of_the_latest_errors() -> None:
    """Guards against a margin that stays after the burst that caused it."""
    errors = ForecastError()
    for number in range(400):
        errors.observe(number % 100 / 100, NOW)
    assert errors.margin_s(NOW) == pytest.approx(0.75, abs=0.03)
    for _ in range(400):
        errors.observe(-0.5, NOW)
    assert errors.margin_s(NOW) == 0.0


def test_margin_that_refuses_all_jobs_ends() -> None:
    """Without jobs that start there are no errors that could lower the margin."""
    errors = ForecastError()
    for _ in range(20):
        errors.observe(5.0, NOW)
    assert errors.margin_s(NOW + 0.9) == pytest.approx(5.0, abs=0.1)
    assert errors.margin_s(NOW + 1.1) == 0.0


def test_more_urgent_work_that_keeps_arriving_delays_a_task() -> None:
    """Guards against jobs that are admitted, and then overtaken until it is too late.

    Jobs that arrive at one moment are in the queue, and must not count twice.
    """
    arriving = ArrivingWork()
    for _ in range(100):
        arriving.note(0, 1_000.0, NOW)
    assert arriving.delay_factor(NOW, capacity_millis=10_000, before=1) == 1.0
    arriving = ArrivingWork()
    for step in range(200):
        arriving.note(0, 50.0, NOW + step * 0.01)
    now = NOW + 2.0
    factor = arriving.delay_factor(now, capacity_millis=10_000, before=1)
    assert factor == pytest.approx(2.0, abs=0.1)
    assert arriving.delay_factor(now, capacity_millis=10_000, before=0) == 1.0
    later = arriving.delay_factor(now + 2.0, capacity_millis=10_000, before=None)
    assert later == pytest.approx(1.0, abs=0.01)
