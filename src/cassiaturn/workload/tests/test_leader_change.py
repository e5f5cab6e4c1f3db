"""Outcomes of jobs and runs that a new leader takes over from an earlier one."""

import pytest

from cassiaturn import workload
from cassiaturn.entities import Resources, RunEnd, StartAnswer, TaskGroup, TaskRef
from cassiaturn.standins.virtual_targets import PREDECESSOR_TOKEN, VirtualLeader
from cassiaturn.workload import Verdict

REF = TaskRef("a", 0, 0, 0)

GROUP = TaskGroup(count=1, resources=Resources(cpu_millis=6_800))


def _new_leader(
    *, knows_targets: bool = True, is_reachable: bool = True
) -> VirtualLeader:
    """Return a play in which t0 runs a task of an earlier leader."""
    play = VirtualLeader(term=1)
    play.tables.knows_targets = knows_targets
    for name in ("t0", "t1"):
        play.add_target(name)
    target = play.targets["t0"]
    answer = target.start(TaskRef("a", 0, 0, 0), 1, GROUP, 0.3, play.now)
    assert answer is StartAnswer.STARTED
    target.cut = not is_reachable
    return play


def test_new_leader_adopts_listed_runs() -> None:
    """The leader is killed while a task runs under a lease of one second.

    The member whose caller waits submits the job again to the new leader. If the task
    started anew, it would run twice at the same time and its caller would wait twice as
    long.
    """
    play = _new_leader()
    play.run(0.02)
    play.submit("a", run_s=0.3, begun_earlier=True)
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == 0
    assert not play.overlaps


def test_new_leader_adopts_runs_listed_after_the_job() -> None:
    play = _new_leader()
    play.submit("a", run_s=0.3, begun_earlier=True)
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == 0


def test_new_leader_waits_for_the_lease_of_an_unreachable_target() -> None:
    play = _new_leader(is_reachable=False)
    play.submit("a", run_s=0.3, begun_earlier=True, limit_s=4.0)
    play.run(1.8)
    assert play.tables.counters.starts == 0
    play.run(1.0)
    assert play.verdict("a") is Verdict.COMPLETED
    assert not play.overlaps


def test_job_is_abandoned_at_once_if_leases_outlast_its_limit() -> None:
    """The leader is partitioned together with a target that runs a caller's task.

    Nobody on this side can tell that the run has ended before its lease expires, and
    the caller does not wait that long. If kept until its limit, the job would delay its
    caller, and its other tasks would use resources to no effect.
    """
    play = _new_leader(is_reachable=False)
    play.submit("a", run_s=0.3, begun_earlier=True, limit_s=0.9)
    play.run(0.4)
    assert play.verdict("a") is Verdict.ABANDONED
    assert play.answered_at["a"] - play.submitted_at["a"] < 0.22
    assert play.tables.counters.starts == 0


def test_new_leader_waits_for_the_lists_of_all_responding_targets() -> None:
    """A caller loses its connection, and the leader is killed in the same second.

    The caller submits again while a run of its task still has a lease. The first list
    that arrives is from another target; a start based on it alone would run the task
    twice at the same time.
    """
    play = VirtualLeader(term=1)
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


def test_unresponsive_target_delays_a_new_leader_only_briefly() -> None:
    play = _new_leader(is_reachable=False)
    play.submit("b", run_s=0.06)
    play.run(0.2)
    assert play.verdict("b") is Verdict.COMPLETED


def test_a_leader_tells_whether_it_holds_inherited_jobs() -> None:
    """Guards against a change of leader that has inherited jobs wait a second time."""
    play = _new_leader(is_reachable=False)
    play.submit("a", run_s=0.3, begun_earlier=True, limit_s=4.0)
    play.submit("own", run_s=1.0, limit_s=4.0)
    play.run(0.5)
    assert workload.holds_inherited_jobs(play.tables, play.now)
    play.run(2.0)
    assert not workload.holds_inherited_jobs(play.tables, play.now)


