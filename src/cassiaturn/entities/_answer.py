"""The answer to a submission and its conversion to and from protobuf."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from cassiaturn.v1 import dispatcher_pb2 as pb


class Outcome(IntEnum):
    """Outcome of a submission, as reported to its caller."""

    COMPLETE = pb.OUTCOME_COMPLETE
    FAILED = pb.OUTCOME_FAILED
    NOT_RUN = pb.OUTCOME_NOT_RUN
    UNKNOWN = pb.OUTCOME_UNKNOWN
    PENDING = pb.OUTCOME_PENDING


class Ran(IntEnum):
    """Which tasks of a submission that is not complete are known to have run."""

    UNSPECIFIED = pb.RAN_UNSPECIFIED
    NOTHING = pb.RAN_NOTHING
    SOME = pb.RAN_SOME
    EVERYTHING = pb.RAN_EVERYTHING
    MAYBE = pb.RAN_MAYBE


class Reason(IntEnum):
    """Why a submission is not complete."""

    NONE = pb.REASON_UNSPECIFIED
    INVALID = pb.REASON_INVALID
    UNKNOWN_TENANT = pb.REASON_UNKNOWN_TENANT
    QUOTA = pb.REASON_QUOTA
    OVERLOAD = pb.REASON_OVERLOAD
    DEADLINE = pb.REASON_DEADLINE
    CANCELLED = pb.REASON_CANCELLED
    TASK_FAILED = pb.REASON_TASK_FAILED
    TARGET_LOST = pb.REASON_TARGET_LOST
    HOME_UNREACHABLE = pb.REASON_HOME_UNREACHABLE
    STORE_UNREACHABLE = pb.REASON_STORE_UNREACHABLE
    EXPIRED = pb.REASON_EXPIRED
    DRAINING = pb.REASON_DRAINING
    NO_TARGET = pb.REASON_NO_TARGET
    SUPERSEDED = pb.REASON_SUPERSEDED
    MISMATCH = pb.REASON_MISMATCH


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Answer to a submission, with either all of its results or none.

    ``results`` is set only with :attr:`Outcome.COMPLETE`; partial results are never
    returned. :attr:`Outcome.NOT_RUN` is final for its submission id.
    """

    submission_id: str
    """Id of the submission that this answers."""

    outcome: Outcome
    """Outcome of the submission."""

    ran: Ran = Ran.UNSPECIFIED
    """Which tasks ran, if the outcome is not complete."""

    reason: Reason = Reason.NONE
    """Why the submission is not complete."""

    detail: str = ""
    """Explanation for humans, in one sentence."""

    results: Sequence[bytes] = ()
    """One serialized reply per task, in the order submitted."""

    retry_after_ms: int = 0
    """Delay before a retry with a new id, in milliseconds; 0: no advice."""

    tasks_done: int = 0
    """Number of tasks whose result is known."""

    tasks_total: int = 0
    """Number of tasks in the submission."""

    result_object: str = ""
    """Object store key of results that are too large to keep; empty: none."""

    @classmethod
    def unknown(
        cls,
        submission_id: str,
        reason: "Reason",
        detail: str,
        *,
        retry_after_ms: int = 0,
        tasks_total: int = 0,
    ) -> "Answer":
        """Return an answer for a process that cannot tell what ran.

        The answer is not final: a process that knows more may answer later.

        :param retry_after_ms: delay before a retry, in milliseconds; 0: no advice.
        """
        return cls(
            submission_id=submission_id,
            outcome=Outcome.UNKNOWN,
            ran=Ran.MAYBE,
            reason=reason,
            detail=detail,
            retry_after_ms=retry_after_ms,
            tasks_total=tasks_total,
        )

    @property
    def is_final(self) -> bool:
        """Whether the submission's home process never changes this answer."""
        return self.outcome in _FINAL_OUTCOMES

    def to_message(self) -> pb.Answer:
        """Return the protobuf message that callers receive."""
        return pb.Answer(
            submission_id=self.submission_id,
            outcome=int(self.outcome),  # type: ignore[arg-type]
            ran=int(self.ran),  # type: ignore[arg-type]
            reason=int(self.reason),  # type: ignore[arg-type]
            detail=self.detail,
            results=self.results,
            retry_after_ms=self.retry_after_ms,
            tasks_done=self.tasks_done,
            tasks_total=self.tasks_total,
            result_object=self.result_object,
        )

    @classmethod
    def from_message(cls, message: pb.Answer) -> "Answer":
        """Return the answer that a protobuf message carries.

        :param message: an answer with every field in its range.
        :raises ValueError: if an enum field has a value that this version does not
            know.
        """
        return cls(
            submission_id=message.submission_id,
            outcome=Outcome(message.outcome),
            ran=Ran(message.ran),
            reason=Reason(message.reason),
            detail=message.detail,
            results=tuple(message.results),
            retry_after_ms=message.retry_after_ms,
            tasks_done=message.tasks_done,
            tasks_total=message.tasks_total,
            result_object=message.result_object,
        )


_FINAL_OUTCOMES = frozenset({Outcome.COMPLETE, Outcome.FAILED, Outcome.NOT_RUN})
