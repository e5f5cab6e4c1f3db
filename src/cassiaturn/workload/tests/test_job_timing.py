"""The breakdown of a job's time that its leader logs."""

import pytest

from cassiaturn.observability import Event
from cassiaturn.standins.virtual_targets import VirtualLeader

LIMIT_MS = 1500


def _timing(play: VirtualLeader, job_id: str) -> dict[str, object]:
    """Return the logged timing of a job."""
    (fields,) = (
        fields
        for event, fields in play.records
        if event is Event.JOB_TIMED and fields["id"] == job_id
    )
    return fields


@pytest.fixture
def play() -> VirtualLeader:
    play = VirtualLeader()
    play.add_target("t0")
    play.add_target("t1")
    play.run(0.1)
    return play


def test_timing_of_a_served_job_shows_its_longest_task(play: VirtualLeader) -> None:
    play.submit("a", count=2, run_s=0.9, lengths=[0.8, 1.2])
    play.run(1.5)
    timing = _timing(play, "a")
    assert timing["served"] is True
    assert str(timing["critical"]).startswith("1@")
    assert timing["run_ms"] == pytest.approx(1200, abs=10)
    assert timing["fastest_ms"] == pytest.approx(1200, abs=30)
    assert timing["lost_ms"] == 0
    assert timing["work_cpu_s"] == pytest.approx(6.8 * 2.0, abs=0.3)


def test_timing_shows_a_task_too_long_for_any_target(play: VirtualLeader) -> None:
    play.submit("a", count=2, run_s=0.9, lengths=[0.8, 2.0])
    play.run(2.0)
    timing = _timing(play, "a")
    assert timing["served"] is False
    assert timing["reason"] == "cannot_finish"
    assert int(str(timing["fastest_ms"])) > LIMIT_MS


def test_timing_separates_lost_runs_from_task_length(play: VirtualLeader) -> None:
    """Guards against logging a job as too long whose target stopped responding."""
    play.submit("a", count=1, run_s=0.9, lengths=[0.9])
    play.run(0.4)
    (run,) = play.tables.runs_by_ref.values()
    play.targets[run.target_id].cut = True
    play.lose(run.target_id)
    play.run(1.6)
    timing = _timing(play, "a")
    assert timing["served"] is False
    assert int(str(timing["lost_ms"])) >= 1000
    assert int(str(timing["fastest_ms"])) <= LIMIT_MS


def test_timing_separates_slow_targets_from_task_length(play: VirtualLeader) -> None:
    """Guards against logging a job as too long that ran on a slow target."""
    for name in play.targets:
        play.tables.targets_by_id[name].paused_until = float("inf")
    play.add_target("slow", speed=0.5)
    for number in range(40):
        play.submit(f"s{number}", run_s=0.1, lengths=[0.1])
        play.run(0.3)
    play.submit("a", run_s=0.9, lengths=[0.9])
    play.run(1.6)
    timing = _timing(play, "a")
    assert timing["served"] is False
    assert int(str(timing["run_ms"])) > LIMIT_MS
    assert int(str(timing["fastest_ms"])) <= LIMIT_MS


def test_timing_of_an_abandoned_job_shows_its_full_work(play: VirtualLeader) -> None:
    """Otherwise abandoned large jobs count as small, and large jobs appear served."""
    play.submit("a", count=2, run_s=0.9, lengths=[2.0, 3.6])
    play.run(0.5)
    timing = _timing(play, "a")
    assert timing["reason"] == "cannot_finish"
    assert float(str(timing["work_cpu_s"])) >= 6.8 * 2 * LIMIT_MS / 1000
