"""A store and targets in memory, which fail as the real ones may."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from cassiaturn.entities import TaskKey
from cassiaturn.model._state import Rules
from cassiaturn.recovery import FenceReport, ReportedRun, RunStatus, TakeoverRow
from cassiaturn.submission import ClaimBatch, ClaimRow

START_WITHIN_S = 2.0
"""Start-by time that homes give, in seconds."""

LEASE_S = 5.0
"""Lease that homes give, in seconds."""


class Reply(Enum):
    """What became of a request to the store."""

    DONE = "done"
    CONFLICT = "conflict"
    LOST = "lost"


class FakeStore:
    """Rows by key, each inserted once; answers may be lost, before or after."""

    def __init__(self, *, rules: Rules, rng: random.Random, loss: float) -> None:
        self._rules = rules
        self._rng = rng
        self._loss = loss
        self._late: list[ClaimBatch] = []
        self.claims_by_id: dict[str, ClaimRow] = {}
        self.takeovers_by_dead: dict[str, TakeoverRow] = {}

    def insert_claims(self, batch: ClaimBatch) -> Reply:
        """Insert every row of a batch, or none."""
        if self._rng.random() < self._loss:
            if self._rng.random() < 0.5:
                self._insert(batch)
            else:
                self._late.append(batch)
            return Reply.LOST
        return Reply.DONE if self._insert(batch) else Reply.CONFLICT

    def claims_of(self, batch: ClaimBatch) -> Mapping[str, ClaimRow] | None:
        """Return the rows that exist for a batch; None: no answer."""
        if self._rng.random() < self._loss:
            return None
        return self.found(batch)

    def found(self, batch: ClaimBatch) -> Mapping[str, ClaimRow]:
        """Return the rows that exist for a batch."""
        ids = [row.submission_id for row in batch.rows]
        return {one: self.claims_by_id[one] for one in ids if one in self.claims_by_id}

    def apply_late_write(self) -> None:
        """Let a write take effect whose answer was lost long ago."""
        if self._late:
            self._insert(self._late.pop())

    def insert_takeover(self, row: TakeoverRow) -> TakeoverRow | None:
        """Insert a row and return the one that stands; None: no answer."""
        if self._rules.takeover_row:
            row = self.takeovers_by_dead.setdefault(row.dead, row)
        return None if self._rng.random() < self._loss else row

    def takeover_of(self, dead: str) -> TakeoverRow | Reply | None:
        """Return the takeover row of an incarnation, or LOST."""
        if self._rng.random() < self._loss:
            return Reply.LOST
        return self.takeovers_by_dead.get(dead)

    def _insert(self, batch: ClaimBatch) -> bool:
        if any(row.submission_id in self.claims_by_id for row in batch.rows):
            return False
        self.claims_by_id.update({row.submission_id: row for row in batch.rows})
        return True


@dataclass(frozen=True, slots=True, kw_only=True)
class FakeStart:
    """A start on its way to a target."""

    key: TaskKey
    """Task to start."""

    home: str
    """Incarnation that sent it."""

    attempt: int
    """Attempt of the task at that home."""

    repeatable: bool
    """Whether the task may run again."""

    start_by: float
    """Time after which it is refused, in seconds."""


@dataclass(slots=True, kw_only=True)
class FakeRun:
    """A task that a target began."""

    start: FakeStart
    """What began it."""

    lease_until: float
    """End of its lease, in seconds."""

    status: RunStatus = RunStatus.RUNNING
    """How far it is."""


class StartReply(Enum):
    """What a target says to a start."""

    BEGUN = "begun"
    DENIED = "denied"
    """It never began by this start, and never will."""

    DUPLICATE = "duplicate"
    """It began here before: nothing is denied."""


@dataclass(slots=True, kw_only=True)
class FakeTarget:
    """A runner: begins, refuses, finishes, forgets, and dies."""

    target_id: str
    """Name of the target."""

    rules: Rules
    """Safeguards that it honours."""

    alive: bool = True
    """Whether its process exists."""

    exhaustive: bool = True
    """Whether it has forgotten nothing."""

    fenced: set[str] = field(default_factory=set)
    """Homes whose starts it refuses."""

    runs_by_key: dict[TaskKey, FakeRun] = field(default_factory=dict)
    """What it began and remembers."""

    def start(self, start: FakeStart, now: float) -> StartReply:
        """Begin a task or refuse it."""
        fenced = self.rules.fence and start.home in self.fenced
        late = self.rules.start_by and now > start.start_by
        if fenced or late:
            return StartReply.DENIED
        known = self.runs_by_key.get(start.key)
        over = known is not None and known.status is RunStatus.LEASE_LAPSED
        if known is not None and not (start.repeatable and over):
            return StartReply.DUPLICATE
        self.runs_by_key[start.key] = FakeRun(start=start, lease_until=now + LEASE_S)
        return StartReply.BEGUN

    def fence(self, home: str) -> FenceReport:
        """Refuse a home from now on, and tell what it had begun here."""
        self.fenced.add(home)
        runs = [run for run in self.runs_by_key.values() if run.start.home == home]
        return FenceReport(
            target_id=self.target_id,
            begun=tuple((run.start.key, self._begun(run)) for run in runs),
            exhaustive=self.exhaustive,
        )

    def forget(self, key: TaskKey) -> None:
        """Drop a run whose result was taken."""
        if self.runs_by_key.pop(key, None) is not None:
            self.exhaustive = False

    def running(self) -> Sequence[FakeRun]:
        """Return the runs that go on."""
        if not self.alive:
            return []
        return [
            run for run in self.runs_by_key.values() if run.status is RunStatus.RUNNING
        ]

    def _begun(self, run: FakeRun) -> ReportedRun:
        done = run.status is RunStatus.DONE
        return ReportedRun(
            target_id=self.target_id,
            status=run.status,
            attempt=run.start.attempt,
            result=result_of(run.start.key) if done else b"",
        )


def result_of(key: TaskKey) -> bytes:
    """Return the one right result of a task."""
    return f"{key.submission_id}/{key.task_index}".encode()
