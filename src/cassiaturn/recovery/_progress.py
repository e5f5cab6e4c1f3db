"""One takeover as an entity: its row, its fences, and what targets told."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from enum import Enum

from cassiaturn.entities import RunStatus, TaskKey
from cassiaturn.recovery._reported_run import FenceReport, ReportedRun
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

    targets_by_state: dict[FenceState, set[str]] = field(
        default_factory=lambda: {state: set() for state in FenceState}
    )
    """Every target that the dead home may have reached, by what it said."""

    open_targets: dict[str, None] = field(default_factory=dict)
    """Targets to ask: the silent ones, and those with running tasks."""

    phase: TakeoverPhase = TakeoverPhase.WANTED
    """How far it is."""

    runs_by_key: dict[TaskKey, ReportedRun] = field(default_factory=dict)
    """The best run that any target told of, by task."""

    asked_by_target: set[str] = field(default_factory=set)
    """Targets with a fence in flight."""

    ask_again_at_by_target: dict[str, float] = field(default_factory=dict)
    """Earliest time of the next fence to a target, in seconds."""

    used_at: float | None = None
    """Time at which it was last needed, in seconds; None: not since it was made."""

    @property
    def is_complete(self) -> bool:
        """Whether every target answered or is gone."""
        return not self.targets_by_state[FenceState.DUE]

    def add_target(self, target_id: str) -> None:
        """Note a target that has said nothing yet."""
        self.targets_by_state[FenceState.DUE].add(target_id)
        self.open_targets[target_id] = None

    def note_gone(self, target_id: str) -> None:
        """Note that a target's process ended."""
        self._set_state(target_id, FenceState.GONE)
        self.open_targets.pop(target_id, None)

    def note_report(self, report: FenceReport) -> None:
        """Note a target's answer to a fence."""
        if report.target_id in self.targets_by_state[FenceState.GONE]:
            return
        state = FenceState.FENCED if report.exhaustive else FenceState.FORGETFUL
        self._set_state(report.target_id, state)
        running = False
        for key, run in report.begun:
            self.note_run(key, run)
            running = running or run.status is RunStatus.RUNNING
        if running:
            self.open_targets[report.target_id] = None
        else:
            self.open_targets.pop(report.target_id, None)

    def _set_state(self, target_id: str, state: FenceState) -> None:
        for targets in self.targets_by_state.values():
            targets.discard(target_id)
        self.targets_by_state[state].add(target_id)

    def note_run(self, key: TaskKey, run: ReportedRun) -> None:
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
        return [
            target_id
            for target_id in self.open_targets
            if target_id not in self.asked_by_target
            and now >= self.ask_again_at_by_target.get(target_id, now)
        ]


def better_run(
    known: ReportedRun | None, other: ReportedRun | None
) -> ReportedRun | None:
    """Return the run that says more about how a task ended."""
    if known is None or other is None:
        return known or other
    return min(known, other, key=lambda run: _WORTH[run.status])


def in_any(line: Sequence[Takeover], state: FenceState) -> Collection[str]:
    """Return targets in a state for at least one takeover of a line."""
    found: frozenset[str] = frozenset()
    return found.union(*(takeover.targets_by_state[state] for takeover in line))


_WORTH = {
    RunStatus.DONE: 0,
    RunStatus.RUNNING: 1,
    RunStatus.FAILED: 2,
    RunStatus.CANCELLED: 3,
    RunStatus.LEASE_LAPSED: 4,
}
