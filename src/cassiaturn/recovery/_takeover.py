"""Determines the successor of a dead incarnation and tracks its fences.

Load pattern: a host dies or seems to, and several instances detect it and get
resubmissions from its callers at the same time. A conditional insert makes exactly
one of them the successor; without it, two instances could each find that a task
never began, and both run it. The cost is one write per incarnation, regardless of
the number of its submissions.
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
    targets_in_state,
)
from cassiaturn.recovery._reported_run import FenceReport, ReportedRun
from cassiaturn.recovery._rows import TakeoverRow
from cassiaturn.recovery._settings import RecoverySettings
from cassiaturn.recovery._submission import SubmissionDecision, decide_submission

_TOKEN_BITS = 64
_UNDECIDED_PHASES = frozenset({TakeoverPhase.WANTED, TakeoverPhase.INSERTING})


class TakeoverTable:
    """Takeovers by dead incarnation, with the fences of each.

    The server inserts :meth:`rows_due`, sends :meth:`fences_due` and reports the
    results of both; it requests decisions again after each report.
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
        self._latest_end_by_dead: dict[str, float] = {}

    @property
    def takeovers_by_dead(self) -> Mapping[str, Takeover]:
        """Read-only view of every takeover, by dead incarnation."""
        return MappingProxyType(self._takeovers_by_dead)

    def observe_targets(self, target_ids: Collection[str]) -> None:
        """Add targets that any home may have reached, in every failure domain.

        A run at a missing target would go unnoticed, so pass all targets that are
        configured or were ever seen, reachable or not.
        """
        for target_id in target_ids:
            if target_id in self._target_ids:
                continue
            self._target_ids[target_id] = None
            for takeover in self._takeovers_by_dead.values():
                takeover.add_target(target_id)

    def target_gone(self, target_id: str) -> None:
        """Record that the process of a target ended, and all its runs with it.

        A restarted runner is a new target: it cannot report what the old process
        ran.
        """
        self._gone_target_ids.add(target_id)
        for takeover in self._takeovers_by_dead.values():
            takeover.note_gone(target_id)

    def request_takeover(self, dead: str) -> Takeover:
        """Request to take over an incarnation; harmless if it is still alive.

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
        """Record that the process of an incarnation ended, not only its connections.

        A newer incarnation of the same instance proves this. Only then do start-by
        times and leases bound the end of its last run.

        :param now: monotonic time, in seconds.
        """
        latest_end_at = now + self._settings.latest_end_after_s
        self._latest_end_by_dead.setdefault(dead, latest_end_at)

    def rows_due(self) -> Sequence[TakeoverRow]:
        """Return rows to insert, each on the condition that its key is absent.

        Each is returned once; report the result with :meth:`row_confirmed` or
        :meth:`insert_unanswered`.
        """
        due = []
        for takeover in self._takeovers_by_dead.values():
            if takeover.phase is TakeoverPhase.WANTED:
                takeover.phase = TakeoverPhase.INSERTING
                due.append(takeover.row)
        return due

    def row_confirmed(self, row: TakeoverRow) -> None:
        """Record the row that the store holds, of this incarnation or another.

        :param row: the row that was inserted, found in its place, or read.
        """
        takeover = self.request_takeover(row.dead)
        takeover.row = row
        # Incarnations are unique, so a row that names this one is its own, even
        # after a lost answer or after this table forgot the takeover.
        if row.successor == self._incarnation:
            takeover.phase = TakeoverPhase.FENCING
        else:
            takeover.phase = TakeoverPhase.YIELDED

    def insert_unanswered(self, dead: str) -> None:
        """Record that the store did not answer; the same insert is retried."""
        takeover = self._takeovers_by_dead.get(dead)
        if takeover is not None and takeover.phase is TakeoverPhase.INSERTING:
            takeover.phase = TakeoverPhase.WANTED

    def lineage_of(self, home: str) -> Sequence[str]:
        """Return a home and its chain of successors, as far as rows are known.

        The last one decides on the home's submissions while it is alive. If it
        dies too, its successor fences every incarnation of the lineage, since each
        may have begun tasks.
        """
        lineage = [home]
        while True:
            takeover = self._takeovers_by_dead.get(lineage[-1])
            if takeover is None or takeover.phase in _UNDECIDED_PHASES:
                return lineage
            if takeover.row.successor in lineage:
                return lineage
            lineage.append(takeover.row.successor)

    def successor_of(self, home: str) -> str | None:
        """Return the incarnation that decides instead of a home, if known."""
        lineage = self.lineage_of(home)
        return lineage[-1] if len(lineage) > 1 else None

    def fence_lineage(self, home: str) -> None:
        """Fence every earlier home of a lineage that ends with this incarnation.

        Needed after taking over from a successor: the row of the first home names
        that dead successor, but this incarnation needs the reports about both.
        """
        lineage = self.lineage_of(home)
        if lineage[-1] != self._incarnation:
            return
        for dead in lineage[:-1]:
            self._takeovers_by_dead[dead].phase = TakeoverPhase.FENCING

    def fences_due(self, now: float) -> Sequence[FenceDue]:
        """Return fences to send now; each is in flight until its result is reported.

        :param now: monotonic time, in seconds.
        """
        due = []
        self._expire(now)
        for dead, takeover in self._takeovers_by_dead.items():
            if takeover.phase is not TakeoverPhase.FENCING:
                continue
            for target_id in takeover.targets_due(now):
                takeover.fences_in_flight.add(target_id)
                due.append(FenceDue(dead=dead, target_id=target_id))
        return due

    def fenced(self, dead: str, report: FenceReport, now: float) -> None:
        """Record a target's reply to a fence.

        :param now: monotonic time, in seconds.
        """
        takeover = self._takeovers_by_dead.get(dead)
        if takeover is None:
            return
        takeover.fences_in_flight.discard(report.target_id)
        takeover.note_report(report)
        takeover.next_fence_at_by_target[report.target_id] = (
            now + self._settings.poll_running_s
        )

    def fence_failed(self, dead: str, target_id: str, now: float) -> None:
        """Record that a target did not answer a fence.

        :param now: monotonic time, in seconds.
        """
        takeover = self._takeovers_by_dead.get(dead)
        if takeover is None:
            return
        takeover.fences_in_flight.discard(target_id)
        takeover.next_fence_at_by_target[target_id] = now + self._settings.fence_retry_s

    def decide(
        self, *, key: TaskKey, home: str, repeatable: bool, now: float
    ) -> TaskDecision:
        """Decide on one task from the reports about every home of its lineage.

        :param home: incarnation that its ticket or claim names.
        :param now: monotonic time, in seconds.
        """
        return self._decide_in(self._lineage_reports(home, now), key, repeatable)

    def decide_submission(
        self,
        *,
        submission_id: str,
        home: str,
        tasks_total: int,
        repeatable: bool,
        now: float,
    ) -> SubmissionDecision:
        """Decide on a submission of a home that this incarnation has taken over.

        :param home: incarnation that its ticket or claim names.
        :param now: monotonic time, in seconds.
        """
        reports = self._lineage_reports(home, now)
        keys = [TaskKey(submission_id, index) for index in range(tasks_total)]
        return decide_submission(
            submission_id=submission_id,
            decisions=[self._decide_in(reports, key, repeatable) for key in keys],
            any_begun=any(_run_of(reports.lineage, key) is not None for key in keys),
        )

    def _lineage_reports(self, home: str, now: float) -> "_LineageReports":
        lineage = self._lineage_takeovers(home)
        for takeover in lineage:
            takeover.used_at = now
        ends = [self._latest_end_by_dead.get(takeover.row.dead) for takeover in lineage]
        known = [end for end in ends if end is not None]
        return _LineageReports(
            lineage=lineage,
            fenced=targets_in_state(lineage, FenceState.FENCED),
            unfenced=targets_in_state(lineage, FenceState.DUE),
            gone=targets_in_state(lineage, FenceState.GONE),
            forgetful=targets_in_state(lineage, FenceState.FORGETFUL),
            latest_end_at=max(known) if known and len(known) == len(ends) else None,
            now=now,
        )

    def _decide_in(
        self, reports: "_LineageReports", key: TaskKey, repeatable: bool
    ) -> TaskDecision:
        # Without a confirmed row another incarnation may decide too; without known
        # targets no report rules out a run.
        if not self._target_ids or not _is_successor(reports.lineage):
            return Undetermined(silent_targets=())
        return decide_task(
            repeatable=repeatable,
            begun=_run_of(reports.lineage, key),
            fenced_targets=reports.fenced,
            unfenced_targets=reports.unfenced,
            gone_targets=reports.gone,
            forgetful_targets=reports.forgetful,
            latest_end_at=reports.latest_end_at,
            now=reports.now,
        )

    def _expire(self, now: float) -> None:
        # 300 hosts are replaced on an ordinary day, and each takeover lists every
        # target: without expiry they would outgrow the memory of a host. An expired
        # one is restarted from its row in the store.
        for dead, takeover in list(self._takeovers_by_dead.items()):
            if takeover.used_at is None:
                takeover.used_at = now
            elif now - takeover.used_at >= self._settings.keep_s:
                del self._takeovers_by_dead[dead]

    def _lineage_takeovers(self, home: str) -> Sequence[Takeover]:
        return [
            self._takeovers_by_dead[dead]
            for dead in self.lineage_of(home)
            if dead in self._takeovers_by_dead
        ]


@dataclass(frozen=True, slots=True, kw_only=True)
class _LineageReports:
    """Reports of targets about a lineage of dead homes, for one round of decisions."""

    lineage: Sequence[Takeover]
    """Takeovers in order of succession."""

    fenced: Collection[str]
    """Targets that are fenced and reported every run."""

    unfenced: Collection[str]
    """Targets that did not answer a fence."""

    gone: Collection[str]
    """Targets whose process ended."""

    forgetful: Collection[str]
    """Targets that are fenced but forgot runs."""

    latest_end_at: float | None
    """Monotonic time by which every run of the lineage must have ended, in seconds;
    None if unknown."""

    now: float
    """Monotonic time, in seconds."""


def _is_successor(lineage: Sequence[Takeover]) -> bool:
    if not lineage:
        return False
    return all(takeover.phase is TakeoverPhase.FENCING for takeover in lineage)


def _run_of(lineage: Sequence[Takeover], key: TaskKey) -> ReportedRun | None:
    best: ReportedRun | None = None
    for takeover in lineage:
        best = better_run(best, takeover.runs_by_key.get(key))
    return best
