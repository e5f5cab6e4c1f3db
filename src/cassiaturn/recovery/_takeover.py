"""Who succeeds a dead incarnation, and how far its fences are.

Load pattern: a host dies, or seems to, and several instances hear of it and get
resubmissions of its callers at once. One conditional insert makes one of them the
successor; without it two would each see a task that never began, and run it twice.
The cost is one write an incarnation, whatever the number of its submissions.
"""

import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

from cassiaturn.entities import TaskKey
from cassiaturn.recovery._decision import TaskDecision, Undetermined, decide_task
from cassiaturn.recovery._progress import (
    FenceDue,
    FenceState,
    Takeover,
    TakeoverPhase,
    better_run,
    in_any,
)
from cassiaturn.recovery._reported_run import FenceReport, ReportedRun
from cassiaturn.recovery._rows import TakeoverRow
from cassiaturn.recovery._settings import RecoverySettings
from cassiaturn.recovery._submission import SubmissionDecision, decide_submission

_TOKEN_BITS = 64
_OPEN = frozenset({TakeoverPhase.WANTED, TakeoverPhase.INSERTING})


class TakeoverTable:
    """Takeovers by dead incarnation, with the fences of each.

    The server writes :meth:`rows_due`, sends :meth:`fences_due` and reports what
    came of both; decisions are asked for whenever something was reported.
    """

    def __init__(
        self, *, incarnation: str, settings: RecoverySettings, rng: random.Random
    ) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._rng = rng
        self._takeovers_by_dead: dict[str, Takeover] = {}
        self._target_ids: dict[str, None] = {}
        self._gone_target_ids: set[str] = set()
        self._over_by_dead: dict[str, float] = {}

    @property
    def takeovers_by_dead(self) -> Mapping[str, Takeover]:
        """Every row, for reading only."""
        return MappingProxyType(self._takeovers_by_dead)

    def observe_targets(self, target_ids: Collection[str]) -> None:
        """Add targets that any home may have reached, of every failure domain.

        A missing one could hold a run that nobody asks about, so name all that
        are configured or were ever seen, reachable or not.
        """
        for target_id in target_ids:
            if target_id in self._target_ids:
                continue
            self._target_ids[target_id] = None
            for takeover in self._takeovers_by_dead.values():
                takeover.add_target(target_id)

    def target_gone(self, target_id: str) -> None:
        """Report that a target's process ended for good, with all that it ran.

        A restarted runner is a new target here: what the old process ran can no
        longer be told by anybody.
        """
        self._gone_target_ids.add(target_id)
        for takeover in self._takeovers_by_dead.values():
            takeover.note_gone(target_id)

    def request_takeover(self, dead: str) -> Takeover:
        """Ask to succeed an incarnation; harmless when it is alive after all.

        :param dead: an incarnation that is suspected or known to have ended.
        """
        takeover = self._takeovers_by_dead.get(dead)
        if takeover is not None:
            return takeover
        takeover = Takeover(
            row=TakeoverRow(
                dead=dead,
                successor=self._incarnation,
                token=f"{self._rng.getrandbits(_TOKEN_BITS):016x}",
            ),
        )
        for target_id in self._target_ids:
            takeover.add_target(target_id)
        for target_id in self._gone_target_ids:
            takeover.note_gone(target_id)
        self._takeovers_by_dead[dead] = takeover
        return takeover

    def incarnation_ended(self, dead: str, now: float) -> None:
        """Report that the process of an incarnation has ended, not only its links.

        A newer incarnation of the same instance proves it. Only then do start-by
        times and leases bound its last run.

        :param now: monotonic time, in seconds.
        """
        latest_end_at = now + self._settings.over_after_s
        self._over_by_dead.setdefault(dead, latest_end_at)

    def rows_due(self) -> Sequence[TakeoverRow]:
        """Return rows to insert, each only if its key is absent.

        Each is returned once; report its end with :meth:`row_confirmed` or
        :meth:`insert_unanswered`.
        """
        due = []
        for takeover in self._takeovers_by_dead.values():
            if takeover.phase is TakeoverPhase.WANTED:
                takeover.phase = TakeoverPhase.INSERTING
                due.append(takeover.row)
        return due

    def row_confirmed(self, row: TakeoverRow) -> None:
        """Report the row that the store holds, ours or another's.

        :param row: the row inserted, the one in its place, or one read.
        """
        takeover = self.request_takeover(row.dead)
        takeover.row = row
        # A row with our name is ours, also after a lost answer or when this table
        # forgot it: no other process has the name of this incarnation.
        if row.successor == self._incarnation:
            takeover.phase = TakeoverPhase.FENCING
        else:
            takeover.phase = TakeoverPhase.YIELDED

    def insert_unanswered(self, dead: str) -> None:
        """Report that the store gave no answer: the same insert is tried again."""
        takeover = self._takeovers_by_dead.get(dead)
        if takeover is not None and takeover.phase is TakeoverPhase.INSERTING:
            takeover.phase = TakeoverPhase.WANTED

    def lineage_of(self, home: str) -> Sequence[str]:
        """Return a home and its successors, as far as rows are known.

        The last one decides for the home's submissions, while it lives. When it
        dies too, the one who succeeds it asks the targets about the whole line,
        since each of the line may have begun tasks.
        """
        line = [home]
        while True:
            takeover = self._takeovers_by_dead.get(line[-1])
            if takeover is None or takeover.phase in _OPEN:
                return line
            if takeover.row.successor in line:
                return line
            line.append(takeover.row.successor)

    def successor_of(self, home: str) -> str | None:
        """Return the incarnation that decides in a home's place, if known."""
        line = self.lineage_of(home)
        return line[-1] if len(line) > 1 else None

    def fence_lineage(self, home: str) -> None:
        """Fence every earlier home of a line whose last member is this one.

        Needed after succeeding a successor: the row of the first home names the
        dead one, yet its targets' reports are needed here.
        """
        line = self.lineage_of(home)
        if line[-1] != self._incarnation:
            return
        for dead in line[:-1]:
            self._takeovers_by_dead[dead].phase = TakeoverPhase.FENCING

    def fences_due(self, now: float) -> Sequence[FenceDue]:
        """Return fences to send now; each is in flight until reported.

        :param now: monotonic time, in seconds.
        """
        due = []
        self._expire(now)
        for dead, takeover in self._takeovers_by_dead.items():
            if takeover.phase is not TakeoverPhase.FENCING:
                continue
            for target_id in takeover.targets_due(now):
                takeover.asked_by_target.add(target_id)
                due.append(FenceDue(dead=dead, target_id=target_id))
        return due

    def fenced(self, dead: str, report: FenceReport, now: float) -> None:
        """Report a target's answer to a fence.

        :param now: monotonic time, in seconds.
        """
        takeover = self._takeovers_by_dead.get(dead)
        if takeover is None:
            return
        takeover.asked_by_target.discard(report.target_id)
        takeover.note_report(report)
        takeover.ask_again_at_by_target[report.target_id] = (
            now + self._settings.poll_running_s
        )

    def fence_failed(self, dead: str, target_id: str, now: float) -> None:
        """Report that a target did not answer a fence.

        :param now: monotonic time, in seconds.
        """
        takeover = self._takeovers_by_dead.get(dead)
        if takeover is None:
            return
        takeover.asked_by_target.discard(target_id)
        takeover.ask_again_at_by_target[target_id] = now + self._settings.fence_retry_s

    def decide(
        self, *, key: TaskKey, home: str, repeatable: bool, now: float
    ) -> TaskDecision:
        """Decide one task by every home of its line.

        :param home: incarnation that its ticket or claim names.
        :param now: monotonic time, in seconds.
        """
        return self._decide_in(self._view(home, now), key, repeatable)

    def decide_submission(
        self,
        *,
        submission_id: str,
        home: str,
        tasks_total: int,
        repeatable: bool,
        now: float,
    ) -> SubmissionDecision:
        """Decide a submission of a home that this incarnation succeeds.

        :param home: incarnation that its ticket or claim names.
        :param now: monotonic time, in seconds.
        """
        view = self._view(home, now)
        keys = [TaskKey(submission_id, index) for index in range(tasks_total)]
        return decide_submission(
            submission_id=submission_id,
            decisions=[self._decide_in(view, key, repeatable) for key in keys],
            any_begun=any(_run_of(view.line, key) is not None for key in keys),
        )

    def _view(self, home: str, now: float) -> "_View":
        line = self._dead_line(home)
        for takeover in line:
            takeover.used_at = now
        overs = [self._over_by_dead.get(takeover.row.dead) for takeover in line]
        known = [over for over in overs if over is not None]
        return _View(
            line=line,
            fenced=in_any(line, FenceState.FENCED),
            unfenced=in_any(line, FenceState.DUE),
            gone=in_any(line, FenceState.GONE),
            forgetful=in_any(line, FenceState.FORGETFUL),
            latest_end_at=max(known) if known and len(known) == len(overs) else None,
            now=now,
        )

    def _decide_in(self, view: "_View", key: TaskKey, repeatable: bool) -> TaskDecision:
        # Without the row another successor may decide too; without any target
        # nothing denies a run.
        if not self._target_ids or not _decides(view.line):
            return Undetermined(silent_targets=())
        return decide_task(
            repeatable=repeatable,
            begun=_run_of(view.line, key),
            fenced_targets=view.fenced,
            unfenced_targets=view.unfenced,
            gone_targets=view.gone,
            forgetful_targets=view.forgetful,
            latest_end_at=view.latest_end_at,
            now=view.now,
        )

    def _expire(self, now: float) -> None:
        # 300 hosts are replaced on an ordinary day, and each row lists every
        # target: kept for good they would grow past the memory of a host. A
        # forgotten one starts anew from its row in the store.
        for dead, takeover in list(self._takeovers_by_dead.items()):
            if takeover.used_at is None:
                takeover.used_at = now
            elif now - takeover.used_at >= self._settings.keep_s:
                del self._takeovers_by_dead[dead]

    def _dead_line(self, home: str) -> Sequence[Takeover]:
        return [
            self._takeovers_by_dead[dead]
            for dead in self.lineage_of(home)
            if dead in self._takeovers_by_dead
        ]


@dataclass(frozen=True, slots=True, kw_only=True)
class _View:
    """What targets told of a line of dead homes, for one round of decisions."""

    line: Sequence[Takeover]
    """Takeovers, the first home's first."""

    fenced: Collection[str]
    """Targets that told everything."""

    unfenced: Collection[str]
    """Targets that did not answer."""

    gone: Collection[str]
    """Targets that ended."""

    forgetful: Collection[str]
    """Targets that forgot runs."""

    latest_end_at: float | None
    """Time by which no run of the line goes on, if known."""

    now: float
    """Monotonic time, in seconds."""


def _decides(line: Sequence[Takeover]) -> bool:
    if not line:
        return False
    return all(takeover.phase is TakeoverPhase.FENCING for takeover in line)


def _run_of(line: Sequence[Takeover], key: TaskKey) -> ReportedRun | None:
    best: ReportedRun | None = None
    for takeover in line:
        best = better_run(best, takeover.runs_by_key.get(key))
    return best
