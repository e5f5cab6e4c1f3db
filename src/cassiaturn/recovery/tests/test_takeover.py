"""Successors: one an incarnation, with the word of every target."""

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


def takeovers(
    incarnation: str = ME, targets: tuple[str, ...] = ("a", "b")
) -> TakeoverTable:
    table = TakeoverTable(
        incarnation=incarnation,
        settings=SETTINGS,
        rng=random.Random(incarnation),
    )
    table.observe_targets(targets)
    return table


def win(table: TakeoverTable, dead: str) -> None:
    table.request_takeover(dead)
    for row in table.rows_due():
        table.row_confirmed(row)


def report(
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


def test_one_successor_decides() -> None:
    """
    Two instances hear of a death at once and insert the row. The loser learns the
    winner from the row in its place and forwards there.
    """
    mine, theirs = takeovers(ME), takeovers(OTHER)
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


def test_a_lost_answer_is_settled_by_the_token() -> None:
    table = takeovers()
    table.request_takeover(DEAD)
    (row,) = table.rows_due()
    table.insert_unanswered(DEAD)

    assert table.rows_due() == [row]
    table.row_confirmed(row)
    assert table.takeovers_by_dead[DEAD].phase is TakeoverPhase.FENCING


def test_a_forgotten_takeover_starts_anew_from_its_row() -> None:
    """
    Nobody asked about a dead home for a quarter of an hour, and its takeover was
    forgotten. A late resubmission finds our own row in the store; every target is
    asked again before anything is said.
    """
    table = takeovers()
    win(table, DEAD)
    report(table, "a")
    report(table, "b")
    row = table.takeovers_by_dead[DEAD].row
    assert outcome(decide(table, now=1.0)) is Outcome.NOT_RUN
    table.fences_due(SETTINGS.keep_s + 1.0)
    assert table.takeovers_by_dead == {}

    table.request_takeover(DEAD)
    table.rows_due()
    table.row_confirmed(row)

    assert outcome(decide(table, now=2000.0)) is Outcome.UNKNOWN
    assert len(table.fences_due(2000.0)) == 2


def test_nothing_is_decided_before_the_row_or_without_targets() -> None:
    no_row, no_targets = takeovers(), takeovers(targets=())
    no_row.request_takeover(DEAD)
    win(no_targets, DEAD)

    assert outcome(decide(no_row)) is Outcome.UNKNOWN
    assert outcome(decide(no_targets)) is Outcome.UNKNOWN


def test_queued_work_ends_as_not_run() -> None:
    """
    A home dies with a job queued. Its caller, who may have been told "not run" by
    it just before, submits again elsewhere. Once every target denied the job, the
    successor says "not run" as well; before that, it cannot say.
    """
    table = takeovers()
    win(table, DEAD)
    report(table, "a")
    assert outcome(decide(table)) is Outcome.UNKNOWN
    report(table, "b")

    assert outcome(decide(table)) is Outcome.NOT_RUN


def test_begun_work_goes_on() -> None:
    """
    A home dies with one task done and one not started. The successor takes the
    result and runs the other, which every target denies.
    """
    table = takeovers()
    win(table, DEAD)
    report(table, "a", (KEYS[0], RunStatus.DONE))
    report(table, "b")

    decision = decide(table)

    assert isinstance(decision, Resume)
    assert isinstance(decision.decisions_by_index[1], RunNow)


def test_a_restarted_runner_proves_nothing() -> None:
    """
    One target was restarted, or forgot what was collected. The task that nobody
    else began may have run there: an order must not be shipped again.
    """
    table = takeovers()
    win(table, DEAD)
    report(table, "a", (KEYS[0], RunStatus.DONE))
    report(table, "b", exhaustive=False)

    assert outcome(decide(table)) is Outcome.UNKNOWN
    assert isinstance(decide(table, repeatable=True), Resume)


def test_an_unreachable_target_is_asked_again() -> None:
    """
    A failure domain is cut off with one target. Callers hear "unknown"; a
    repeatable task runs when its lease there must be over, if the home is known to
    be dead. After the cut heals the truth is told.
    """
    table = takeovers()
    win(table, DEAD)
    report(table, "a", (KEYS[0], RunStatus.DONE))
    table.fence_failed(DEAD, "b", 0.0)
    assert table.fences_due(0.1) == []
    assert outcome(decide(table)) is Outcome.UNKNOWN
    table.incarnation_ended(DEAD, 0.0)
    assert outcome(decide(table)) is Outcome.UNKNOWN
    repeated = decide(table, repeatable=True)
    assert isinstance(repeated, Resume)
    after = RunAfter(at=SETTINGS.over_after_s)
    assert repeated.decisions_by_index[1] == after

    report(table, "b", (KEYS[1], RunStatus.DONE), now=SETTINGS.fence_retry_s)

    assert outcome(decide(table)) is Outcome.COMPLETE


def test_a_running_task_is_polled_until_it_ends() -> None:
    table = takeovers()
    win(table, DEAD)
    report(table, "a", *((key, RunStatus.RUNNING) for key in KEYS))
    report(table, "b")
    assert isinstance(decide(table), Resume)
    assert table.fences_due(0.1) == []

    report(table, "a", *((key, RunStatus.DONE) for key in KEYS), now=1.0)

    assert outcome(decide(table)) is Outcome.COMPLETE
    assert table.fences_due(9.0) == []


def test_a_gone_target_leaves_an_order_unknown() -> None:
    table = takeovers()
    win(table, DEAD)
    report(table, "a", (KEYS[0], RunStatus.DONE))
    table.target_gone("b")
    table.observe_targets(("b",))

    assert outcome(decide(table)) is Outcome.UNKNOWN
    assert isinstance(decide(table, repeatable=True), Resume)
    assert table.fences_due(9.0) == []


def test_a_target_that_appears_must_answer_too() -> None:
    table = takeovers()
    win(table, DEAD)
    report(table, "a")
    report(table, "b")
    table.observe_targets(("c",))

    assert outcome(decide(table)) is Outcome.UNKNOWN
    assert [due.target_id for due in table.fences_due(1.0)] == ["c"]


def test_the_successor_dies_too() -> None:
    """
    A home dies, its successor runs one task more and dies as well. The next one
    asks every target about both, so that it repeats nothing of either.
    """
    first, second = takeovers(OTHER), takeovers(ME)
    first.request_takeover(DEAD)
    (row,) = first.rows_due()
    second.request_takeover(DEAD)
    second.rows_due()
    second.row_confirmed(row)
    win(second, OTHER)
    second.fence_lineage(DEAD)
    assert second.lineage_of(DEAD) == [DEAD, OTHER, ME]
    for dead in (DEAD, OTHER):
        report(second, "b", dead=dead)
    report(second, "a", (KEYS[0], RunStatus.DONE), dead=DEAD)
    assert outcome(decide(second)) is Outcome.UNKNOWN

    report(second, "a", (KEYS[1], RunStatus.DONE), dead=OTHER)

    assert outcome(decide(second)) is Outcome.COMPLETE


def test_a_lapsed_order_is_failed_not_repeated() -> None:
    table = takeovers()
    win(table, DEAD)
    report(table, "a", (KEYS[0], RunStatus.LEASE_LAPSED))
    report(table, "b")

    decision = decide(table)

    assert isinstance(decision, AnswerCaller)
    assert decision.answer.outcome is Outcome.FAILED
    assert decision.answer.ran is Ran.SOME


@pytest.mark.parametrize(
    ("present", "state"), [(False, HoldState.FREE), (True, HoldState.SUPERSEDED)]
)
def test_a_paused_home_holds_until_its_row_is_read(
    present: bool, state: HoldState
) -> None:
    """
    A process stands still past the suspicion timeout and wakes with starts queued.
    It sends none before it knows whether it has a successor.
    """
    pauses = PauseDetector(suspicion_timeout_s=2.5)
    for tick in range(10):
        assert pauses.tick(tick * 2.4) is HoldState.FREE

    assert pauses.tick(30.0) is HoldState.HELD
    assert not pauses.may_start
    assert pauses.must_read
    assert pauses.own_row_read(present=present) is state
    assert pauses.tick(99.0) is (HoldState.HELD if not present else state)


def test_a_paused_home_goes_on_while_the_store_is_down() -> None:
    pauses = PauseDetector(suspicion_timeout_s=2.5)
    pauses.tick(0.0)
    pauses.tick(9.0)

    assert pauses.store_unreachable() is HoldState.BLIND
    assert pauses.may_start
    assert pauses.must_read
    assert pauses.own_row_read(present=True) is HoldState.SUPERSEDED
    assert not pauses.may_start
