"""A leader that follows another one: what ran, and what may run again."""

import pytest

from cassiaturn import workload
from cassiaturn.entities import Resources, RunEnd, StartAnswer, TaskGroup, TaskRef
from cassiaturn.standins.virtual_targets import Play
from cassiaturn.workload import Verdict

GROUP = TaskGroup(count=1, resources=Resources(cpu_millis=6_800))


def _successor(*, knows_targets: bool = True, hears: bool = True) -> Play:
    """Return a play in which t0 runs a task of an earlier leader."""
    play = Play(term=1)
    play.tables.knows_targets = knows_targets
    for name in ("t0", "t1"):
        play.add_target(name)
    target = play.targets["t0"]
    answer = target.start(TaskRef("a", 0, 0, 0), 1, GROUP, 0.3, play.now)
    assert answer is StartAnswer.STARTED
    target.cut = not hears
    return play


def test_a_successor_adopts_what_targets_list() -> None:
    """The leader is killed while a task runs; its lease holds for a second.

    The member whose caller waits submits the job again to the successor. Started
    afresh, the task would run twice at once, and its caller wait twice as long.
    """
    play = _successor()
    play.run(0.02)
    play.submit("a", run_s=0.3, begun_earlier=True)
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == 0
    assert not play.overlaps


def test_a_successor_adopts_also_if_the_list_comes_after_the_job() -> None:
    play = _successor()
    play.submit("a", run_s=0.3, begun_earlier=True)
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == 0


def test_a_successor_waits_for_the_lease_of_a_target_that_it_cannot_hear() -> None:
    play = _successor(hears=False)
    play.submit("a", run_s=0.3, begun_earlier=True, limit_s=4.0)
    play.run(1.8)
    assert play.tables.counters.starts == 0
    play.run(1.0)
    assert play.verdict("a") is Verdict.COMPLETED
    assert not play.overlaps


def test_a_job_is_given_up_at_once_if_its_wait_outlasts_its_caller() -> None:
    """The leader is cut off with a target that ran a task for this side's caller.

    Nobody here can tell when that run is over before its lease is, and the caller
    does not wait that long. Kept until its limit, the job would hold its caller and
    its other tasks' places for nothing.
    """
    play = _successor(hears=False)
    play.submit("a", run_s=0.3, begun_earlier=True, limit_s=0.9)
    play.run(0.4)
    assert play.verdict("a") is Verdict.ABANDONED
    assert play.answered_at["a"] - play.submitted_at["a"] < 0.22
    assert play.tables.counters.starts == 0


def test_a_new_leader_first_hears_every_target_that_answers() -> None:
    """A caller lost its connection, and the leader its process, in one second.

    The caller submits again while a run of its task still has its lease. The first
    list that arrives is of another target; a start made on its word alone would run
    the task twice at once.
    """
    play = Play(term=1)
    play.tables.knows_targets = True
    play.add_target("t1")
    play.run(0.003)
    play.add_target("t0")
    answer = play.targets["t0"].start(TaskRef("a", 0, 0, 0), 1, GROUP, 0.3, play.now)
    assert answer is StartAnswer.STARTED
    play.submit("a", run_s=0.3)
    play.run(0.6)
    assert not play.overlaps
    assert play.tables.counters.starts == 0
    assert play.verdict("a") is Verdict.COMPLETED


def test_a_target_that_never_answers_holds_a_new_leader_for_a_moment_only() -> None:
    play = _successor(hears=False)
    play.submit("b", run_s=0.06)
    play.run(0.2)
    assert play.verdict("b") is Verdict.COMPLETED


@pytest.mark.parametrize(("knows_targets", "wait_s"), [(False, 0.0), (True, 3.0)])
def test_a_job_from_the_far_side_of_a_cut_waits_for_the_leases(
    knows_targets: bool, wait_s: float
) -> None:
    """Two sides of a cut had a leader each; the cut heals, and one steps down.

    Its targets may have left the directory here while it used them, so that no list
    tells of the run there. Started at once, the task would run twice at once.
    """
    play = Play(term=1)
    play.tables.knows_targets = knows_targets
    play.add_target("t1")
    play.run(wait_s + 0.01)
    play.submit("a", run_s=0.1, begun_earlier=True, limit_s=4.0)
    play.run(1.8)
    assert play.tables.counters.starts == 0
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED


@pytest.mark.parametrize("reason", ["left_directory", "lease_over"])
def test_a_job_from_the_far_side_waits_also_after_a_young_leader_let_targets_go(
    reason: str,
) -> None:
    """A cut that heals 2.2 s after the leader of one side began.

    It had been told of all targets and had let those go that it could not reach, so
    that it heard all that it still knew. At the heal the other side's leader stepped
    down, and a task that it had started 58 ms before on such a target ran twice at
    once. Shown by the log: target_removed on the young leader 0.6 s and 1.1 s after its
    begin, and the inherited job started in the millisecond in which it came.
    """
    play = Play(term=1)
    play.tables.knows_targets = True
    play.add_target("t1")
    play.add_target("t2")
    play.targets["t2"].cut = True
    play.run(0.6)
    workload.on_target_gone(play.tables, play, "t2", reason, play.now)
    play.run(1.4)
    play.submit("a", run_s=0.1, begun_earlier=True, limit_s=4.0)
    play.run(1.8)
    assert play.tables.counters.starts == 0
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED


