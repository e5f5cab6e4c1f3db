"""Tests of takeovers, fences and pauses of a home."""

import random

import pytest

from cassiaturn.entities import Outcome, Ran, TaskKey
from cassiaturn.recovery import (
    AnswerCaller,
    FenceReport,
    HoldState,
    PauseDetector,
    RecoverySettings,
    ReportedRun,
    Resume,
    RunAfter,
    RunNow,
    RunStatus,
    SubmissionDecision,
    TakeoverPhase,
    TakeoverTable,
)

DEAD = "osu-1~1"
ME = "osu-2~2"
OTHER = "osu-3~3"
SETTINGS = RecoverySettings()


def make_table(
    incarnation: str = ME, targets: tuple[str, ...] = ("a", "b")
) -> TakeoverTable:
    table = TakeoverTable(
        incarnation=incarnation,
        settings=SETTINGS,
        rng=random.Random(incarnation),
    )
    table.observe_targets(targets)
    return table


def become_successor(table: TakeoverTable, dead: str) -> None:
    table.request_takeover(dead)
    for row in table.rows_due():
        table.row_confirmed(row)


def report_fence(
    table: TakeoverTable,
    target_id: str,
    *begun: tuple[TaskKey, RunStatus],
    dead: str = DEAD,
    exhaustive: bool = True,
    now: float = 0.0,
) -> None:
    table.fences_due(now)
    runs = tuple(
        (key, ReportedRun(target_id=target_id, status=status, result=b"r"))
        for key, status in begun
    )
    table.fenced(
        dead,
        FenceReport(target_id=target_id, begun=runs, exhaustive=exhaustive),
        now,
    )


def decide(
    table: TakeoverTable, *, repeatable: bool = False, now: float = 0.0
) -> SubmissionDecision:
    return table.decide_submission(
        submission_id="s", home=DEAD, tasks_total=2, repeatable=repeatable, now=now
    )


def outcome(decision: SubmissionDecision) -> Outcome | None:
    return decision.answer.outcome if isinstance(decision, AnswerCaller) else None


KEYS = [TaskKey("s", 0), TaskKey("s", 1)]


def test_concurrent_takeovers_have_one_successor() -> None:
    """Guards against two successors of one home.

    Two instances detect its death at the same time and insert the takeover row. The
    one whose insert fails learns the successor from the stored row.
    """
    mine, theirs = make_table(ME), make_table(OTHER)
    mine.request_takeover(DEAD)
    theirs.request_takeover(DEAD)
    (row,) = theirs.rows_due()
    theirs.row_confirmed(row)
    assert len(mine.rows_due()) == 1
    assert mine.rows_due() == []
    mine.row_confirmed(row)

    assert mine.successor_of(DEAD) == OTHER
    assert mine.takeovers_by_dead[DEAD].phase is TakeoverPhase.YIELDED
    assert mine.fences_due(0.0) == []
    assert len(theirs.fences_due(0.0)) == 2
    assert outcome(decide(mine)) is Outcome.UNKNOWN


def test_unanswered_insert_is_retried_with_the_same_row() -> None:
    """Guards against losing a takeover whose row was stored but not acknowledged."""
    table = make_table()
    table.request_takeover(DEAD)
    (row,) = table.rows_due()
    table.insert_unanswered(DEAD)

    assert table.rows_due() == [row]
    table.row_confirmed(row)
    assert table.takeovers_by_dead[DEAD].phase is TakeoverPhase.FENCING


def test_expired_takeover_restarts_from_the_stored_row() -> None:
    """Guards against decisions without reports after a takeover expired.

    A takeover expires after a quarter of an hour without use. A late resubmission
    finds the row of this incarnation in the store; every target must be fenced
    again before anything is decided.
    """
    table = make_table()
    become_successor(table, DEAD)
    report_fence(table, "a")
    report_fence(table, "b")
    row = table.takeovers_by_dead[DEAD].row
    assert outcome(decide(table, now=1.0)) is Outcome.NOT_RUN
    table.fences_due(SETTINGS.keep_s + 1.0)
    assert table.takeovers_by_dead == {}

    table.request_takeover(DEAD)
    table.rows_due()
    table.row_confirmed(row)

    assert outcome(decide(table, now=2000.0)) is Outcome.UNKNOWN
    assert len(table.fences_due(2000.0)) == 2


