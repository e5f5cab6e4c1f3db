"""What a successor tells the callers of a home that is gone."""

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

_NAMED_TARGETS = 5

RETRY_AFTER_TAKEOVER_MS = 1
"""Advice with ``NOT_RUN``: come back at once with a new id."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Resume:
    """The submission goes on here: adopt, await or run each task as decided."""

    decisions_by_index: Mapping[int, TaskDecision]
    """What to do with each task."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCaller:
    """There is an answer now; ``UNKNOWN`` may improve when more targets answer."""

    answer: Answer
    """The answer."""


SubmissionDecision = Resume | AnswerCaller
"""Everything that can be decided for a submission."""


def decide_submission(
    *, submission_id: str, decisions: Sequence[TaskDecision], any_begun: bool
) -> SubmissionDecision:
    """Decide a submission of a dead home from the decisions on its tasks.

    A submission of which no target began a task is never run by a successor. Its
    home may have told the caller ``NOT_RUN`` before it died, without a record, and
    a resubmission that crossed this answer would make it false. So it ends here as
    ``NOT_RUN`` too, and its caller comes back with a new id. Once a task began,
    the home cannot have said so, and the rest may run.

    :param submission_id: the submission.
    :param decisions: one a task, in order; not empty.
    :param any_begun: whether any target reported a run of any task.
    """
    whole = _decide_whole(submission_id, decisions)
    if whole is not None:
        return AnswerCaller(answer=whole)
    if not any_begun:
        return AnswerCaller(answer=_decide_unbegun(submission_id, decisions))
    if any(isinstance(decision, Undetermined) for decision in decisions):
        return AnswerCaller(answer=_unknown(submission_id, decisions))
    return Resume(decisions_by_index=dict(enumerate(decisions)))


def decide_without_tasks(
    *, submission_id: str, never_begun: bool, any_begun: bool
) -> Answer | None:
    """Decide what a caller that only collects is told, without the tasks.

    :param never_begun: whether every target that could have begun a task denies
        it for good.
    :param any_begun: whether any target reported a run of it.
    :returns: None if the tasks are needed: the caller has to resubmit them.
    """
    if any_begun:
        return None
    if never_begun:
        return _not_run(submission_id, tasks_total=0)
    return _unknown(submission_id, ())


def _decide_whole(
    submission_id: str, decisions: Sequence[TaskDecision]
) -> Answer | None:
    adopted = [one for one in decisions if isinstance(one, Adopt)]
    if len(adopted) == len(decisions):
        return Answer(
            submission_id=submission_id,
            outcome=Outcome.COMPLETE,
            results=tuple(one.begun.result for one in adopted),
            tasks_done=len(adopted),
            tasks_total=len(decisions),
        )
    failed = next((one for one in decisions if isinstance(one, FailTask)), None)
    if failed is None:
        return None
    everything = all(
        isinstance(one, Adopt)
        or (isinstance(one, FailTask) and one.ran is Ran.EVERYTHING)
        for one in decisions
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


def _decide_unbegun(submission_id: str, decisions: Sequence[TaskDecision]) -> Answer:
    denied = all(
        isinstance(one, RunNow) and one.proof is RunProof.NEVER_BEGUN
        for one in decisions
    )
    if denied:
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
    unknown = (one for one in decisions if isinstance(one, Undetermined))
    first = next(unknown, None)
    silent = first.silent_targets if first is not None else ()
    names = ", ".join(sorted(silent)[:_NAMED_TARGETS]) or "some"
    return Answer(
        submission_id=submission_id,
        outcome=Outcome.UNKNOWN,
        ran=Ran.MAYBE,
        reason=Reason.HOME_UNREACHABLE,
        detail=f"Its home is unreachable, and these targets cannot tell: {names}.",
        tasks_done=sum(isinstance(one, Adopt) for one in decisions),
        tasks_total=len(decisions),
    )
