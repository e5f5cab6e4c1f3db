"""A member's part in keeping estimates over a change of leader.

As a follower it keeps what the leader sends. When it begins to lead, it starts from
that, or from the row of the table service if it was sent nothing. As the leader it
sends what changes to its followers, at most once a second, and writes the row.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Mapping, Sequence

from cassiaturn import workload
from cassiaturn.fleet._estimates_feed import EstimatesFeed
from cassiaturn.fleet._estimates_row import ROW_KEY, EstimatesRow
from cassiaturn.fleet._failures import report_failure
from cassiaturn.fleet._kept_estimates import KeptEstimates
from cassiaturn.observability import Event, FleetMetrics, SeldomLog, log_event
from cassiaturn.services import TableService
from cassiaturn.sharing import Estimate, EstimateKind, EstimateSummary
from cassiaturn.v1 import fleet_pb2 as pb
from cassiaturn.workload import Tables

UPDATE_PERIOD_S = 1.0
"""Period in which a leader looks for changed estimates, in seconds: it visits all
targets, and a leader that is lost has run for much longer than that."""

WRITE_PERIOD_S = 10.0
"""Period in which a leader writes the row, in seconds: a tenth of a write a second, of
the 600 that the table service can take."""

MILLISECONDS = 1000


class SharedEstimates:
    """The estimates of one member; only members that share estimates have one."""

    def __init__(
        self, *, table: TableService, link_mbps: float, metrics: FleetMetrics
    ) -> None:
        """Start without estimates.

        :param table: holds the row.
        :param link_mbps: bandwidth of the host's link, in megabits per second.
        :param metrics: exposes the counts.
        """
        self.feed = EstimatesFeed(link_mbps=link_mbps)
        self._kept = KeptEstimates()
        self._row = EstimatesRow(table=table)
        self._tables: Tables | None = None
        self._row_call: asyncio.Task[None] | None = None
        self._update_at = 0.0
        self._write_at = 0.0
        self._counts: Counter[str] = Counter()
        self._ignored_log = SeldomLog()
        metrics.observe_counts(
            "cassiaturn.estimates",
            "Estimates sent, restored and ignored, and writes of their row.",
            self._read_counts,
        )
        metrics.observe_gauge(
            "cassiaturn.kept_estimates",
            "Estimates that this member keeps for when it leads.",
            lambda: self._kept.count,
        )

    # Following.

    def read(self, message: pb.Estimates, leader: str) -> None:
        """Keep what the leader sent.

        :param leader: member id of the leader.
        """
        self._note_ignored(self._kept.read(message, time.monotonic()), leader)

    def end_following(self, heard_at: float) -> None:
        """Let the estimates grow older: the leader is not followed any more.

        :param heard_at: monotonic time of its last frame, in seconds.
        """
        self._kept.end_term(heard_at)

    # Leading.

    def begin_term(self, tables: Tables) -> None:
        """Start a term from the estimates that this member keeps.

        :param tables: the leader's tables, without targets.
        """
        now = time.monotonic()
        self._tables = tables
        self._update_at = now + UPDATE_PERIOD_S
        self._write_at = now + WRITE_PERIOD_S
        self.feed.begin(EstimateSummary())
        self._row.reset()
        if self._kept.count:
            self._restore(tables, self._kept.estimates, "leader", now)
        else:
            self._row_call = asyncio.ensure_future(self._restore_row(tables))
            self._row_call.add_done_callback(report_failure)

    def tick(self, now: float) -> None:
        """Send what has changed, and write the row, if either is due.

        :param now: monotonic time in seconds.
        """
        tables = self._tables
        if tables is None or now < self._update_at:
            return
        self._update_at = now + UPDATE_PERIOD_S
        learned = workload.list_estimates(tables, now)
        self.feed.note_changed(self.feed.summary.update(learned, now))
        is_idle = self._row_call is None or self._row_call.done()
        if now >= self._write_at and is_idle:
            self._write_at = now + WRITE_PERIOD_S
            estimates = self.feed.summary.estimates
            self._row_call = asyncio.ensure_future(self._write_row(estimates))
            self._row_call.add_done_callback(report_failure)

    def end_term(self) -> None:
        """Keep what this member has learned as the leader."""
        tables, self._tables = self._tables, None
        if tables is None:
            return
        if self._row_call is not None:
            self._row_call.cancel()
        now = time.monotonic()
        summary = self.feed.summary
        summary.update(workload.list_estimates(tables, now), now)
        self._kept.keep_own(summary.estimates)
        self.feed.begin(EstimateSummary())

    async def _restore_row(self, tables: Tables) -> None:
        """Use the row where nothing was learned yet; leading does not wait for it."""
        read = await self._row.read(time.monotonic())
        if self._tables is not tables:
            return
        self._note_ignored(read.ignored, ROW_KEY)
        if read.problem:
            log_event(Event.ESTIMATES_MISSING, reason=read.problem)
        else:
            self._restore(tables, read.estimates, "row", time.monotonic())

    def _restore(
        self, tables: Tables, estimates: Sequence[Estimate], source: str, now: float
    ) -> None:
        used = workload.restore_estimates(tables, estimates, now)
        summary = self.feed.summary
        summary.begin(used, workload.list_estimates(tables, now))
        self.feed.note_changed([estimate.key for estimate in used])
        self._counts["restored"] += len(used)
        count_by_kind = Counter(estimate.key.kind for estimate in used)
        oldest_at = min((estimate.learned_at for estimate in used), default=now)
        log_event(
            Event.ESTIMATES_RESTORED,
            source=source,
            targets=count_by_kind[EstimateKind.TARGET],
            labels=count_by_kind[EstimateKind.LABEL],
            routes=count_by_kind[EstimateKind.ROUTE],
            oldest_ms=round((now - oldest_at) * MILLISECONDS),
            whole=self._kept.is_whole,
        )

    async def _write_row(self, estimates: Sequence[Estimate]) -> None:
        is_written = await self._row.write(estimates)
        if is_written is None:
            return
        self._counts["rows_written" if is_written else "rows_failed"] += 1
        log_event(Event.ESTIMATES_STORED, written=is_written)

    def _note_ignored(self, count: int, source: str) -> None:
        if count:
            self._counts["ignored"] += count
            self._ignored_log.log(Event.ESTIMATES_IGNORED, key=source, count=count)

    def _read_counts(self) -> Mapping[str, float]:
        return {**self._counts, "sent": self.feed.sent_entries}
