"""The targets that a leader gives orders to: the directory names them."""

import time
from collections.abc import Callable, Mapping
from typing import Protocol

from cassiaturn import workload
from cassiaturn.entities import TargetReport
from cassiaturn.fleet._directory import Directory
from cassiaturn.fleet._leader_load import LeaderLoad
from cassiaturn.fleet._losses import Losses
from cassiaturn.fleet._ports import Authority, TargetCalls
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.fleet._target_link import TargetEvents, TargetLink
from cassiaturn.observability import Event, SeldomLog, log_event
from cassiaturn.workload import Ports, Run, StartOrder, Tables, WorkloadSettings


class TargetOrders(TargetEvents, Ports, Protocol):
    """What the leader is told of targets, and gives orders by."""


class HeldTargets:
    """A link to each target of the directory whose service is configured."""

    def __init__(
        self,
        *,
        reports_by_id: Mapping[str, TargetReport],
        tables: Tables,
        orders: TargetOrders,
        calls: TargetCalls,
        routing: CurrentRouting,
        load: LeaderLoad,
        settings: WorkloadSettings,
        token: int,
        on_change: Callable[[str, TargetReport | None], None],
        on_news: Callable[[], None],
    ) -> None:
        """Begin with what an earlier leader handed on.

        :param tables: the leader's, where each target has its row.
        :param token: the leader's.
        :param on_change: told of an entry that changed; None: it is gone.
        :param on_news: called when there may be more room than before.
        """
        self.superseded_ids: set[str] = set()
        """Targets that last answered that they obey a later leader."""

        self._tables = tables
        self._orders = orders
        self._calls = calls
        self._routing = routing
        self._load = load
        self._settings = settings
        self._token = token
        self._on_change = on_change
        self._on_news = on_news
        self._directory = Directory(reports_by_id=reports_by_id)
        self._links_by_id: dict[str, TargetLink] = {}
        self._losses = Losses()
        self._ignored = SeldomLog()

    @property
    def reports_by_id(self) -> Mapping[str, TargetReport]:
        """The directory of targets."""
        return self._directory.reports_by_id

    def open(self) -> None:
        """Take every known target."""
        for report in list(self.reports_by_id.values()):
            self._take_report(report)

    def close(self) -> None:
        """Give no more orders."""
        for link in self._links_by_id.values():
            link.close()

    def use_token(self, token: int) -> None:
        """Give every further order under another token."""
        self._token = token
        self.superseded_ids.clear()
        for link in self._links_by_id.values():
            link.use_token(token)

    def start(self, order: StartOrder) -> None:
        """Order a start."""
        self._links_by_id[order.target_id].start(order)

    def stop(self, run: Run) -> None:
        """Order a run to stop, unless its target was let go."""
        link = self._links_by_id.get(run.target_id)
        if link is not None:
            link.stop(run)

    def tick(self, now: float) -> None:
        """Renew leases that are due, and let go what is missing for too long.

        :param now: time in seconds.
        """
        for link in list(self._links_by_id.values()):
            link.tick(now)
        self._remove_missing(now)

    def on_directory(self, entries_by_key: Mapping[str, TargetReport]) -> None:
        """Take in the whole directory."""
        for target_id in set(self.reports_by_id) - set(entries_by_key):
            self._note_missing(target_id)
        for report in entries_by_key.values():
            self._take_report(report)

    def on_directory_change(self, key: str, entry: TargetReport | None) -> None:
        """Take in an entry that changed; None: it is gone."""
        if entry is None:
            self._note_missing(key)
        else:
            self._take_report(entry)

    def remove_if_missing(self, target_id: str, reason: str) -> None:
        """Let a target go on which nothing runs, if its entry is gone."""
        if self._directory.is_missing(target_id):
            self._remove(target_id, reason)

    def apply_routing(self) -> None:
        """Hold the targets of the services that are configured now."""
        for report in list(self.reports_by_id.values()):
            has_link = report.target_id in self._links_by_id
            if self._is_configured(report) and not has_link:
                self._take_report(report)
            elif has_link and not self._is_configured(report):
                self._let_go(report.target_id)

    def _take_report(self, report: TargetReport) -> None:
        target_id = report.target_id
        changed = self._directory.put(report)
        report = self.reports_by_id[target_id]
        if self._is_configured(report):
            workload.on_target(self._tables, self._orders, report)
            if target_id not in self._links_by_id:
                self._open_link(report)
        elif changed:
            self._ignored.log(
                Event.TARGET_IGNORED,
                key=target_id,
                service=report.service,
                version=self._routing.version,
            )
        if changed:
            self._on_change(target_id, report)
            self._on_news()

    def _is_configured(self, report: TargetReport) -> bool:
        """Return whether a target's service is one that jobs can be meant for.

        Others may write into the directory. What no queue is sent to is not called: it
        may be no target, and one that never answers would keep a new leader waiting.
        """
        table = self._routing.current
        return table is None or report.service in table.services_by_name

    def _open_link(self, report: TargetReport) -> None:
        target = self._tables.targets_by_id[report.target_id]
        link = TargetLink(
            authority=Authority(
                target_id=report.target_id,
                address=report.address,
                token=self._token,
            ),
            calls=self._calls,
            events=self._orders,
            has_runs=lambda: bool(target.runs_by_ref),
            has_tight_runs=lambda: workload.has_tight_runs(self._tables, target),
            ended_seen=lambda: target.ended_seen,
            targets=lambda: len(self._links_by_id),
            losses=self._losses,
            load=self._load,
            settings=self._settings,
        )
        self._links_by_id[report.target_id] = link
        link.open()

    def _note_missing(self, target_id: str) -> None:
        if not self._directory.note_missing(target_id, time.monotonic()):
            return
        target = self._tables.targets_by_id.get(target_id)
        if target is not None and target.silent and not target.runs_by_ref:
            self._remove(target_id, "left_directory")

    def _remove_missing(self, now: float) -> None:
        for target_id in self._directory.overdue(now):
            target = self._tables.targets_by_id.get(target_id)
            if target is None or not target.runs_by_ref:
                self._remove(target_id, "left_directory")
            else:
                target.leaving = True

    def _remove(self, target_id: str, reason: str) -> None:
        self.superseded_ids.discard(target_id)
        self._directory.remove(target_id)
        self._close_link(target_id, reason)
        self._on_change(target_id, None)

    def _let_go(self, target_id: str) -> None:
        """Give up a target whose service is gone, unless something still runs there."""
        if not self._tables.targets_by_id[target_id].runs_by_ref:
            self._close_link(target_id, "service_gone")

    def _close_link(self, target_id: str, reason: str) -> None:
        link = self._links_by_id.pop(target_id, None)
        if link is not None:
            link.close()
        now = time.monotonic()
        workload.on_target_gone(self._tables, self._orders, target_id, reason, now)
        log_event(Event.TARGET_REMOVED, target=target_id, reason=reason)
