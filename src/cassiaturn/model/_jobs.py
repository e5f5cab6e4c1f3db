"""Requests and jobs of the processes that the scheduler drives."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from cassiaturn.entities import Answer
from cassiaturn.model._fakes import FakeStart
from cassiaturn.recovery import (
    Adopt,
    AwaitRunning,
    RecoverySettings,
    Resume,
    RunAfter,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """What a caller sends, the first time or again."""

    submission_id: str
    """Ticket, or an id of its own."""

    tasks: int
    """Number of tasks."""

    repeatable: bool
    """Whether its tasks may run again."""

    @property
    def fingerprint(self) -> bytes:
        """Hash of the request."""
        return self.submission_id.encode()


class TaskState(Enum):
    """How far a task is at its home."""

    QUEUED = "queued"
    SENT = "sent"
    DONE = "done"


@dataclass(slots=True, kw_only=True)
class SimJob:
    """A submission at its home."""

    request: Request
    """What the caller sent."""

    states: list[TaskState]
    """How far each task is."""

    results: list[bytes]
    """Results by task; empty until done."""

    attempts: list[int]
    """Starts sent for each task."""

    may_have_run: bool = False
    """Whether a task began, so that "not run" would be false."""


class World(Protocol):
    """What a process sees of the rest."""

    def say(self, answer: Answer) -> None:
        """Tell a caller an answer."""

    def send_start(self, start: FakeStart) -> None:
        """Send a start to some target."""

    def forward(self, request: Request, home: str) -> bool:
        """Pass a request on; False: the home cannot be reached."""


@dataclass(slots=True, kw_only=True)
class Held:
    """A request whose home is gone, until its fate is decided."""

    request: Request
    """What the caller sent."""

    home: str
    """Incarnation that its ticket or claim names."""

    resume_at: float = field(default=0.0)
    """Earliest time of the next decision, in seconds."""


def wait_until(resume: Resume, now: float) -> float:
    """Return when a resumed job can go on: at once, later, or after a poll."""
    until = now
    for decision in resume.decisions_by_index.values():
        if isinstance(decision, RunAfter):
            until = max(until, decision.at)
        elif isinstance(decision, AwaitRunning):
            until = max(until, now + RecoverySettings().poll_running_s)
    return until


def adopt(job: SimJob, resume: Resume) -> None:
    """Take the results that a dead home's targets reported."""
    for index, decision in resume.decisions_by_index.items():
        if isinstance(decision, Adopt):
            job.states[index] = TaskState.DONE
            job.results[index] = decision.begun.result
