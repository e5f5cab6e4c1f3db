"""Maintains the leader's links to the targets in the directory."""

import time
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from cassiaturn import workload
from cassiaturn.entities import TargetReport
from cassiaturn.fleet._answer_loss import AnswerLossMonitor
from cassiaturn.fleet._directory import Directory
from cassiaturn.fleet._leader_load import LeaderLoad
from cassiaturn.fleet._ports import Authority, TargetCalls
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.fleet._target_link import TargetEvents, TargetLink
from cassiaturn.fleet._told_ends import Receipt
from cassiaturn.observability import Event, SeldomLog, log_event
from cassiaturn.workload import Ports, Run, StartOrder, Tables, WorkloadSettings


class LeaderPorts(TargetEvents, Ports, Protocol):
    """The leader as its targets and its tables see it."""


class LeaderTargets:
    """One link to each target of the directory whose service is configured."""

    def __init__(
        self,
        *,
        reports_by_id: Mapping[str, TargetReport],
        tables: Tables,
        leader_ports: LeaderPorts,
        calls: TargetCalls,
        routing: CurrentRouting,
        load: LeaderLoad,
        settings: WorkloadSettings,
        token: int,
        on_change: Callable[[str, TargetReport | None], None],
        on_capacity_change: Callable[[], None],
    ) -> None:
        """Start with the directory that an earlier leader handed over.

        :param reports_by_id: that directory, by target id.
        :param tables: the leader's tables, with a row for each target.
        :param leader_ports: receives the events of targets and the decisions of the
            tables.
        :param token: the leader's fencing token.
        :param on_change: receives an entry that changed, or None if it was removed.
        :param on_capacity_change: called when more capacity may be free.
        """
        self.superseded_ids: set[str] = set()
        """Targets whose last answer was that they obey a later leader."""

        self._tables = tables
        self._leader_ports = leader_ports
        self._calls = calls
        self._routing = routing
        self._load = load
        self._settings = settings
        self._token = token
        self._on_change = on_change
        self._on_capacity_change = on_capacity_change
        self._directory = Directory(reports_by_id=reports_by_id)
        self._links_by_id: dict[str, TargetLink] = {}
        self._answer_loss = AnswerLossMonitor()
        self._ignored_log = SeldomLog()

    @property
    def reports_by_id(self) -> Mapping[str, TargetReport]:
        """The directory of targets."""
        return self._directory.reports_by_id

    def open(self) -> None:
        """Open a link to every known target whose service is configured."""
        for report in list(self.reports_by_id.values()):
            self._apply_report(report)

    def close(self) -> None:
        """Close every link; no more orders are sent."""
        for link in self._links_by_id.values():
            link.close()

    def use_token(self, token: int) -> None:
        """Send all further orders with another token.

        :param token: the new fencing token.
        """
        self._token = token
        self.superseded_ids.clear()
        for link in self._links_by_id.values():
            link.use_token(token)

    def start(self, order: StartOrder) -> None:
        """Send an order to start a run."""
        self._links_by_id[order.target_id].start(order)

    def stop(self, run: Run) -> None:
        """Send an order to stop a run, unless the link to its target was closed."""
        link = self._links_by_id.get(run.target_id)
        if link is not None:
            link.stop(run)

    def note_ends(
        self, target_id: str, sequence: int, receipts: Sequence[Receipt]
    ) -> None:
        """Acknowledge ended runs once the members that wait for them were told.

        :param sequence: sequence number of the last of them.
        :param receipts: receipts of the frames that tell of them.
        """
        link = self._links_by_id.get(target_id)
        if link is not None:
            link.note_ends(sequence, receipts)

    def tick(self, now: float) -> None:
        """Renew leases that are due, and remove targets that are missing for too long.

        :param now: monotonic time in seconds.
        """
        for link in list(self._links_by_id.values()):
            link.tick(now)
        self._remove_missing(now)

    def on_directory(self, entries_by_key: Mapping[str, TargetReport]) -> None:
        """Apply a snapshot of the directory.

        :param entries_by_key: all its entries.
        """
        for target_id in set(self.reports_by_id) - set(entries_by_key):
            self._note_missing(target_id)
        for report in entries_by_key.values():
            self._apply_report(report)

    def on_directory_change(self, key: str, entry: TargetReport | None) -> None:
        """Apply a change of the directory.

        :param key: key of the entry.
        :param entry: its new value; None if it was removed.
        """
        if entry is None:
            self._note_missing(key)
        else:
            self._apply_report(entry)

    def remove_if_missing(self, target_id: str, reason: str) -> None:
        """Remove a target without runs if its directory entry is gone.

        :param reason: reason of the removal, for the log.
        """
        if self._directory.is_missing(target_id):
            self._remove(target_id, reason)

    def apply_routing(self) -> None:
        """Open and close links to match the services that are configured now."""
        for report in list(self.reports_by_id.values()):
            has_link = report.target_id in self._links_by_id
            if self._is_configured(report) and not has_link:
                self._apply_report(report)
            elif has_link and not self._is_configured(report):
                self._release_unconfigured(report.target_id)

    def _apply_report(self, report: TargetReport) -> None:
        target_id = report.target_id
        link = self._links_by_id.get(target_id)
        changed = self._directory.put(
            report, listed_incarnation=link.incarnation if link is not None else 0
        )
        report = self.reports_by_id[target_id]
        if self._is_configured(report):
            workload.on_target_report(self._tables, self._leader_ports, report)
            if link is None:
                self._open_link(report)
            elif link.authority.address != report.address:
                link.use_address(report.address)
        elif changed:
            self._ignored_log.log(
                Event.TARGET_IGNORED,
                key=target_id,
                service=report.service,
                version=self._routing.version,
            )
        if changed:
            self._on_change(target_id, report)
            self._on_capacity_change()

    def _is_configured(self, report: TargetReport) -> bool:
        """Return whether jobs can be routed to a target's service.

        The directory may hold entries of other writers. An entry that no route leads to
        is not called: it may not be a target at all, and one that never answers would
        delay a new leader.
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
            events=self._leader_ports,
            has_runs=lambda: bool(target.runs_by_ref),
            has_tight_runs=lambda: workload.has_tight_runs(self._tables, target),
            may_start=lambda: self._tables.may_start_on(target),
            targets=lambda: len(self._links_by_id),
            answer_loss=self._answer_loss,
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

    def _release_unconfigured(self, target_id: str) -> None:
        """Close the link to a target of a removed service, unless it has runs."""
        if not self._tables.targets_by_id[target_id].runs_by_ref:
            self._close_link(target_id, "service_gone")

    def _close_link(self, target_id: str, reason: str) -> None:
        link = self._links_by_id.pop(target_id, None)
        if link is not None:
            link.close()
        now = time.monotonic()
        workload.on_target_gone(
            self._tables, self._leader_ports, target_id, reason, now
        )
        log_event(Event.TARGET_REMOVED, target=target_id, reason=reason)
