"""Job order, run progress, expected run times, target speeds and pauses."""

import math
import random

import pytest

from cassiaturn.sharing import (
    Deadlines,
    ExpectedRuns,
    Progress,
    SpeedEstimate,
    failed_target_pause_s,
    latest_start,
    needs_fast_target,
    order_key,
    spread_retry_after,
)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ((0, 9.0, True), (1, 2.0, True)),  # priority before due time
        ((1, 2.0, True), (1, 3.0, True)),  # earliest due time first
        ((1, 3.0, True), (1, 0.5, True)),  # jobs that are late already go last
        ((1, 0.2, True), (1, 0.5, True)),  # of two late jobs the one due first
        ((2, 9.0, True), (0, 0.5, False)),  # late urgent jobs go after any in time
        ((1, 9.0, True), (1, 1.1, True)),  # jobs that cannot be in time count as late
        ((1, 9.0, False), (1, 2.0, True)),  # started jobs go before new ones
        ((0, 9.0, True), (1, 2.0, False)),  # but not before more urgent ones
    ],
)
def test_jobs_are_ordered_by_lateness_priority_and_due_time(
    first: tuple[int, float, bool], second: tuple[int, float, bool]
) -> None:
    keys = [
        order_key(
            priority=priority,
            deadlines=Deadlines(
                due_at=due_at, useful_until=due_at + 8.0, limit_at=20.0
            ),
            expected_run_s=0.4,
            is_new=is_new,
            now=1.0,
        )
        for priority, due_at, is_new in (first, second)
    ]
    assert keys == sorted(keys)


def test_retries_of_refused_callers_are_spread() -> None:
    """Otherwise callers refused together retry together and are refused again."""
    delays = [spread_retry_after(f"job-{index}", 1.0) for index in range(1_000)]
    assert min(delays) >= 1.0
    assert max(delays) <= 2.0
    late = sum(delay > 1.5 for delay in delays)
    assert 400 < late < 600


@pytest.mark.parametrize("length_s", [0.2, 0.9, 1.49, 3.0])
def test_progress_never_overstates_the_run_time(length_s: float) -> None:
    """Guards against ending jobs that would just have been in time."""
    for step in range(1, 60):
        elapsed_s = length_s * step / 60
        percent = int(100 * elapsed_s / length_s)
        progress = Progress(elapsed_s=elapsed_s, percent=percent)
        assert progress.least_run_s() <= length_s


def test_progress_shows_a_too_long_run_at_a_tenth_of_its_work() -> None:
    """Otherwise a run too long for its caller holds its resources until the limit."""
    assert Progress(elapsed_s=0.2, percent=10).least_run_s() > 1.5


def test_little_progress_gives_no_estimate() -> None:
    """Otherwise the milliseconds before a run begins its work distort the estimate."""
    assert Progress(elapsed_s=0.2, percent=2).least_run_s() == 0.0


def test_idle_service_starts_jobs_that_may_still_be_in_time() -> None:
    idle = latest_start(limit_at=1.5, expected_run_s=2.0, is_idle=True)
    busy = latest_start(limit_at=1.5, expected_run_s=2.0, is_idle=False)
    assert busy < 0.0 < idle


def test_expected_runs_halve_the_error_of_declared_times() -> None:
    rng = random.Random(4)
    expected = ExpectedRuns()
    errors, declared_errors = [], []
    for _ in range(600):
        true_s = rng.lognormvariate(math.log(0.2), 0.4)
        declared_s = true_s * rng.lognormvariate(0.0, 0.4)
        guess_s = expected.expected_s("r", declared_s)
        errors.append(math.log(guess_s / true_s) ** 2)
        declared_errors.append(math.log(declared_s / true_s) ** 2)
        expected.observe("r", true_s)
    assert sum(errors[100:]) < 0.6 * sum(declared_errors[100:])


def test_default_run_time_applies_if_nothing_is_known() -> None:
    assert ExpectedRuns().expected_s("r", 0.0) == 0.3
    assert ExpectedRuns().expected_s("r", 0.9) == 0.9


def test_estimate_distinguishes_speeds_after_a_hundred_runs() -> None:
    rng = random.Random(7)
    steps = []
    for speed in (0.8, 1.0, 1.25):
        estimate = SpeedEstimate()
        for _ in range(100):
            estimate.observe(rng.lognormvariate(0.0, 0.3) / speed)
        steps.append(estimate.step)
    assert steps == sorted(steps, reverse=True)
    assert steps[0] - steps[2] >= 3


def test_estimate_mostly_identifies_a_slow_target_after_six_runs() -> None:
    """Guards against a new leader sending long tasks to targets too slow for them.

    It knows no speeds, and its first seconds follow a fault, when callers have the
    least time to spare.
    """
    identified = 0
    for seed in range(200):
        rng = random.Random(seed)
        average, slow = SpeedEstimate(), SpeedEstimate()
        for _ in range(6):
            average.observe(rng.lognormvariate(0.0, 0.3))
            slow.observe(rng.lognormvariate(0.0, 0.3) * 1.3)
        identified += slow.step > average.step
    assert identified >= 200 * 2 / 3


@pytest.mark.parametrize(("run_s", "is_tight"), [(0.06, False), (0.9, True)])
def test_runs_that_need_a_fast_target(run_s: float, is_tight: bool) -> None:
    assert needs_fast_target(expected_run_s=run_s, limit_s=1.5) is is_tight


def test_pauses_double_up_to_the_maximum() -> None:
    pauses = [failed_target_pause_s(count) for count in (1, 2, 3, 4, 50)]
    assert pauses == [0.25, 0.5, 1.0, 2.0, 2.0]
