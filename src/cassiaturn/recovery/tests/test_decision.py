"""Each line of the truth table, and what becomes of a whole submission."""

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
FORGOT = {"fenced": {"a"}, "forgetful": {"b"}}
GONE = {"fenced": {"a"}, "gone": {"b"}}
SILENT = {"fenced": {"a"}, "unfenced": {"b"}}
ALL = {"fenced": {"a", "b"}}

NEVER = RunNow(proof=RunProof.NEVER_BEGUN)
AGAIN = RunNow(proof=RunProof.EARLIER_RUN_OVER)
LAPSED_FAILS = FailTask(ran=Ran.SOME, reason=Reason.TARGET_LOST)
UNHEARD = Undetermined(silent_targets={"b"})


def run(status: RunStatus, target_id: str = "a") -> ReportedRun:
    return ReportedRun(target_id=target_id, status=status, result=b"r")


DONE = run(RunStatus.DONE)
RUNNING = run(RunStatus.RUNNING)
ELSEWHERE = run(RunStatus.RUNNING, "b")
LAPSED = run(RunStatus.LEASE_LAPSED)
FAILED = FailTask(ran=Ran.EVERYTHING, reason=Reason.TASK_FAILED)
CANCELLED = FailTask(ran=Ran.SOME, reason=Reason.CANCELLED)

DROPPED = ReportedRun(target_id="a", status=RunStatus.DONE, result_dropped=True)
"""Acknowledged by its home: an empty result is left, which is no reply."""

LINES = [
    (DROPPED, ALL, None, Undetermined(silent_targets=()), None),
    (DONE, SILENT, None, Adopt(begun=DONE), Adopt(begun=DONE)),
    (run(RunStatus.FAILED), ALL, None, FAILED, FAILED),
    (run(RunStatus.CANCELLED), ALL, None, CANCELLED, CANCELLED),
    (RUNNING, SILENT, None, AwaitRunning(begun=RUNNING), AwaitRunning(begun=RUNNING)),
    (ELSEWHERE, FORGOT, None, AwaitRunning(begun=ELSEWHERE), None),
    (ELSEWHERE, GONE, None, AGAIN, UNHEARD),
    (LAPSED, ALL, None, AGAIN, LAPSED_FAILS),
    (LAPSED, SILENT, None, UNHEARD, LAPSED_FAILS),
    (LAPSED, SILENT, 107.0, RunAfter(at=107.0), LAPSED_FAILS),
    (None, SILENT, None, UNHEARD, UNHEARD),
    (None, SILENT, 107.0, RunAfter(at=107.0), UNHEARD),
    (None, SILENT, NOW, AGAIN, UNHEARD),
    (None, FORGOT, None, AGAIN, UNHEARD),
    (None, GONE, None, AGAIN, UNHEARD),
    (None, ALL, None, NEVER, NEVER),
]


@pytest.mark.parametrize(("begun", "targets", "latest_end_at", "can", "cannot"), LINES)
def test_truth_table(
    begun: ReportedRun | None,
    targets: dict[str, set[str]],
    latest_end_at: float | None,
    can: TaskDecision,
    cannot: TaskDecision | None,
) -> None:
    for repeatable, expected in ((True, can), (False, cannot or can)):
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


def tell(decisions: list[TaskDecision], *, any_begun: bool) -> tuple[Outcome, Ran]:
    decision = decide_submission(
        submission_id="s", decisions=decisions, any_begun=any_begun
    )
    assert isinstance(decision, AnswerCaller)
    return decision.answer.outcome, decision.answer.ran


@pytest.mark.parametrize(
    ("decisions", "any_begun", "outcome", "ran"),
    [
        ([Adopt(begun=DONE)] * 2, True, Outcome.COMPLETE, Ran.UNSPECIFIED),
        ([NEVER, NEVER], False, Outcome.NOT_RUN, Ran.NOTHING),
        ([AGAIN, AGAIN], False, Outcome.UNKNOWN, Ran.MAYBE),
        ([UNHEARD, NEVER], False, Outcome.UNKNOWN, Ran.MAYBE),
        ([UNHEARD, Adopt(begun=DONE)], True, Outcome.UNKNOWN, Ran.MAYBE),
        ([LAPSED_FAILS, NEVER], True, Outcome.FAILED, Ran.SOME),
        ([FAILED, Adopt(begun=DONE)], True, Outcome.FAILED, Ran.EVERYTHING),
    ],
)
def test_a_submission_that_is_answered_at_once(
    decisions: list[TaskDecision], any_begun: bool, outcome: Outcome, ran: Ran
) -> None:
    assert tell(decisions, any_begun=any_begun) == (outcome, ran)


def test_a_begun_submission_goes_on() -> None:
    decisions: list[TaskDecision] = [
        Adopt(begun=DONE),
        NEVER,
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
def test_a_caller_that_collects_brings_no_tasks(
    never_begun: bool, any_begun: bool, outcome: Outcome | None
) -> None:
    answer = decide_without_tasks(
        submission_id="s", never_begun=never_begun, any_begun=any_begun
    )

    assert (answer.outcome if answer else None) is outcome
