"""One takeover as an entity: its row, its fences, and what targets told."""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from cassiaturn.entities import TaskKey
from cassiaturn.recovery._begun import Begun, RunStatus
from cassiaturn.recovery._rows import TakeoverRow


class TakeoverPhase(Enum):
    """How far a takeover is."""

    WANTED = "wanted"
    """The row is to be inserted."""

    INSERTING = "inserting"
    """The row is on its way to the store."""

    FENCING = "fencing"
    """This incarnation is the successor and asks every target."""

    YIELDED = "yielded"
    """Another incarnation is the successor: forward to it."""


class FenceState(Enum):
    """What one target said to a fence."""

    DUE = "due"
    """Nothing yet: it may still start tasks of the dead home."""

    FENCED = "fenced"
    """It starts none any more, and told every run that it began."""

    FORGETFUL = "forgetful"
    """It starts none any more, but forgot runs that ended."""

    GONE = "gone"
    """Its process ended: nothing runs there, and nothing can be told."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceDue:
    """A fence to send now."""

    dead: str
    """Incarnation whose starts the target is to refuse."""

    target_id: str
    """Target to ask."""


@dataclass(slots=True, kw_only=True)
class Takeover:
    """A row of the takeover table: one dead incarnation."""

    row: TakeoverRow
    """The row in the store, or the one to insert."""

    fences_by_target: dict[str, FenceState]
    """Every target that the dead home may have reached."""

    phase: TakeoverPhase = TakeoverPhase.WANTED
    """How far it is."""

    runs_by_key: dict[TaskKey, Begun] = field(default_factory=dict)
    """The best run that any target told of, by task."""

    asked_by_target: set[str] = field(default_factory=set)
    """Targets with a fence in flight."""

    ask_again_at_by_target: dict[str, float] = field(default_factory=dict)
    """Earliest time of the next fence to a target, in seconds."""

    @property
    def is_complete(self) -> bool:
        """Whether every target answered or is gone."""
        return FenceState.DUE not in self.fences_by_target.values()

    def note_run(self, key: TaskKey, run: Begun) -> None:
        """Keep a run unless a better one is known.

        A later report of the same target replaces its earlier one.
        """
        known = self.runs_by_key.get(key)
        if known is not None and known.target_id == run.target_id:
            self.runs_by_key[key] = run
            return
        best = better_run(known, run)
        if best is not None:
            self.runs_by_key[key] = best

    def targets_due(self, now: float) -> Sequence[str]:
        """Return targets to ask now: silent ones, and those with running tasks.

        :param now: monotonic time, in seconds.
        """
        running = {
            run.target_id
            for run in self.runs_by_key.values()
            if run.status is RunStatus.RUNNING
        }
        return [
            target_id
            for target_id, state in self.fences_by_target.items()
            if state is FenceState.DUE
            or (target_id in running and state is not FenceState.GONE)
            if target_id not in self.asked_by_target
            if now >= self.ask_again_at_by_target.get(target_id, now)
        ]


def better_run(known: Begun | None, other: Begun | None) -> Begun | None:
    """Return the run that says more about how a task ended."""
    if known is None or other is None:
        return known or other
    return min(known, other, key=lambda run: _WORTH[run.status])


def in_any(line: Iterable[Takeover], state: FenceState) -> Collection[str]:
    """Return targets in a state for at least one takeover of a line."""
    return {
        target_id
        for takeover in line
        for target_id, found in takeover.fences_by_target.items()
        if found is state
    }


_WORTH = {
    RunStatus.DONE: 0,
    RunStatus.RUNNING: 1,
    RunStatus.FAILED: 2,
    RunStatus.CANCELLED: 3,
    RunStatus.LEASE_LAPSED: 4,
}
