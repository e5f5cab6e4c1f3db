"""What a client sends, and what it answers by itself."""

from collections.abc import Sequence

from cassiaturn.entities import Answer, Outcome, Ran, Reason
from cassiaturn.v1 import dispatcher_pb2 as pb


def to_request(
    submission_id: str, method: str, tasks: Sequence[bytes], deadline_s: float
) -> pb.SubmitRequest:
    """Return the message of a submission.

    :param deadline_s: time until the answer is of no use, in seconds.
    """
    return pb.SubmitRequest(
        submission_id=submission_id,
        method=method,
        tasks=tasks,
        deadline_ms=max(1, int(deadline_s * 1000)),
    )


def not_sent(tasks: Sequence[bytes]) -> Answer:
    """Return the answer of a request for which no ticket was had."""
    return Answer(
        submission_id="",
        outcome=Outcome.NOT_RUN,
        ran=Ran.NOTHING,
        reason=Reason.HOME_UNREACHABLE,
        detail="no instance gave a ticket, so nothing was submitted",
        tasks_total=len(tasks),
    )


def not_run(request: pb.SubmitRequest, reason: Reason, detail: str) -> Answer:
    """Return the answer of a request that surely reached nobody."""
    return Answer(
        submission_id=request.submission_id,
        outcome=Outcome.NOT_RUN,
        ran=Ran.NOTHING,
        reason=reason,
        detail=detail,
        tasks_total=len(request.tasks),
    )


def unknown(submission_id: str, detail: str) -> Answer:
    """Return the answer of a client that no instance has told anything."""
    return Answer(
        submission_id=submission_id,
        outcome=Outcome.UNKNOWN,
        reason=Reason.HOME_UNREACHABLE,
        detail=detail,
    )
