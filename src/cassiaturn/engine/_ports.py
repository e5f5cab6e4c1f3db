"""Interface through which the engine sends frames and delivers answers."""

from typing import Protocol

from cassiaturn.engine._tables import Job, TaskRecord
from cassiaturn.entities import Answer, TaskKey
from cassiaturn.v1 import peer_pb2


class Ports(Protocol):
    """Sends frames and delivers answers; implemented by the server or a test.

    No method blocks: frames are put into outboxes and sent when the event loop runs.
    """

    def send_start(self, record: TaskRecord, *, within_s: float, lease_ms: int) -> None:
        """Send a start to ``record.target_id``.

        :param within_s: time after which the target must refuse the start, in seconds.
        :param lease_ms: lease of the run, in milliseconds.
        """

    def send_cancel(self, target_id: str, key: TaskKey, attempt: int) -> None:
        """Ask a target to stop a task."""

    def send_renewal(self, target_id: str, key: TaskKey, attempt: int) -> None:
        """Extend the lease of a running task."""

    def acknowledge(self, target_id: str, key: TaskKey, attempt: int) -> None:
        """Allow a target to drop a result."""

    def spill(self, record: TaskRecord, *, within_s: float, job_remaining: int) -> None:
        """Send a task to ``record.peer``.

        :param within_s: time after which the peer must refuse it, in seconds.
        :param job_remaining: number of tasks of its job without a result.
        """

    def cancel_spill(self, peer: str, key: TaskKey, attempt: int) -> None:
        """Ask a peer to drop a task, or to stop it."""

    def return_outcome(self, peer: str, outcome: peer_pb2.SpillOutcome) -> None:
        """Send the outcome of a spilled task to its home."""

    def deliver(self, answer: Answer, job: Job | None) -> None:
        """Deliver a settled answer to every waiting call.

        :param job: the settled job; None if the submission was refused.
        """

    def superseded(self) -> None:
        """Report that a target fenced this incarnation: a successor took over."""
