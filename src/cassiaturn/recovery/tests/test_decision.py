"""Tests of decisions on tasks, for each row of the table, and on submissions."""

import pytest

from cassiaturn.entities import Outcome, Ran, Reason
from cassiaturn.recovery import (
    Adopt,
    AnswerCaller,
    AwaitRunning,
    FailTask,
    ReportedRun,
    Resume,
    RunAfter,
    RunNow,
    RunProof,
    RunStatus,
    TaskDecision,
    Undetermined,
    decide_submission,
    decide_task,
    decide_without_tasks,
)

NOW = 100.0
FORGETFUL_B = {"fenced": {"a"}, "forgetful": {"b"}}
GONE_B = {"fenced": {"a"}, "gone": {"b"}}
SILENT_B = {"fenced": {"a"}, "unfenced": {"b"}}
ALL_FENCED = {"fenced": {"a", "b"}}

RUN_NEVER_BEGUN = RunNow(proof=RunProof.NEVER_BEGUN)
RUN_AGAIN = RunNow(proof=RunProof.EARLIER_RUN_OVER)
FAIL_LAPSED = FailTask(ran=Ran.SOME, reason=Reason.TARGET_LOST)
UNDETERMINED = Undetermined(silent_targets={"b"})


def run_at(status: RunStatus, target_id: str = "a") -> ReportedRun:
    return ReportedRun(target_id=target_id, status=status, result=b"r")


DONE = run_at(RunStatus.DONE)
RUNNING = run_at(RunStatus.RUNNING)
RUNNING_AT_B = run_at(RunStatus.RUNNING, "b")
LAPSED = run_at(RunStatus.LEASE_LAPSED)
FAILED = FailTask(ran=Ran.EVERYTHING, reason=Reason.TASK_FAILED)
CANCELLED = FailTask(ran=Ran.SOME, reason=Reason.CANCELLED)

DROPPED = ReportedRun(target_id="a", status=RunStatus.DONE, result_dropped=True)
"""Its home acknowledged the result and the target dropped it, so the empty ``result``
is not a reply."""

DECISION_TABLE = [
    (DROPPED, ALL_FENCED, None, Undetermined(silent_targets=()), None),
    (DONE, SILENT_B, None, Adopt(begun=DONE), Adopt(begun=DONE)),
    (run_at(RunStatus.FAILED), ALL_FENCED, None, FAILED, FAILED),
    (run_at(RunStatus.CANCELLED), ALL_FENCED, None, CANCELLED, CANCELLED),
    (RUNNING, SILENT_B, None, AwaitRunning(begun=RUNNING), AwaitRunning(begun=RUNNING)),
    (RUNNING_AT_B, FORGETFUL_B, None, AwaitRunning(begun=RUNNING_AT_B), None),
    (RUNNING_AT_B, GONE_B, None, RUN_AGAIN, UNDETERMINED),
    (LAPSED, ALL_FENCED, None, RUN_AGAIN, FAIL_LAPSED),
    (LAPSED, SILENT_B, None, UNDETERMINED, FAIL_LAPSED),
    (LAPSED, SILENT_B, 107.0, RunAfter(at=107.0), FAIL_LAPSED),
    (None, SILENT_B, None, UNDETERMINED, UNDETERMINED),
    (None, SILENT_B, 107.0, RunAfter(at=107.0), UNDETERMINED),
    (None, SILENT_B, NOW, RUN_AGAIN, UNDETERMINED),
    (None, FORGETFUL_B, None, RUN_AGAIN, UNDETERMINED),
    (None, GONE_B, None, RUN_AGAIN, UNDETERMINED),
    (None, ALL_FENCED, None, RUN_NEVER_BEGUN, RUN_NEVER_BEGUN),
]


@pytest.mark.parametrize(
    ("begun", "targets", "latest_end_at", "if_repeatable", "if_not_repeatable"),
    DECISION_TABLE,
)
def test_truth_table(
    begun: ReportedRun | None,
    targets: dict[str, set[str]],
    latest_end_at: float | None,
    if_repeatable: TaskDecision,
    if_not_repeatable: TaskDecision | None,
) -> None:
    """Guards against a second run, or a lost result, of a task of a dead home.

    Without ``if_not_repeatable``, both kinds of task get the same decision.
    """
    for repeatable, expected in (
        (True, if_repeatable),
        (False, if_not_repeatable or if_repeatable),
    ):
        decision = decide_task(
            repeatable=repeatable,
            begun=begun,
            fenced_targets=targets.get("fenced", ()),
            unfenced_targets=targets.get("unfenced", ()),
            gone_targets=targets.get("gone", ()),
            forgetful_targets=targets.get("forgetful", ()),
            latest_end_at=latest_end_at,
            now=NOW,
        )

        assert decision == expected


def answer_for(
    decisions: list[TaskDecision], *, any_begun: bool
) -> tuple[Outcome, Ran]:
    decision = decide_submission(
        submission_id="s", decisions=decisions, any_begun=any_begun
    )
    assert isinstance(decision, AnswerCaller)
    return decision.answer.outcome, decision.answer.ran


@pytest.mark.parametrize(
    ("decisions", "any_begun", "outcome", "ran"),
    [
        ([Adopt(begun=DONE)] * 2, True, Outcome.COMPLETE, Ran.UNSPECIFIED),
        ([RUN_NEVER_BEGUN, RUN_NEVER_BEGUN], False, Outcome.NOT_RUN, Ran.NOTHING),
        ([RUN_AGAIN, RUN_AGAIN], False, Outcome.UNKNOWN, Ran.MAYBE),
        ([UNDETERMINED, RUN_NEVER_BEGUN], False, Outcome.UNKNOWN, Ran.MAYBE),
        ([UNDETERMINED, Adopt(begun=DONE)], True, Outcome.UNKNOWN, Ran.MAYBE),
        ([FAIL_LAPSED, RUN_NEVER_BEGUN], True, Outcome.FAILED, Ran.SOME),
        ([FAILED, Adopt(begun=DONE)], True, Outcome.FAILED, Ran.EVERYTHING),
    ],
)
def test_submission_is_answered_at_once(
    decisions: list[TaskDecision], any_begun: bool, outcome: Outcome, ran: Ran
) -> None:
    """Guards against a false answer about a submission that cannot be resumed."""
    assert answer_for(decisions, any_begun=any_begun) == (outcome, ran)


def test_begun_submission_resumes() -> None:
    """Guards against failing a submission that a target began before its home died."""
    decisions: list[TaskDecision] = [
        Adopt(begun=DONE),
        RUN_NEVER_BEGUN,
        AwaitRunning(begun=RUNNING),
    ]

    decision = decide_submission(submission_id="s", decisions=decisions, any_begun=True)

    assert decision == Resume(decisions_by_index=dict(enumerate(decisions)))


@pytest.mark.parametrize(
    ("never_begun", "any_begun", "outcome"),
    [
        (True, False, Outcome.NOT_RUN),
        (False, False, Outcome.UNKNOWN),
        (False, True, None),
    ],
)
def test_decide_without_tasks(
    never_begun: bool, any_begun: bool, outcome: Outcome | None
) -> None:
    """Guards against ``NOT_RUN`` to a caller that sends no tasks, when one may run."""
    answer = decide_without_tasks(
        submission_id="s", never_begun=never_begun, any_begun=any_begun
    )

    assert (answer.outcome if answer else None) is outcome