@pytest.mark.parametrize(("knows_targets", "wait_s"), [(False, 0.0), (True, 3.0)])
def test_job_from_other_side_of_a_partition_waits_for_leases(
    knows_targets: bool, wait_s: float
) -> None:
    """Each side of a partition had a leader; it heals, and one leader steps down.

    The targets that the other side used may have left this side's directory, so that no
    list shows the run there. If the job started at once, its task would run twice at
    the same time.
    """
    play = VirtualLeader(term=1)
    play.tables.knows_targets = knows_targets
    play.add_target("t1")
    play.run(wait_s + 0.01)
    play.submit("a", run_s=0.1, begun_earlier=True, limit_s=4.0)
    play.run(1.8)
    assert play.tables.counters.starts == 0
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED


@pytest.mark.parametrize("tokens", [frozenset({7}), frozenset({1, 7}), None])
def test_a_job_of_another_sides_leader_waits_in_a_young_term(
    tokens: frozenset[int] | None,
) -> None:
    """Guards against two concurrent runs after a planned change during a partition.

    The leader's own predecessor had only the targets of its side, and all of them have
    reported. The job comes from the leader of the other side (token 7), whose targets
    are not in the directory.
    """
    play = VirtualLeader(term=1)
    play.tables.knows_targets = True
    play.add_target("t1")
    play.run(0.1)
    play.submit("a", run_s=0.1, begun_earlier=True, earlier_tokens=tokens, limit_s=4.0)
    play.run(1.8)
    assert play.tables.counters.starts == 0
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED


@pytest.mark.parametrize(
    ("other_member", "is_handed_over", "starts"),
    [
        ("m1", False, 0),  # the job's own member knew another target
        ("m2", False, 1),  # another member did
        ("m1", True, 1),  # the predecessor told that it gave no start there
    ],
)
def test_a_job_waits_if_its_member_knew_targets_that_its_new_leader_lacks(
    other_member: str, is_handed_over: bool, starts: int
) -> None:
    """Guards against a second run of tasks on targets added during a partition.

    The predecessor lost this leader as a follower and went on with the job's member,
    which learned of a further target.
    """
    play = VirtualLeader(term=1)
    play.tables.knows_targets = True
    play.tables.is_handed_over = is_handed_over
    play.tables.other_lists[other_member] = 17
    play.add_target("t1")
    play.run(0.1)
    play.submit("a", run_s=0.1, begun_earlier=True, limit_s=4.0)
    play.run(1.7)
    assert play.tables.counters.starts == starts
    play.run(0.6)
    assert play.verdict("a") is Verdict.COMPLETED


@pytest.mark.parametrize("tokens", [frozenset({7}), None])
def test_waiting_tasks_of_a_joined_job_wait_for_another_sides_leader(
    tokens: frozenset[int] | None,
) -> None:
    """Guards against two concurrent runs of a job that callers sent to both sides.

    One of its two tasks has started here when a member joins the job that followed the
    leader of the other side, which may run the second task.
    """
    play = VirtualLeader(term=1)
    play.add_target("t1")
    play.run(0.1)
    play.submit("a", count=2, run_s=0.3, cpu=10_000, limit_s=6.0)
    play.run(0.1)
    assert play.tables.counters.starts == 1
    play.submit(
        "a",
        count=2,
        run_s=0.3,
        cpu=10_000,
        origin="m2",
        begun_earlier=True,
        earlier_tokens=tokens,
        limit_s=6.0,
    )
    play.run(1.8)
    assert play.tables.counters.starts == 1
    play.run(0.6)
    assert play.verdict("a") is Verdict.COMPLETED


@pytest.mark.parametrize("is_first", [True, False])
def test_a_member_that_tells_no_tokens_is_not_forgotten_in_a_joined_job(
    is_first: bool,
) -> None:
    """Guards against two concurrent runs where one member is of an earlier version."""
    play = VirtualLeader(term=1)
    play.tables.knows_targets = True
    play.add_target("t1")
    play.run(0.1)
    tokens: list[frozenset[int] | None] = [frozenset({PREDECESSOR_TOKEN}), None]
    for number, told in enumerate(reversed(tokens) if is_first else tokens):
        play.submit(
            "a",
            run_s=0.1,
            cpu=20_000,
            origin=f"m{number}",
            begun_earlier=True,
            earlier_tokens=told,
            limit_s=6.0,
        )
    play.add_target("t2", cpu=24_000)
    play.run(1.7)
    assert play.tables.counters.starts == 0
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED


