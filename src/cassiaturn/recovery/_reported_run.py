"""What a target tells of a task that it began."""

from dataclasses import dataclass

from cassiaturn.entities import RunStatus, TaskKey
from cassiaturn.v1 import runner_pb2 as pb


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedRun:
    """One run of a task, as its target reports it; proof that it began."""

    target_id: str
    """Target that began it."""

    status: RunStatus
    """How far it is."""

    attempt: int = 0
    """Attempt of the task, from 0."""

    result: bytes = b""
    """Serialized reply; only of a run that is done."""

    result_dropped: bool = False
    """Whether the result was acknowledged and is no longer kept there."""

    detail: str = ""
    """What the task reported when it failed."""

    run_ms: int = 0
    """Time that it ran, in milliseconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceReport:
    """A target's answer to a fence: it starts nothing of that home any more."""

    target_id: str
    """Target that answered."""

    begun: "tuple[tuple[TaskKey, ReportedRun], ...]"
    """Runs of that home which the target remembers."""

    exhaustive: bool
    """Whether it forgot none since it began."""

    @classmethod
    def from_message(cls, message: pb.FenceReply) -> "FenceReport":
        """Return the report that a message carries.

        :raises ValueError: a status is unknown here.
        """
        return cls(
            target_id=message.target_id,
            begun=tuple(
                (
                    TaskKey(result.ref.submission_id, result.ref.index),
                    _to_begun(message.target_id, result),
                )
                for result in message.begun
            ),
            exhaustive=message.exhaustive,
        )


def _to_begun(target_id: str, result: pb.TaskResult) -> ReportedRun:
    return ReportedRun(
        target_id=target_id,
        status=RunStatus(result.status),
        attempt=result.ref.attempt,
        result=result.result,
        result_dropped=result.result_dropped,
        detail=result.detail,
        run_ms=result.run_ms,
    )
