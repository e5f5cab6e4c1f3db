"""Tracks one takeover: its row, its fences and the reports of targets."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from enum import Enum

from cassiaturn.entities import RunStatus, TaskKey
from cassiaturn.recovery._reported_run import FenceReport, ReportedRun
from cassiaturn.recovery._rows import TakeoverRow


class TakeoverPhase(Enum):
    """Phase of a takeover."""

    WANTED = "wanted"
    """The row is to be inserted."""

    INSERTING = "inserting"
    """The insert was sent to the store and is not answered yet."""

    FENCING = "fencing"
    """This incarnation is the successor and fences every target."""

    YIELDED = "yielded"
    """Another incarnation is the successor; requests are forwarded to it."""


class FenceState(Enum):
    """State of the fence at one target."""

    DUE = "due"
    """Not answered yet: it may still start tasks of the dead home."""

    FENCED = "fenced"
    """It starts no more tasks of the dead home and reported every run it began."""

    FORGETFUL = "forgetful"
    """It starts no more tasks of the dead home, but has forgotten runs that ended."""

    GONE = "gone"
    """Its process ended: nothing runs there, and it cannot report."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceDue:
    """A fence to send now."""

    dead: str
    """Incarnation whose starts the target is to refuse."""

    target_id: str
    """Target to send it to."""


@dataclass(slots=True, kw_only=True)
class Takeover:
    """The takeover of one dead incarnation."""

    row: TakeoverRow
    """The row in the store, or the one to insert."""

    targets_by_state: dict[FenceState, set[str]] = field(
        default_factory=lambda: {state: set() for state in FenceState}
    )
    """Every target that the dead home may have reached, by the state of its fence."""

    targets_to_fence: dict[str, None] = field(default_factory=dict)
    """Targets that need another fence: they did not answer or have running tasks."""

    phase: TakeoverPhase = TakeoverPhase.WANTED
    """Phase of the takeover."""

    runs_by_key: dict[TaskKey, ReportedRun] = field(default_factory=dict)
    """The most conclusive run that any target reported, by task."""

    fences_in_flight: set[str] = field(default_factory=set)
    """Targets with a fence in flight."""

    next_fence_at_by_target: dict[str, float] = field(default_factory=dict)
    """Earliest monotonic time of the next fence to a target, in seconds."""

    used_at: float | None = None
    """Monotonic time at which it was last used, in seconds; None if never."""

    @property
    def is_complete(self) -> bool:
        """Whether every target answered its fence or is gone."""
        return not self.targets_by_state[FenceState.DUE]

    def add_target(self, target_id: str) -> None:
        """Add a target whose fence is due."""
        self.targets_by_state[FenceState.DUE].add(target_id)
        self.targets_to_fence[target_id] = None

    def note_gone(self, target_id: str) -> None:
        """Record that the process of a target ended."""
        self._set_state(target_id, FenceState.GONE)
        self.targets_to_fence.pop(target_id, None)

    def note_report(self, report: FenceReport) -> None:
        """Record a target's reply to a fence."""
        if report.target_id in self.targets_by_state[FenceState.GONE]:
            return
        state = FenceState.FENCED if report.exhaustive else FenceState.FORGETFUL
        self._set_state(report.target_id, state)
        running = False
        for key, run in report.begun:
            self.note_run(key, run)
            running = running or run.status is RunStatus.RUNNING
        if running:
            self.targets_to_fence[report.target_id] = None
        else:
            self.targets_to_fence.pop(report.target_id, None)

    def _set_state(self, target_id: str, state: FenceState) -> None:
        for targets in self.targets_by_state.values():
            targets.discard(target_id)
        self.targets_by_state[state].add(target_id)

    def note_run(self, key: TaskKey, run: ReportedRun) -> None:
        """Record a reported run unless a more conclusive one is known.

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
        """Return targets to fence now: unanswered ones, and those with running tasks.

        :param now: monotonic time, in seconds.
        """
        return [
            target_id
            for target_id in self.targets_to_fence
            if target_id not in self.fences_in_flight
            and now >= self.next_fence_at_by_target.get(target_id, now)
        ]


def better_run(
    known: ReportedRun | None, other: ReportedRun | None
) -> ReportedRun | None:
    """Return the run that is more conclusive about how a task ended."""
    if known is None or other is None:
        return known or other
    return min(known, other, key=lambda run: _CERTAINTY_RANK[run.status])


def targets_in_state(lineage: Sequence[Takeover], state: FenceState) -> Collection[str]:
    """Return targets in a state for at least one takeover of a lineage."""
    found: frozenset[str] = frozenset()
    return found.union(*(takeover.targets_by_state[state] for takeover in lineage))


_CERTAINTY_RANK = {
    RunStatus.DONE: 0,
    RunStatus.RUNNING: 1,
    RunStatus.FAILED: 2,
    RunStatus.CANCELLED: 3,
    RunStatus.LEASE_LAPSED: 4,
}
"""Lower ranks are more conclusive."""
