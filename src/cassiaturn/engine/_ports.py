"""What the engine asks of the process around it."""

from typing import Protocol

from cassiaturn.engine._tables import Job, TaskRecord
from cassiaturn.entities import Answer, TaskKey
from cassiaturn.v1 import peer_pb2


class Ports(Protocol):
    """Sends frames and delivers answers; the process or a test implements it.

    No method waits: frames gather in outboxes and leave when the loop runs.
    """

    def send_start(self, record: TaskRecord, *, within_s: float, lease_ms: int) -> None:
        """Send a start to ``record.target_id``.

        :param within_s: time until the target must refuse it, in seconds.
        """

    def send_cancel(self, target_id: str, key: TaskKey, attempt: int) -> None:
        """Ask a target to stop a task."""

    def send_renewal(self, target_id: str, key: TaskKey, attempt: int) -> None:
        """Extend the lease of a running task."""

    def acknowledge(self, target_id: str, key: TaskKey, attempt: int) -> None:
        """Let a target forget a result."""

    def spill(self, record: TaskRecord, *, within_s: float, job_remaining: int) -> None:
        """Give a task to ``record.peer``."""

    def cancel_spill(self, peer: str, key: TaskKey, attempt: int) -> None:
        """Ask a peer to drop a task, or to stop it."""

    def return_outcome(self, peer: str, outcome: peer_pb2.SpillOutcome) -> None:
        """Send the outcome of a spilled task to its home."""

    def deliver(self, answer: Answer, job: Job | None) -> None:
        """Hand a settled answer to everyone who waits for it."""

    def superseded(self) -> None:
        """Say that targets fence this incarnation: a successor took over."""
