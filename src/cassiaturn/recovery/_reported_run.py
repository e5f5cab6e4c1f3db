"""Runs that a target reports in its reply to a fence."""

from dataclasses import dataclass

from cassiaturn.entities import RunStatus, TaskKey
from cassiaturn.v1 import runner_pb2 as pb


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedRun:
    """One run of a task as reported by its target; proof that the task began."""

    target_id: str
    """Target that began it."""

    status: RunStatus
    """Status of the run."""

    attempt: int = 0
    """Attempt of the task, from 0."""

    result: bytes = b""
    """Serialized reply; set only if the run is done."""

    result_dropped: bool = False
    """Whether the result was acknowledged and the target dropped it."""

    detail: str = ""
    """What the task reported when it failed."""

    run_ms: int = 0
    """Run time, in milliseconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceReport:
    """A target's reply to a fence: it starts no more tasks of the fenced home."""

    target_id: str
    """Target that replied."""

    begun: "tuple[tuple[TaskKey, ReportedRun], ...]"
    """Runs of the fenced home that the target remembers."""

    exhaustive: bool
    """Whether it has forgotten no run since it started."""

    @classmethod
    def from_message(cls, message: pb.FenceReply) -> "FenceReport":
        """Return the report of a message.

        :raises ValueError: a status is unknown to this version.
        """
        return cls(
            target_id=message.target_id,
            begun=tuple(
                (
                    TaskKey(result.ref.submission_id, result.ref.index),
                    _to_reported_run(message.target_id, result),
                )
                for result in message.begun
            ),
            exhaustive=message.exhaustive,
        )


def _to_reported_run(target_id: str, result: pb.TaskResult) -> ReportedRun:
    return ReportedRun(
        target_id=target_id,
        status=RunStatus(result.status),
        attempt=result.ref.attempt,
        result=result.result,
        result_dropped=result.result_dropped,
        detail=result.detail,
        run_ms=result.run_ms,
    )