def test_outcome_is_unknown_without_confirmed_row_or_targets() -> None:
    """Guards against decisions before the row is confirmed or targets are known."""
    no_row, no_targets = make_table(), make_table(targets=())
    no_row.request_takeover(DEAD)
    become_successor(no_targets, DEAD)

    assert outcome(decide(no_row)) is Outcome.UNKNOWN
    assert outcome(decide(no_targets)) is Outcome.UNKNOWN


def test_submission_that_no_target_began_is_not_run() -> None:
    """Guards against running a job that the dead home reported as not run.

    A home dies with a job queued, perhaps after it answered ``NOT_RUN``, and the
    caller resubmits it elsewhere. The successor answers ``UNKNOWN`` until every
    target reported that it did not begin the job, and ``NOT_RUN`` from then on.
    """
    table = make_table()
    become_successor(table, DEAD)
    report_fence(table, "a")
    assert outcome(decide(table)) is Outcome.UNKNOWN
    report_fence(table, "b")

    assert outcome(decide(table)) is Outcome.NOT_RUN


def test_begun_submission_is_resumed() -> None:
    """Guards against losing a job of which one task is done when its home dies.

    The successor adopts that result and runs the other task, which no target began.
    """
    table = make_table()
    become_successor(table, DEAD)
    report_fence(table, "a", (KEYS[0], RunStatus.DONE))
    report_fence(table, "b")

    decision = decide(table)

    assert isinstance(decision, Resume)
    assert isinstance(decision.decisions_by_index[1], RunNow)


def test_target_that_forgot_runs_cannot_rule_out_a_run() -> None:
    """Guards against a second run of a non-repeatable task that a target forgot.

    One target was restarted, or dropped runs whose results were collected. A task
    that no other target began may have run there.
    """
    table = make_table()
    become_successor(table, DEAD)
    report_fence(table, "a", (KEYS[0], RunStatus.DONE))
    report_fence(table, "b", exhaustive=False)

    assert outcome(decide(table)) is Outcome.UNKNOWN
    assert isinstance(decide(table, repeatable=True), Resume)


def test_unreachable_target_is_fenced_again() -> None:
    """Guards against a wrong outcome while a target is partitioned.

    A network partition isolates a failure domain with one target. The outcome is
    unknown; a repeatable task runs once its lease there must have expired, if the
    home is known to be dead. After the partition heals the outcome is complete.
    """
    table = make_table()
    become_successor(table, DEAD)
    report_fence(table, "a", (KEYS[0], RunStatus.DONE))
    table.fence_failed(DEAD, "b", 0.0)
    assert table.fences_due(0.1) == []
    assert outcome(decide(table)) is Outcome.UNKNOWN
    table.incarnation_ended(DEAD, 0.0)
    assert outcome(decide(table)) is Outcome.UNKNOWN
    repeated = decide(table, repeatable=True)
    assert isinstance(repeated, Resume)
    after = RunAfter(at=SETTINGS.latest_end_after_s)
    assert repeated.decisions_by_index[1] == after

    report_fence(table, "b", (KEYS[1], RunStatus.DONE), now=SETTINGS.fence_retry_s)

    assert outcome(decide(table)) is Outcome.COMPLETE


def test_running_task_is_polled_until_it_ends() -> None:
    """Guards against never collecting the result of a run that outlives its home."""
    table = make_table()
    become_successor(table, DEAD)
    report_fence(table, "a", *((key, RunStatus.RUNNING) for key in KEYS))
    report_fence(table, "b")
    assert isinstance(decide(table), Resume)
    assert table.fences_due(0.1) == []

    report_fence(table, "a", *((key, RunStatus.DONE) for key in KEYS), now=1.0)

    assert outcome(decide(table)) is Outcome.COMPLETE
    assert table.fences_due(9.0) == []


