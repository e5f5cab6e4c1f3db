"""Tests of what a leader tells of its estimates, and how others start from them."""

import math

import pytest

from cassiaturn.sharing import (
    Estimate,
    EstimateKey,
    EstimateKind,
    EstimateSummary,
    ExpectedRuns,
    Learned,
    SpeedModel,
)

TARGET = EstimateKey(EstimateKind.TARGET, "t0")
ROUTE = EstimateKey(EstimateKind.ROUTE, "quick")


def _estimate(mean: float, variance: float, learned_at: float = 0.0) -> Estimate:
    return Estimate(key=TARGET, mean=mean, variance=variance, learned_at=learned_at)


def test_only_changes_by_a_step_are_told() -> None:
    """Guards against a summary that tells of all targets each second."""
    summary = EstimateSummary()
    assert not summary.update([Learned(TARGET, 0.0, 0.01)], 1.0)
    assert not summary.update([Learned(TARGET, 0.04, 0.009)], 2.0)
    assert summary.update([Learned(TARGET, 0.06, 0.008)], 3.0) == [TARGET]
    assert not summary.update([Learned(TARGET, 0.10, 0.007)], 4.0)
    assert summary.estimate(TARGET) == _estimate(0.06, 0.008, learned_at=4.0)
    assert summary.update([Learned(TARGET, 0.10, 0.0035)], 5.0) == [TARGET]
    assert summary.update([], 6.0) == [TARGET]
    assert not summary.estimates


def test_inherited_estimates_keep_their_age_until_a_run_changes_them() -> None:
    """Guards against estimates that look new after each change of leader."""
    summary = EstimateSummary()
    summary.begin([_estimate(0.3, 0.003, 5.0)], [Learned(TARGET, 0.3, 0.009)])
    assert not summary.update([Learned(TARGET, 0.3, 0.009)], 20.0)
    assert summary.estimates == [_estimate(0.3, 0.003, 5.0)]
    assert not summary.update([Learned(TARGET, 0.31, 0.008)], 21.0)
    assert summary.estimates == [_estimate(0.3, 0.003, 21.0)]


def test_old_estimates_are_less_certain() -> None:
    """Guards against a successor that trusts what may have changed in an outage."""
    estimate = _estimate(0.3, 0.003)
    raised = [estimate.raised_variance(age) for age in (0.0, 5.0, 60.0)]
    assert raised == pytest.approx([0.006, 0.009, 0.01])
    assert estimate.raised_variance(-5.0) == raised[0]
    assert [estimate.restored_runs(age) for age in (0.0, 10.0, 600.0)] == [10, 5, 1]


@pytest.mark.parametrize(
    ("key", "mean", "variance"),
    [
        (TARGET, math.nan, 0.003),
        (TARGET, math.inf, 0.003),
        (TARGET, 2.1, 0.003),
        (TARGET, 0.1, 0.0),
        (TARGET, 0.1, -0.003),
        (TARGET, 0.1, 0.02),
        (TARGET, 0.1, math.nan),
        (EstimateKey(EstimateKind.LABEL, "a", "svc"), 0.1, 0.05),
        (ROUTE, math.nan, 0.0),
        (ROUTE, math.log(4e3), 0.0),
        (ROUTE, math.log(4e-4), 0.0),
    ],
)
def test_nonsensical_estimates_are_not_plausible(
    key: EstimateKey, mean: float, variance: float
) -> None:
    estimate = Estimate(key=key, mean=mean, variance=variance, learned_at=0.0)
    assert not estimate.is_plausible


def test_restored_mean_run_time_follows_changes_sooner_at_first() -> None:
    """Guards against a successor that expects outdated run times for 20 runs."""
    means = []
    for runs in (1, 10):
        expected = ExpectedRuns()
        assert expected.restore("quick", math.log(0.1), runs)
        for _ in range(5):
            expected.observe("quick", 0.4)
        means.append(expected.expected_s("quick", 0.0))
    assert means[0] > means[1] > 0.1 * 4 ** (1 - 0.95**5)
    assert not expected.restore("quick", math.log(9.0), 10)
    # After some runs each of them has the usual weight.
    for run_s in (*[0.1] * 400, 0.4):
        expected.observe("quick", run_s)
    assert expected.expected_s("quick", 0.0) == pytest.approx(0.1 * 4**0.05)


def test_learned_effect_of_a_label_is_not_replaced() -> None:
    """Guards against an old row that overwrites what the leader has learned since."""
    model = SpeedModel()
    speed = model.new_estimate(["a"])
    assert model.restore_label("a", 0.3, 0.02)
    assert speed.log_ratio == 0.3
    assert not model.restore_label("a", -0.3, 0.02)
    model.observe_job([(speed, 1.5)])
    assert not model.restore_label("", 0.2, 0.02)
