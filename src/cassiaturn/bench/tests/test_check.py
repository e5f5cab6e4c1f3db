"""Regressions are found, and only they."""

import json
from pathlib import Path

import pytest
from pydantic import ValidationError

from cassiaturn.bench._check import Baseline, load_baseline, regressions, save_baseline

RUN = "kwabena/steady-80"


@pytest.mark.parametrize(
    ("figure", "before", "after", "is_worse"),
    [
        ("urgent_p99_over_exact", 1.2, 1.2, False),
        ("urgent_p99_over_exact", 1.2, 1.38, False),
        ("urgent_p99_over_exact", 1.2, 1.39, True),
        ("urgent_p50_over_exact", 1.0, 1.05, False),
        ("urgent_p50_over_exact", 1.0, 1.06, True),
        ("batch_p99_over_exact", 2.0, 3.0, False),
        ("batch_p99_over_exact", 2.0, 3.01, True),
        ("urgent_p99_over_exact", 1.2, 0.5, False),
        ("urgent_admitted_in_time", 1.0, 0.96, False),
        ("urgent_admitted_in_time", 1.0, 0.94, True),
        ("useful", 0.96, 0.90, True),
        ("useful", 0.90, 0.96, False),
        ("started_twice", 0.0, 1.0, True),
        ("wasted", 0.0, 0.006, True),
    ],
)
def test_worse_is_past_the_bound_in_the_figure_s_own_direction(
    figure: str, before: float, after: float, is_worse: bool
) -> None:
    baseline = Baseline(seed=1, ratios={RUN: {figure: before}})
    found = regressions(baseline, {RUN: {figure: after}})
    assert [item.figure for item in found] == ([figure] if is_worse else [])


def test_a_missing_run_is_a_regression() -> None:
    baseline = Baseline(seed=1, ratios={RUN: {"useful": 0.9}})
    assert [item.run for item in regressions(baseline, {})] == [RUN]


def test_a_baseline_comes_back_as_it_was_written(tmp_path: Path) -> None:
    path = tmp_path / "benchmarks" / "baseline.json"
    baseline = Baseline(seed=1, ratios={RUN: {"useful": 0.9}})
    save_baseline(path, baseline)
    assert load_baseline(path) == baseline


@pytest.mark.parametrize("change", [{"bound": 1}, {"seed": "x"}])
def test_a_file_that_is_no_baseline_is_refused(
    tmp_path: Path, change: dict[str, object]
) -> None:
    path = tmp_path / "baseline.json"
    path.write_text(json.dumps({"seed": 1, "ratios": {}, **change}))
    with pytest.raises(ValidationError):
        load_baseline(path)