@pytest.mark.parametrize(("is_silent", "starts"), [(False, 1), (True, 0)])
def test_a_leader_with_the_same_targets_has_runs_only_on_silent_ones(
    is_silent: bool, starts: int
) -> None:
    """Guards against waiting in vain after two claims, and against a second run.

    Of two members that claimed at once, one stepped down; a target that is silent now
    may have been given a start by it after its last list.
    """
    play = VirtualLeader(term=1)
    play.tables.knows_targets = True
    play.tables.same_targets_tokens = frozenset({7})
    play.add_target("t1")
    play.add_target("t2")
    play.run(0.1)
    play.tables.targets_by_id["t2"].silent = is_silent
    play.submit(
        "a", run_s=0.1, begun_earlier=True, earlier_tokens=frozenset({7}), limit_s=4.0
    )
    assert play.tables.counters.starts == starts


@pytest.mark.parametrize("reason", ["left_directory", "lease_over"])
def test_job_from_other_side_waits_if_a_new_leader_removed_targets(
    reason: str,
) -> None:
    """A partition heals 2.2 s after the leader of one side began its term.

    That leader knew all targets at first and removed those that it could not reach
    (target_removed in its log, 0.6 s and 1.1 s after its start), so all its remaining
    targets have reported. The other side's leader steps down. If the inherited job
    starts as soon as it arrives, although its task was started on a removed target
    58 ms before, the task runs twice at the same time.
    """
    play = VirtualLeader(term=1)
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


def test_adopted_run_does_not_affect_expected_run_times() -> None:
    """Guards against expecting a fifth of the run times after a change of leader.

    This happens if the time from a run's adoption to its end counts as its length.
    """
    play = VirtualLeader(term=1)
    play.add_target("t0")
    play.targets["t0"].cut = True
    play.targets["t0"].start(TaskRef("a", 0, 0, 0), 1, GROUP, 0.9, play.now)
    play.run(0.87)
    play.targets["t0"].cut = False
    play.request_list("t0")
    play.submit("a", run_s=0.9, begun_earlier=True, limit_s=4.0)
    play.run(0.3)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.expected.expected_s("quick", 0.9) == pytest.approx(0.9)
    assert play.tables.targets_by_id["t0"].slowness == 1.0


def test_job_does_not_wait_for_runs_of_a_restarted_target() -> None:
    """A target restarts as another process, so none of its earlier runs continues."""
    play = VirtualLeader(term=1)
    play.tables.knows_targets = True
    play.add_target("t1")
    play.add_target("t2")
    play.run(0.6)
    workload.on_target_gone(play.tables, play, "t2", "other_life", play.now)
    play.submit("a", run_s=0.1, begun_earlier=True, limit_s=4.0)
    play.run(0.3)
    assert play.verdict("a") is Verdict.COMPLETED


def test_run_whose_job_is_never_submitted_is_stopped() -> None:
    """The leader and the caller's member are killed at the same moment.

    Nobody submits the job again for 1.3 s; its runs must have ended by then.
    """
    play = _new_leader()
    play.run(0.2)
    assert play.running("a") == 1
    play.run(0.4)
    assert play.running("a") == 0


def test_a_run_of_an_unknown_job_ends_before_another_leader_starts_its_task() -> None:
    """Guards against two concurrent runs of a task on both sides of a partition.

    This leader renews the lease of a run whose job the other side's leader has. That
    one counts the lease as over 1.1 s after the partition began, 0.55 s after this
    leader was elected.
    """
    play = _new_leader()
    target = play.targets["t0"]
    target.end(REF, RunEnd.STOPPED)
    target.ended.clear()
    target.start(REF, 2, GROUP, 5.0, play.now)
    play.run(0.3)
    assert play.running("a") == 1
    play.run(0.25)
    assert play.running("a") == 0


