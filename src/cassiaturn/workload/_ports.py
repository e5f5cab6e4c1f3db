"""Interface through which the scheduling functions call the process."""

from dataclasses import dataclass
from typing import Protocol

from cassiaturn.entities import TaskRef
from cassiaturn.observability import Event
from cassiaturn.workload._tables import Job, Outcome, Run


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """An order to start a task."""

    target_id: str
    """Target that is to run the task."""

    ref: TaskRef
    """The task."""

    number: int
    """Run number of this start."""

    payload: str
    """Input of the task."""

    decided_at: float
    """When the leader decided on the start, in seconds: the time within which the
    target may carry it out counts from then."""

    checkpoint: str = ""
    """Checkpoint to resume from; empty: none."""

    ticket: str = ""
    """Permission to start on that target, where one is needed; empty: none is."""


class Ports(Protocol):
    """Sends orders and answers; implemented by the process or a test.

    No method blocks: the result of an order arrives later as a separate event.
    """

    def start(self, order: StartOrder) -> None:
        """Order a start."""

    def stop(self, run: Run) -> None:
        """Order a run to stop."""

    def finish(self, job: Job, outcome: Outcome) -> None:
        """Tell the members whose callers wait for a job how it ended."""

    def record(self, event: Event, **fields: object) -> None:
        """Log an event."""
