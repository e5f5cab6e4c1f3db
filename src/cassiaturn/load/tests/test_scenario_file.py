from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from cassiaturn.load import DEMO_SCENARIO, Scenario, load_scenario, plan_jobs

SCENARIOS = Path(__file__).parents[4] / "scenarios"

VALID = """
name: small
duration_s: 10
deployment: {failure_domains: [osu, makola]}
tenants: [guild]
flows:
  - method: kwabena.v1.Props/OrderDeck
    jobs_per_s: 20
    run_time: {shape: lognormal, median_ms: 150, spread: 0.5}
    most_tasks: 3
    bursts: [{at_s: 5, jobs: 7}]
resubmission: {share: 0.5}
"""


def load(tmp_path: Path, change: str = "") -> Scenario:
    path = tmp_path / "scenario.yaml"
    document = yaml.safe_load(VALID) | (yaml.safe_load(change) or {})
    path.write_text(yaml.safe_dump(document))
    return load_scenario(path).unwrap()


def problems(tmp_path: Path, change: str) -> str:
    path = tmp_path / "scenario.yaml"
    document = yaml.safe_load(VALID) | yaml.safe_load(change)
    path.write_text(yaml.safe_dump(document))
    match load_scenario(path):
        case Failure(errors):
            return str(errors)
        case Success(_):
            raise AssertionError("an impossible scenario was taken")
    raise AssertionError


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ("duration_s: -1", ["duration_s", "-1", "greater than 0"]),
        ("durations: 1", ["durations", "unknown key", "duration_s"]),
        ("flows: []", ["flows", "at least 1"]),
        (
            "flows: [{method: a.B/C, jobs_per_s: 1, run_time: {}}]",
            ["flows.0.method", "a.B/C", "kwabena.v1.Props/OrderDeck"],
        ),
        (
            "deployment: {failure_domains: [osu], slots: 0}",
            ["deployment.slots", "0", "greater than or equal to 1"],
        ),
        ("faults: [{at_s: 1, kind: burn}]", ["faults.0.kind", "burn", "'slow'"]),
        (
            "faults: [{at_s: 1, kind: leave, index: 99}]",
            ["faults.0.index", "below 8"],
        ),
        (
            "faults: [{at_s: 1, kind: partition, domains: [moon]}]",
            ["faults.0.domains", "moon"],
        ),
        ("faults: [{at_s: 1, kind: slow}]", ["faults.0.amount", "above 0"]),
        (
            "flows: [{method: kwabena.v1.Props/OrderDeck, jobs_per_s: 1,"
            " run_time: {shape: round}}]",
            ["flows.0.run_time.shape", "round", "'lognormal'"],
        ),
        (
            "flows: [{method: kwabena.v1.Props/OrderDeck, jobs_per_s: 1,"
            " run_time: {}, tenants: [nobody]}]",
            ["flows.0.tenants", "nobody"],
        ),
    ],
)
def test_error_names_file_key_value_and_what_is_allowed(
    tmp_path: Path, change: str, expected: list[str]
) -> None:
    text = problems(tmp_path, change)
    assert "scenario.yaml" in text
    for part in expected:
        assert part in text


def test_equal_scenarios_have_equal_jobs(tmp_path: Path) -> None:
    first = plan_jobs(load(tmp_path))
    assert first == plan_jobs(load(tmp_path))
    assert first != plan_jobs(load(tmp_path, "seed: 2"))


def test_jobs_follow_the_scenario(tmp_path: Path) -> None:
    jobs = plan_jobs(load(tmp_path))
    assert 150 <= len(jobs) <= 270
    assert sum(job.at_s == 5 for job in jobs) == 7
    assert {len(job.payloads) for job in jobs} == {1, 2, 3}
    again = [job for job in jobs if job.resubmit_after_s is not None]
    assert 0.3 <= len(again) / len(jobs) <= 0.7
    assert all(job.instance != job.other_instance for job in jobs)
    times = [job.at_s for job in jobs]
    assert times == sorted(times)


@pytest.mark.parametrize(
    "path",
    [DEMO_SCENARIO, *sorted(SCENARIOS.glob("*.yaml"))],
    ids=lambda path: path.stem,
)
def test_shipped_scenarios_are_valid(path: Path) -> None:
    assert load_scenario(path).unwrap().name == path.stem


KEYS = ["name", "duration_s", "deployment", "tenants", "flows", "faults", "at_s"]
DOCUMENTS = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.sampled_from(KEYS), children, max_size=4)
    ),
    max_leaves=10,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(document=DOCUMENTS)
def test_any_other_document_gets_an_error(document: object) -> None:
    with TemporaryDirectory() as directory:
        path = Path(directory) / "scenario.yaml"
        path.write_text(yaml.safe_dump(document))
        assert isinstance(load_scenario(path), Failure)