def test_a_task_does_not_start_while_a_newer_run_of_it_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two concurrent runs of a task after a change of leader.

    The new leader knows an old run of the task, which has ended, and reaches a target
    with a newer one first. The order to stop that one is lost.
    """
    play = _new_leader()
    newer = play.targets["t1"]
    newer.cut = True
    play.run(0.1)
    play.targets["t0"].end(REF, RunEnd.LEASE_EXPIRED)
    newer.cut = False
    newer.start(REF, 2, GROUP, 0.9, play.now)
    stop = play.stop
    monkeypatch.setattr(
        play, "stop", lambda run: None if run.target_id == "t1" else stop(run)
    )
    play.submit("a", run_s=0.3, begun_earlier=True, limit_s=4.0)
    play.request_list("t1")
    play.run(1.2)
    play.request_list("t1")
    play.run(0.5)
    assert not play.overlaps
    assert play.verdict("a") is Verdict.COMPLETED


def test_new_leader_uses_higher_run_numbers() -> None:
    play = _new_leader()
    play.run(0.6)
    play.submit("a", run_s=0.1)
    play.run(0.4)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.refused_starts == 0


def test_cancel_by_another_member_keeps_the_job() -> None:
    play = _new_leader()
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


def _leader_with_ended_tasks(*ends: RunEnd) -> VirtualLeader:
    """Return a play in which tasks of "a" ended before this leader's first list."""
    play = VirtualLeader(term=1)
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


def test_tasks_that_ended_before_a_leader_change_are_not_rerun() -> None:
    """The leader stops responding for half a second while tasks run and end.

    The first lists that the new leader receives contain their ends, and targets forget
    an end that was acknowledged. The member passes the job on a moment later. If its
    tasks ran again, the caller would get a late answer although all work was done in
    time.
    """
    play = _leader_with_ended_tasks(RunEnd.DONE, RunEnd.DONE)
    play.submit("a", count=2, run_s=0.3, begun_earlier=True)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == 0


def test_failed_and_missing_tasks_run_after_a_leader_change() -> None:
    play = _leader_with_ended_tasks(RunEnd.DONE, RunEnd.FAILED)
    play.submit("a", count=3, run_s=0.1, begun_earlier=True)
    play.run(0.3)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == 2
    assert not play.targets["t0"].runs_by_ref


@pytest.mark.parametrize("end", [RunEnd.DONE, RunEnd.FAILED])
def test_an_end_that_is_told_twice_counts_once(end: RunEnd) -> None:
    """Guards against a job that is shown as completed while a task of it still waits.

    The leader that stepped down tells that a task is done, and its target, whose list
    that leader had not acknowledged yet, lists the end to the successor, too.
    """
    play = _leader_with_ended_tasks(end)
    told = frozenset({TaskRef("a", 0, 0, 0)})
    play.submit("a", count=2, run_s=0.3, begun_earlier=True, completed=told)
    assert play.verdict("a") is None
    play.run(0.1)
    assert play.running("a") == 1
    play.run(0.5)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.starts == 1


def test_stopped_and_expired_runs_of_unknown_jobs_are_not_kept() -> None:
    play = _leader_with_ended_tasks(RunEnd.STOPPED, RunEnd.LEASE_EXPIRED)
    assert not play.tables.unclaimed_ends_by_ref


def test_job_with_an_ended_task_is_not_refused() -> None:
    """A caller whose member was killed resubmits while the service is full.

    One task of the job is done, so the answer that it did not run would be wrong; its
    other tasks are run.
    """
    play = _leader_with_ended_tasks(RunEnd.DONE)
    play.submit("a", count=2, run_s=1.4, limit_s=0.3)
    assert play.verdict("a") is not Verdict.REFUSED
    play.run(0.5)
    assert play.verdict("a") is Verdict.ABANDONED


def test_unclaimed_ends_expire() -> None:
    play = _leader_with_ended_tasks(RunEnd.DONE)
    assert play.tables.unclaimed_ends_by_ref
    play.run(3.2)
    assert not play.tables.unclaimed_ends_by_ref