def test_a_run_that_is_adopted_near_its_end_tells_nothing_of_its_length() -> None:
    """After a change of leader jobs were expected to take a fifth of their time."""
    play = Play(term=1)
    play.add_target("t0")
    play.targets["t0"].cut = True
    play.targets["t0"].start(TaskRef("a", 0, 0, 0), 1, GROUP, 0.9, play.now)
    play.run(0.87)
    play.targets["t0"].cut = False
    play.look("t0")
    play.submit("a", run_s=0.9, begun_earlier=True, limit_s=4.0)
    play.run(0.3)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.expected.expected_s("quick", 0.9) == pytest.approx(0.9)
    assert play.tables.targets_by_id["t0"].slowness == 1.0


def test_a_job_does_not_wait_for_what_surely_ended() -> None:
    """A target is there again in another life: nothing of the one before runs on."""
    play = Play(term=1)
    play.tables.knows_targets = True
    play.add_target("t1")
    play.add_target("t2")
    play.run(0.6)
    workload.on_target_gone(play.tables, play, "t2", "other_life", play.now)
    play.submit("a", run_s=0.1, begun_earlier=True, limit_s=4.0)
    play.run(0.3)
    assert play.verdict("a") is Verdict.COMPLETED


def test_a_run_whose_job_never_comes_is_stopped() -> None:
    """The leader and the caller's member are killed in one moment.

    Nobody submits the job again for 1.3 s; what runs must be over by then.
    """
    play = _successor()
    play.run(0.2)
    assert play.running("a") == 1
    play.run(0.4)
    assert play.running("a") == 0


def test_a_job_of_a_successor_numbers_its_runs_above_the_earlier_leaders() -> None:
    play = _successor()
    play.run(0.6)
    play.submit("a", run_s=0.1)
    play.run(0.4)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.refused_starts == 0


def test_nothing_of_another_member_is_cancelled_by_a_stranger() -> None:
    play = _successor()
    play.submit("b", run_s=0.4, origin="m1")
    assert workload.cancel(play.tables, play, "b", "m9", play.now)
    assert "b" in play.tables.jobs_by_id


@pytest.mark.parametrize(
    ("granted_s", "lease_s", "over_s"), [(3.0, 1.0, 1.1), (0.5, 0.5, 0.59)]
)
def test_leases_are_no_longer_than_targets_grant(
    granted_s: float, lease_s: float, over_s: float
) -> None:
    settings = workload.settings_for_lease(granted_s)
    assert settings.lease_s == lease_s
    assert settings.lease_over_s == pytest.approx(over_s)


def _ended(*ends: RunEnd) -> Play:
    """Return a play in which tasks of "a" ended before this leader's first list."""
    play = Play(term=1)
    play.tables.knows_targets = True
    play.add_target("t1")
    play.add_target("t0")
    target = play.targets["t0"]
    for index, end in enumerate(ends):
        ref = TaskRef("a", 0, 0, index)
        target.start(ref, 1, GROUP, 0.3, play.now)
        target.end(ref, end)
    play.run(0.02)
    return play


def test_what_ended_before_a_successor_began_is_not_run_again() -> None:
    """The leader falls silent for half a second, while tasks run and end.

    The first lists of its successor tell of their ends, and targets forget what was
    acknowledged. The member passes the job on a moment later. Run anew, its caller
    gets a late answer though all the work was done in time.
    """
    play = _ended(RunEnd.DONE, RunEnd.DONE)
    play.submit("a", count=2, run_s=0.3, begun_earlier=True)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == 0


def test_a_task_that_is_left_over_is_run() -> None:
    play = _ended(RunEnd.DONE, RunEnd.FAILED)
    play.submit("a", count=3, run_s=0.1, begun_earlier=True)
    play.run(0.3)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == 2
    assert not play.targets["t0"].works


def test_ends_that_say_nothing_of_the_task_are_not_kept() -> None:
    play = _ended(RunEnd.STOPPED, RunEnd.LEASE_EXPIRED)
    assert not play.tables.unclaimed_ends_by_ref


def test_a_job_whose_task_has_ended_is_not_said_not_to_have_run() -> None:
    """A caller whose member was killed submits again, while the service is full.

    One of its tasks is done. "Not run" would be untrue; the rest is run.
    """
    play = _ended(RunEnd.DONE)
    play.submit("a", count=2, run_s=1.4, limit_s=0.3)
    assert play.verdict("a") is not Verdict.REFUSED
    play.run(0.5)
    assert play.verdict("a") is Verdict.ABANDONED


def test_the_end_of_a_job_that_never_comes_is_forgotten() -> None:
    play = _ended(RunEnd.DONE)
    assert play.tables.unclaimed_ends_by_ref
    play.run(3.2)
    assert not play.tables.unclaimed_ends_by_ref
