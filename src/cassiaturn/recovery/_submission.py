"""Decides what a successor answers to the callers of a home that is gone."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from cassiaturn.entities import Answer, Outcome, Ran, Reason
from cassiaturn.recovery._decision import (
    Adopt,
    FailTask,
    RunNow,
    RunProof,
    TaskDecision,
    Undetermined,
)

_MAX_NAMED_TARGETS = 5

RETRY_AFTER_TAKEOVER_MS = 1
"""Retry advice with ``NOT_RUN``: resubmit at once, under a new id."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Resume:
    """Resume the submission here: adopt, await or run each task as decided."""

    decisions_by_index: Mapping[int, TaskDecision]
    """Decision on each task, by its index."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCaller:
    """Answer the caller now; ``UNKNOWN`` may change when more targets answer."""

    answer: Answer
    """Answer to the caller."""


SubmissionDecision = Resume | AnswerCaller
"""Every possible decision on a submission."""


def decide_submission(
    *, submission_id: str, decisions: Sequence[TaskDecision], any_begun: bool
) -> SubmissionDecision:
    """Decide on a submission of a dead home from the decisions on its tasks.

    A successor never runs a submission of which no target began a task. Its home
    may have answered ``NOT_RUN`` before it died, and left no record of that. If the
    caller resubmitted before it got this answer, running the resubmission would make
    the answer false. The successor therefore answers ``NOT_RUN`` too, and the caller
    resubmits under a new id. Once a task began, the home cannot have answered
    ``NOT_RUN``, and the remaining tasks may run.

    :param submission_id: id of the submission.
    :param decisions: one decision per task, in order; not empty.
    :param any_begun: whether any target reported a run of any task.
    """
    finished = _decide_finished(submission_id, decisions)
    if finished is not None:
        return AnswerCaller(answer=finished)
    if not any_begun:
        return AnswerCaller(answer=_decide_not_begun(submission_id, decisions))
    if any(isinstance(decision, Undetermined) for decision in decisions):
        return AnswerCaller(answer=_unknown(submission_id, decisions))
    return Resume(decisions_by_index=dict(enumerate(decisions)))


def decide_without_tasks(
    *, submission_id: str, never_begun: bool, any_begun: bool
) -> Answer | None:
    """Decide on the answer to a caller that asks for results without sending tasks.

    :param never_begun: whether every target that could have begun a task reported
        that it did not and never will.
    :param any_begun: whether any target reported a run of it.
    :returns: the answer; None if the caller has to resubmit the tasks first.
    """
    if any_begun:
        return None
    if never_begun:
        return _not_run(submission_id, tasks_total=0)
    return _unknown(submission_id, ())


def _decide_finished(
    submission_id: str, decisions: Sequence[TaskDecision]
) -> Answer | None:
    adopted = [decision for decision in decisions if isinstance(decision, Adopt)]
    if len(adopted) == len(decisions):
        return Answer(
            submission_id=submission_id,
            outcome=Outcome.COMPLETE,
            results=tuple(decision.begun.result for decision in adopted),
            tasks_done=len(adopted),
            tasks_total=len(decisions),
        )
    failed = next(
        (decision for decision in decisions if isinstance(decision, FailTask)), None
    )
    if failed is None:
        return None
    everything = all(
        isinstance(decision, Adopt)
        or (isinstance(decision, FailTask) and decision.ran is Ran.EVERYTHING)
        for decision in decisions
    )
    return Answer(
        submission_id=submission_id,
        outcome=Outcome.FAILED,
        ran=Ran.EVERYTHING if everything else Ran.SOME,
        reason=failed.reason,
        detail=failed.detail,
        tasks_done=len(adopted),
        tasks_total=len(decisions),
    )


def _decide_not_begun(submission_id: str, decisions: Sequence[TaskDecision]) -> Answer:
    never_begun = all(
        isinstance(decision, RunNow) and decision.proof is RunProof.NEVER_BEGUN
        for decision in decisions
    )
    if never_begun:
        return _not_run(submission_id, tasks_total=len(decisions))
    return _unknown(submission_id, decisions)


def _not_run(submission_id: str, *, tasks_total: int) -> Answer:
    return Answer(
        submission_id=submission_id,
        outcome=Outcome.NOT_RUN,
        ran=Ran.NOTHING,
        reason=Reason.SUPERSEDED,
        detail="Its home ended before anything began; submit it under a new id.",
        retry_after_ms=RETRY_AFTER_TAKEOVER_MS,
        tasks_total=tasks_total,
    )


def _unknown(submission_id: str, decisions: Sequence[TaskDecision]) -> Answer:
    unknown = (decision for decision in decisions if isinstance(decision, Undetermined))
    first = next(unknown, None)
    silent = first.silent_targets if first is not None else ()
    names = ", ".join(sorted(silent)[:_MAX_NAMED_TARGETS]) or "some"
    return Answer(
        submission_id=submission_id,
        outcome=Outcome.UNKNOWN,
        ran=Ran.MAYBE,
        reason=Reason.HOME_UNREACHABLE,
        detail=f"Its home is unreachable, and these targets cannot tell: {names}.",
        tasks_done=sum(isinstance(decision, Adopt) for decision in decisions),
        tasks_total=len(decisions),
    )
