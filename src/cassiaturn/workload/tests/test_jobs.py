"""Outcomes of jobs while all targets work normally."""

from dataclasses import replace

import pytest

from cassiaturn import workload
from cassiaturn.standins.virtual_targets import ROUTE, VirtualLeader
from cassiaturn.workload import Verdict


@pytest.fixture
def play() -> VirtualLeader:
    play = VirtualLeader()
    for index in range(4):
        play.add_target(f"t{index}")
    play.run(0.1)
    return play


def test_job_with_more_tasks_than_room_completes(play: VirtualLeader) -> None:
    play.submit("a", count=12)
    play.run(1.0)
    assert play.verdict("a") is Verdict.COMPLETED
    assert not play.overlaps


def test_groups_wait_for_their_dependencies(play: VirtualLeader) -> None:
    play.submit("a", count=2, run_s=0.1)
    job = play.tables.jobs_by_id["a"]
    first = job.request.groups[0]
    assert job.is_open(0)
    job.request = replace(job.request, groups=(first, replace(first, after=(0,))))
    assert not job.is_open(1)
    job.remaining_by_group[0] = 0
    assert job.is_open(1)


def test_resubmission_joins_the_running_job(play: VirtualLeader) -> None:
    """The caller loses its connection and comes back through another member.

    Its first member still has the job. A second job would run every task twice at the
    same time; both members must get the same answer.
    """
    play.submit("a", count=2, run_s=0.3, origin="m1")
    play.run(0.1)
    play.submit("a", count=2, run_s=0.3, origin="m2")
    job = play.tables.jobs_by_id["a"]
    assert job.origins == {"m1", "m2"}
    workload.cancel(play.tables, play, "a", "m1", play.now)
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED
    assert not play.overlaps


def test_late_resubmission_gets_the_same_answer(play: VirtualLeader) -> None:
    play.submit("a")
    play.run(0.3)
    play.outcomes.clear()
    starts = play.tables.counters.starts
    play.submit("a")
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == starts


def test_cancelling_a_job_stops_its_runs(play: VirtualLeader) -> None:
    play.submit("a", count=3, run_s=0.8)
    play.run(0.1)
    workload.cancel(play.tables, play, "a", "m1", play.now)
    play.run(0.02)
    assert play.running("a") == 0


def test_resubmitted_job_uses_higher_run_numbers(
    play: VirtualLeader,
) -> None:
    """The caller cancels and submits the same id again a second later.

    A target refuses a run whose number is not above that of a run that was stopped
    there. If the numbers started again, every target would refuse the job until its
    limit.
    """
    play.submit("a", count=3, run_s=0.8)
    play.run(0.1)
    workload.cancel(play.tables, play, "a", "m1", play.now)
    play.run(1.3)
    play.submit("a", count=3, run_s=0.2)
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.refused_starts == 0


@pytest.mark.parametrize("late_s", [0.0, 0.02, 0.06])
def test_list_read_late_does_not_abandon_a_job_in_time(
    play: VirtualLeader, late_s: float
) -> None:
    """A busy leader reads a target's list long after it was made.

    If progress is compared with the time at which the list is read, a task of 1.45 s
    seems to need 1.8 s. Its job is then abandoned, and the caller gets a 504, although
    the limit is 1.5 s.
    """
    play.submit("a", run_s=0.9, lengths=[1.45])
    play.run(0.2)
    (run,) = play.tables.runs_by_ref.values()
    name = run.target_id
    report = play.targets[name].report(0, play.now)
    asked_at = play.now - 0.002
    workload.on_lease_report(
        play.tables, play, name, report, asked_at=asked_at, now=play.now + late_s
    )
    play.run(1.4)
    assert play.verdict("a") is Verdict.COMPLETED


def test_jobs_of_a_lost_member_are_stopped(play: VirtualLeader) -> None:
    """A member's process is killed while jobs of its callers run.

    Its callers come back through another member after 1.3 s. Tasks that still ran then
    would run twice at the same time.
    """
    for index in range(3):
        play.submit(f"a{index}", run_s=1.0, origin="m1")
    play.submit("b", run_s=0.3, origin="m2")
    play.run(0.1)
    workload.on_member_gone(play.tables, play, "m1", play.now)
    play.run(0.05)
    assert [play.running(f"a{index}") for index in range(3)] == [0, 0, 0]
    play.run(0.5)
    assert play.verdict("b") is Verdict.COMPLETED


@pytest.mark.parametrize(
    ("limit_s", "verdict"), [(0.2, Verdict.ABANDONED), (1.0, Verdict.COMPLETED)]
)
def test_a_job_ends_at_its_callers_limit(
    play: VirtualLeader, limit_s: float, verdict: Verdict
) -> None:
    play.submit("a", run_s=0.1, lengths=[0.5], limit_s=limit_s)
    play.run(1.2)
    assert play.verdict("a") is verdict
    assert play.running("a") == 0


