"""Outcomes of jobs whose targets crash, stall, fail or answer late."""

import pytest

from cassiaturn import workload
from cassiaturn.entities import (
    EndedRun,
    LeaseReport,
    RunEnd,
    RunningTask,
    StartAnswer,
    TaskRef,
)
from cassiaturn.observability import Event
from cassiaturn.sharing import TargetIndex
from cassiaturn.standins.virtual_targets import VirtualLeader
from cassiaturn.workload import RunState, Verdict


def _play(count: int = 4, **traits: object) -> VirtualLeader:
    """Return a play with several targets; the traits apply to the first."""
    play = VirtualLeader()
    for index in range(count):
        play.add_target(f"t{index}")
    for name, value in traits.items():
        setattr(play.targets["t0"], name, value)
    play.run(0.1)
    return play


def test_free_room_on_silent_targets_is_not_searched(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Many targets are partitioned at once, and the leader stalls for seconds.

    Free resources on silent targets cannot be used. If they count as usable, each event
    makes the leader search for a target for each queued job without success, and
    all callers wait meanwhile.
    """
    play = VirtualLeader()
    for index in range(6):
        play.add_target(f"t{index}")
    for index in range(3):
        workload.on_target_silent(play.tables, play, f"t{index}")
    for index in range(20):
        play.submit(f"a{index}", run_s=0.9)
    searches = 0

    def search(*args: object, **options: object) -> None:
        nonlocal searches
        searches += 1

    monkeypatch.setattr(TargetIndex, "choose", search)
    workload.dispatch(play.tables, play, play.now)
    assert searches == 0


def test_list_that_overtakes_a_start_does_not_end_its_run() -> None:
    """A task is started while its target is asked for its list.

    The request overtakes the order to start, so the list leaves the run out. If that
    counted as the run's end, the task would start elsewhere while its first run works:
    two concurrent runs.
    """
    play = _play(2)
    play.submit("a", run_s=0.3)
    (run,) = play.tables.runs_by_ref.values()
    report = LeaseReport(clock_ms=0, running=(), ended=())
    workload.on_lease_report(
        play.tables,
        play,
        run.target_id,
        report,
        asked_at=play.now + 0.0005,
        now=play.now + 0.001,
    )
    assert run.ref in play.tables.runs_by_ref
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == 1


def test_list_requested_after_the_answer_ends_a_missing_run() -> None:
    play = _play(2)
    play.submit("a", run_s=0.3)
    play.run(0.01)
    (run,) = play.tables.runs_by_ref.values()
    play.targets[run.target_id].runs_by_ref.clear()
    play.run(0.6)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == 2


def test_unanswered_start_is_stopped_before_it_runs_elsewhere() -> None:
    """The answer to a start is lost, and the target carries it out 0.4 s later.

    If the task started elsewhere at once, it would run twice at the same time.
    """
    play = _play(4, late_s=0.4)
    lost: list[TaskRef] = []

    def lose(order: workload.StartOrder) -> bool:
        if order.target_id != "t0" or lost:
            return False
        lost.append(order.ref)
        return True

    play.lose_start = lose
    for index in range(8):
        play.submit(f"a{index}", run_s=0.3)
    play.run(1.4)
    assert lost
    assert not play.overlaps
    assert {play.verdict(f"a{index}") for index in range(8)} == {Verdict.COMPLETED}


def test_runs_of_a_partitioned_target_restart_after_its_lease() -> None:
    """A target is partitioned while it runs a task, and continues to run it.

    Its lease ends the run a second later at the latest. If the task started elsewhere
    before that, it would run twice at the same time; the caller waits for 3 s.
    """
    play = _play(2)
    play.submit("a", run_s=0.6, limit_s=3.0)
    play.run(0.05)
    (run,) = play.tables.runs_by_ref.values()
    play.targets[run.target_id].cut = True
    play.targets[run.target_id].runs_by_ref[run.ref].length_s = 5.0
    play.lose(run.target_id)
    play.run(0.9)
    assert play.running("a") == 1
    play.run(1.5)
    assert play.verdict("a") is Verdict.COMPLETED
    assert not play.overlaps


def test_runs_of_a_crashed_target_restart_elsewhere_at_once() -> None:
    play = _play(2)
    play.submit("a", run_s=0.3)
    play.run(0.05)
    (run,) = play.tables.runs_by_ref.values()
    play.targets[run.target_id].runs_by_ref.clear()
    workload.on_target_gone(play.tables, play, run.target_id, "other_life", play.now)
    workload.dispatch(play.tables, play, play.now)
    play.run(0.4)
    assert play.verdict("a") is Verdict.COMPLETED


def test_stalled_task_is_run_elsewhere() -> None:
    """One of four targets makes no progress on its tasks while it answers.

    Its callers would wait until their limit for tasks that never end.
    """
    play = _play(4, hangs=True)
    play.submit("a", count=8, run_s=0.2)
    play.run(1.4)
    assert play.verdict("a") is Verdict.COMPLETED
    assert not play.overlaps
    assert Event.RUN_STALLED in [event for event, _ in play.records]


def test_failing_target_does_not_use_up_all_attempts() -> None:
    """One of four targets fails each task within 20 ms, so it is always free.

    As the least loaded target it would get every second start of a job until a task has
    used up its two attempts and the caller is told that the job failed.
    """
    play = _play(4, fails=True)
    for index in range(20):
        play.submit(f"a{index}", count=2, run_s=0.06)
        play.run(0.08)
    play.run(1.0)
    verdicts = [play.verdict(f"a{index}") for index in range(20)]
    assert verdicts == [Verdict.COMPLETED] * 20


def test_job_fails_when_its_task_fails_on_all_targets() -> None:
    play = VirtualLeader()
    for index in range(4):
        play.add_target(f"t{index}", fails=True)
    play.run(0.1)
    play.submit("a")
    play.run(1.0)
    assert play.verdict("a") is Verdict.FAILED
    assert play.tables.counters.starts == 2


@pytest.mark.parametrize(
    "answer",
    [
        StartAnswer.NO_ROOM,
        StartAnswer.LATE,
        StartAnswer.UNHEALTHY,
        StartAnswer.OTHER_LIFE,
        StartAnswer.UNREACHABLE,
        StartAnswer.OUTDATED,
        StartAnswer.INVALID,
    ],
)
def test_refused_start_requeues_its_task(answer: StartAnswer) -> None:
    play = _play(2)
    play.submit("a", run_s=0.1)
    (run,) = play.tables.runs_by_ref.values()
    workload.on_start_answer(
        play.tables, play, run.target_id, run.ref, run.number, answer, play.now
    )
    assert not play.tables.runs_by_ref
    target = play.tables.targets_by_id[run.target_id]
    assert target.used_cpu_millis == 0
    assert play.tables.jobs_by_id["a"].waiting[0].next_run > run.number


def test_duplicate_run_is_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A start order is carried out late, beside the run that replaced it.

    If the late run is not stopped, the task runs twice at the same time.
    """
    play = _play(3)
    play.submit("a", run_s=0.4)
    play.run(0.01)
    (run,) = play.tables.runs_by_ref.values()
    other = next(name for name in play.targets if name != run.target_id)
    stopped: list[str] = []
    monkeypatch.setattr(play, "stop", lambda run: stopped.append(run.target_id))
    listing = RunningTask(ref=run.ref, run=run.number + 7, checkpoint="", percent=3)
    workload.on_lease_report(
        play.tables,
        play,
        other,
        LeaseReport(clock_ms=0, running=(listing,), ended=()),
        asked_at=play.now,
        now=play.now,
    )
    assert stopped == [other]
    assert play.tables.runs_by_ref[run.ref] is run


def test_end_reported_twice_counts_once() -> None:
    play = _play(2)
    play.submit("a", count=2, run_s=0.2)
    play.run(0.01)
    run = next(iter(play.tables.runs_by_ref.values()))
    ended = EndedRun(sequence=1, ref=run.ref, run=run.number, end=RunEnd.DONE)
    report = LeaseReport(clock_ms=0, running=(), ended=(ended, ended))
    for _ in range(2):
        workload.on_lease_report(
            play.tables,
            play,
            run.target_id,
            report,
            asked_at=play.now - 1.0,
            now=play.now,
        )
    assert play.tables.jobs_by_id["a"].remaining == 1


def test_a_leaving_target_gets_no_start() -> None:
    play = _play(1)
    play.tables.targets_by_id["t0"].leaving = True
    play.submit("a")
    assert play.verdict("a") is Verdict.REFUSED


def test_stop_order_is_repeated_until_its_run_has_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stop order is lost; unless repeated, the run holds resources until its end."""
    play = _play(1)
    play.submit("a", run_s=1.4)
    play.run(0.05)
    (run,) = play.tables.runs_by_ref.values()
    monkeypatch.setattr(play, "stop", lambda _: None)
    workload.cancel(play.tables, play, "a", "m1", play.now)
    play.run(0.1)
    assert run.state is RunState.STOPPING
    monkeypatch.undo()
    play.run(0.5)
    assert play.running("a") == 0
    assert not play.tables.runs_by_ref


def test_target_with_an_unanswered_request_is_paused() -> None:
    """A target is partitioned, and its second list has not arrived yet.

    A task started there in the meantime would wait for the lease to expire, which takes
    most of its caller's time.
    """
    play = VirtualLeader()
    play.add_target("t0")
    play.add_target("t1")
    play.run(0.1)
    workload.on_target_unanswered(play.tables, "t0", play.now)
    play.submit("a", count=8, run_s=0.06)
    assert not play.tables.targets_by_id["t0"].runs_by_ref
    play.run(1.0)
    assert play.targets["t0"].last_run_by_ref
    assert play.verdict("a") is Verdict.COMPLETED


def test_a_run_without_an_answer_outlasts_a_restart_of_its_target() -> None:
    """Guards against a second run while the new process may still begin the first.

    The order to start got no answer. The target restarts, and its list shows no run;
    the task waits until the new process has confirmed the order to stop it.
    """
    play = VirtualLeader()
    play.add_target("t0")
    play.run(0.01)
    play.lose_start = lambda _: True
    play.submit("a", run_s=0.3, limit_s=4.0)
    play.run(0.3)
    target = play.tables.targets_by_id["t0"]
    run = target.runs_by_ref[TaskRef("a", 0, 0, 0)]
    run.is_acknowledged = False
    workload.on_target_restarted(play.tables, "t0", 2)
    report = LeaseReport(clock_ms=0, running=(), ended=(), incarnation=2)
    workload.on_lease_report(
        play.tables, play, "t0", report, asked_at=play.now, now=play.now
    )
    assert run.ref in target.runs_by_ref
    workload.on_stop_answer(play.tables, "t0", run.ref, run.number, play.now)
    workload.on_lease_report(
        play.tables, play, "t0", report, asked_at=play.now + 0.01, now=play.now + 0.02
    )
    assert run.ref not in target.runs_by_ref


@pytest.mark.parametrize(
    ("described", "listed", "starts"),
    [(0, 0, 1), (1, 0, 1), (0, 1, 1), (1, 1, 1), (1, 2, 0), (2, 1, 0)],
)
def test_a_target_gets_starts_by_an_entry_of_the_process_that_answers(
    described: int, listed: int, starts: int
) -> None:
    """Guards against starts by the kind, capacity or state of an earlier process."""
    play = VirtualLeader()
    play.add_target("t0")
    play.run(0.01)
    target = play.tables.targets_by_id["t0"]
    target.incarnation, target.listed_incarnation = described, listed
    play.submit("a", run_s=0.3)
    assert play.tables.counters.starts == starts