def test_gone_target_leaves_non_repeatable_job_unknown() -> None:
    """Guards against a second run of a task that an ended target may have run."""
    table = make_table()
    become_successor(table, DEAD)
    report_fence(table, "a", (KEYS[0], RunStatus.DONE))
    table.target_gone("b")
    table.observe_targets(("b",))

    assert outcome(decide(table)) is Outcome.UNKNOWN
    assert isinstance(decide(table, repeatable=True), Resume)
    assert table.fences_due(9.0) == []


def test_new_target_is_fenced_too() -> None:
    """Guards against missing a run at a target that is discovered after the fences."""
    table = make_table()
    become_successor(table, DEAD)
    report_fence(table, "a")
    report_fence(table, "b")
    table.observe_targets(("c",))

    assert outcome(decide(table)) is Outcome.UNKNOWN
    assert [due.target_id for due in table.fences_due(1.0)] == ["c"]


def test_successor_of_a_dead_successor_fences_both_homes() -> None:
    """Guards against repeating a task that a dead successor ran.

    A home dies, and its successor runs one more task and dies as well. The next
    successor must fence every target for both.
    """
    first, second = make_table(OTHER), make_table(ME)
    first.request_takeover(DEAD)
    (row,) = first.rows_due()
    second.request_takeover(DEAD)
    second.rows_due()
    second.row_confirmed(row)
    become_successor(second, OTHER)
    second.fence_lineage(DEAD)
    assert second.lineage_of(DEAD) == [DEAD, OTHER, ME]
    for dead in (DEAD, OTHER):
        report_fence(second, "b", dead=dead)
    report_fence(second, "a", (KEYS[0], RunStatus.DONE), dead=DEAD)
    assert outcome(decide(second)) is Outcome.UNKNOWN

    report_fence(second, "a", (KEYS[1], RunStatus.DONE), dead=OTHER)

    assert outcome(decide(second)) is Outcome.COMPLETE


def test_expired_lease_fails_non_repeatable_task() -> None:
    """Guards against a second run of a non-repeatable task whose lease expired."""
    table = make_table()
    become_successor(table, DEAD)
    report_fence(table, "a", (KEYS[0], RunStatus.LEASE_LAPSED))
    report_fence(table, "b")

    decision = decide(table)

    assert isinstance(decision, AnswerCaller)
    assert decision.answer.outcome is Outcome.FAILED
    assert decision.answer.ran is Ran.SOME


@pytest.mark.parametrize(
    ("present", "state"), [(False, HoldState.FREE), (True, HoldState.SUPERSEDED)]
)
def test_paused_home_holds_starts_until_its_row_is_read(
    present: bool, state: HoldState
) -> None:
    """Guards against starts sent by a home that was taken over during a pause.

    A process is paused for longer than the suspicion timeout and resumes with
    queued starts. It must hold them until it knows whether it has a successor.
    """
    pauses = PauseDetector(suspicion_timeout_s=2.5)
    for tick in range(10):
        assert pauses.tick(tick * 2.4) is HoldState.FREE

    assert pauses.tick(30.0) is HoldState.HELD
    assert not pauses.may_start
    assert pauses.must_read
    assert pauses.own_row_read(present=present) is state
    assert pauses.tick(99.0) is (HoldState.HELD if not present else state)


def test_paused_home_resumes_while_store_is_unreachable() -> None:
    """Guards against holding starts for as long as the store is unreachable."""
    pauses = PauseDetector(suspicion_timeout_s=2.5)
    pauses.tick(0.0)
    pauses.tick(9.0)

    assert pauses.store_unreachable() is HoldState.BLIND
    assert pauses.may_start
    assert pauses.must_read
    assert pauses.own_row_read(present=True) is HoldState.SUPERSEDED
    assert not pauses.may_start
