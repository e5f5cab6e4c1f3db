"""Loads of tasks that name the rack on which their data lies."""

import random
from collections.abc import Sequence

import pytest

from cassiaturn.entities import TaskRef
from cassiaturn.standins.virtual_targets import VirtualLeader
from cassiaturn.workload import Verdict, settings_for_lease

FACTOR = 3.0
"""How many times as long a task runs on another rack."""

RACKS = 10

TARGETS_PER_RACK = 2

HOT_RACK_SHARE = 0.6
"""Share of the jobs that want the same rack."""


def _leader(*, knows_factor: bool = True) -> VirtualLeader:
    factor = FACTOR if knows_factor else 1.0
    return VirtualLeader(settings=settings_for_lease(1.0, remote_rack_factor=factor))


def _add_racks(play: VirtualLeader) -> Sequence[str]:
    names = []
    for number in range(RACKS * TARGETS_PER_RACK):
        rack = f"rack-{number % RACKS}"
        names.append(f"t{number}")
        play.add_target(
            names[-1], labels=frozenset({"kind-a", rack}), remote_factor=FACTOR
        )
    play.run(0.1)
    return names


def _play_hot_rack(*, knows_factor: bool) -> tuple[int, int]:
    """Play jobs of which most want one rack that holds a tenth of the fleet.

    :returns: the number of jobs in time, and the most targets that counted as slow.
    """
    play = _leader(knows_factor=knows_factor)
    _add_racks(play)
    rng = random.Random(7)
    job_ids = [f"{number:016x}" for number in range(400)]
    most_slow = 0
    for job_id in job_ids:
        is_hot = rng.random() < HOT_RACK_SHARE
        rack = "rack-0" if is_hot else f"rack-{rng.randrange(RACKS)}"
        play.submit(job_id, count=2, run_s=0.06, cpu=8_000, rack=rack)
        play.run(0.01)
        targets = play.tables.targets_by_id.values()
        most_slow = max(most_slow, sum(target.is_slow for target in targets))
    play.run(2.0)
    due_s = 0.06 * 1.6 * FACTOR + 0.06
    in_time = sum(
        play.verdict(job_id) is Verdict.COMPLETED
        and play.answered_at[job_id] - play.submitted_at[job_id] <= due_s
        for job_id in job_ids
    )
    return in_time, most_slow


def test_a_hot_rack_makes_no_healthy_target_count_as_slow() -> None:
    """Guards against healthy targets without work because of remote runs."""
    in_time, most_slow = _play_hot_rack(knows_factor=True)
    in_time_before, most_slow_before = _play_hot_rack(knows_factor=False)
    assert most_slow == 0
    assert most_slow_before > 0
    assert in_time >= in_time_before


def test_remote_runs_do_not_raise_expected_run_times() -> None:
    """Guards against refusing local jobs because others ran on another rack."""
    play = _leader()
    play.add_target("t0", labels=frozenset({"rack-1"}), remote_factor=FACTOR)
    play.run(0.1)
    for number in range(30):
        play.submit(f"{number:016x}", run_s=0.1, rack="rack-0")
        play.run(0.4)
    assert play.tables.counters.remote_starts == 30
    assert play.tables.expected.expected_s("quick", 0.1) == pytest.approx(0.1, rel=0.1)
    assert play.tables.targets_by_id["t0"].speed.ratio == pytest.approx(1.0, rel=0.1)


@pytest.mark.parametrize(
    ("slowness", "expected"),
    [
        pytest.param(1.0, "near", id="healthy"),
        pytest.param(2.5, "near", id="degraded, but sooner than elsewhere"),
        pytest.param(4.0, "far", id="degraded, and later than elsewhere"),
    ],
)
def test_a_task_goes_where_it_ends_first(slowness: float, expected: str) -> None:
    """Guards against a remote run that takes longer than a degraded target."""
    play = _leader()
    play.add_target("far", labels=frozenset({"rack-1"}), remote_factor=FACTOR)
    play.add_target("near", labels=frozenset({"rack-0"}), remote_factor=FACTOR)
    play.run(0.1)
    target = play.tables.targets_by_id["near"]
    target.slowness = slowness
    target.note_change()
    play.submit("a", run_s=0.06, rack="rack-0")
    play.run(0.01)
    assert play.tables.runs_by_ref[TaskRef("a", 0, 0, 0)].target_id == expected


def test_a_task_whose_rack_is_not_known_starts_elsewhere_at_once() -> None:
    """Guards against jobs that wait for a rack that nobody has."""
    play = _leader()
    play.add_target("t0", labels=frozenset({"rack-1"}))
    play.run(0.1)
    play.submit("a", run_s=0.06, rack="rack-9")
    play.run(0.1)
    assert play.verdict("a") is Verdict.COMPLETED