def test_job_that_cannot_finish_in_time_is_abandoned_early(play: VirtualLeader) -> None:
    """One of four tasks needs 2 s, but its caller waits only 1.5 s.

    If the job ran to its limit, it would use the resources of four tasks to no effect,
    and its caller would learn at the end what the progress shows after a tenth of the
    time.
    """
    play.submit("a", count=4, run_s=0.9, lengths=[0.8, 0.9, 2.0, 0.9])
    began_at = play.now
    play.run(1.0)
    assert play.verdict("a") is Verdict.ABANDONED
    assert play.answered_at["a"] - began_at < 0.4
    assert play.running("a") == 0


def test_job_that_just_fits_its_limit_is_not_abandoned(play: VirtualLeader) -> None:
    play.submit("a", count=4, run_s=0.9, lengths=[0.8, 0.9, 1.45, 0.9])
    play.run(1.6)
    assert play.verdict("a") is Verdict.COMPLETED


def test_refused_job_never_started_and_may_be_resubmitted(play: VirtualLeader) -> None:
    for index in range(30):
        play.submit(f"a{index}", count=4, run_s=0.9)
    refused = [key for key, row in play.outcomes.items()]
    assert refused
    assert {play.verdict(key) for key in refused} == {Verdict.REFUSED}
    assert all(play.running(key) == 0 for key in refused)
    assert all(play.outcomes[key].retry_after_s >= 1.0 for key in refused)
    play.run(3.0)
    play.outcomes.clear()
    play.submit(refused[0], count=1)
    play.run(0.3)
    assert play.verdict(refused[0]) is Verdict.COMPLETED


def test_jobs_submitted_before_the_directory_arrives_are_served() -> None:
    """After a power loss callers connect before the leader knows any target.

    The directory arrives 20 ms later. Refused callers would come back only after most
    of their time.
    """
    play = VirtualLeader()
    play.submit("a")
    play.run(0.02)
    assert play.verdict("a") is None
    play.add_target("t0")
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED


def test_jobs_are_refused_if_the_directory_does_not_arrive() -> None:
    play = VirtualLeader()
    play.submit("a")
    play.run(0.5)
    assert play.verdict("a") is Verdict.REFUSED
    assert play.outcomes["a"].reason == "no_target"
    assert play.answered_at["a"] - play.submitted_at["a"] < 0.4


def test_without_any_target_a_job_is_refused_at_once() -> None:
    play = VirtualLeader()
    play.run(play.tables.settings.directory_wait_s)
    play.submit("a")
    assert play.verdict("a") is Verdict.REFUSED


def test_urgent_jobs_start_before_earlier_ones_of_less_urgent_routes(
    play: VirtualLeader,
) -> None:
    relaxed = replace(ROUTE, name="relaxed", priority=2)
    play.submit("full", count=8, run_s=0.12)
    play.run(0.05)
    play.submit("relaxed", count=8, run_s=0.3, route=relaxed)
    play.submit("urgent", count=8, run_s=0.06)
    play.run(1.4)
    assert play.answered_at["urgent"] < play.answered_at["relaxed"]


def test_late_urgent_job_yields_and_is_still_served(
    play: VirtualLeader,
) -> None:
    """No resources are free until the urgent job's answer is late in any case.

    If it started first, it would also make the less urgent job late, so that no caller
    is served in time; if it starts second, one caller is.
    """
    relaxed = replace(ROUTE, name="relaxed", priority=2)
    play.submit("full", count=8, run_s=0.25)
    play.run(0.05)
    play.submit("relaxed", count=8, run_s=0.3, route=relaxed)
    play.submit("urgent", count=8, run_s=0.06)
    play.run(1.4)
    due_at = play.submitted_at["relaxed"] + 1.6 * 0.3 + 0.06
    assert play.answered_at["relaxed"] < play.answered_at["urgent"]
    assert play.answered_at["relaxed"] <= due_at
    assert play.verdict("urgent") is Verdict.COMPLETED


@pytest.mark.parametrize("is_active", [True, False])
def test_a_job_that_its_caller_cancelled_does_not_run_again(
    play: VirtualLeader, is_active: bool
) -> None:
    """Guards against copies of a request, or a first one, after the cancel."""
    if is_active:
        play.submit("a", run_s=0.5)
        play.run(0.1)
    starts = play.tables.counters.starts
    assert workload.cancel_by_caller(play.tables, play, "a", play.now) is is_active
    assert workload.cancel_by_caller(play.tables, play, "a", play.now)
    play.run(4.0)
    play.submit("a", run_s=0.5, origin="m2")
    play.run(0.1)
    assert play.outcomes["a"] == workload.CANCELLED
    assert play.tables.counters.starts == starts
    assert not play.running("a")


def test_a_cancel_does_not_change_an_answer_that_was_given(
    play: VirtualLeader,
) -> None:
    """Guards against a complete job that is told as failed afterwards."""
    play.submit("a", run_s=0.1)
    play.run(0.5)
    assert not workload.cancel_by_caller(play.tables, play, "a", play.now)
    play.submit("a", run_s=0.1)
    assert play.verdict("a") is Verdict.COMPLETED
