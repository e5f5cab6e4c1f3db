"""Keeps an instance's configuration up to date."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Protocol

from returns.result import Failure, Success

from cassiaturn.configuration._documents import MalformedRow, from_json, load_initial
from cassiaturn.configuration._poll import PollSchedule
from cassiaturn.configuration._proposal import read_current, read_version
from cassiaturn.configuration._shared import SharedConfiguration
from cassiaturn.configuration._view import (
    Applied,
    ConfigurationView,
    Rejected,
    Stale,
)
from cassiaturn.observability import ConfigurationStatus, Event, log_event
from cassiaturn.services import TableService

CONFIRM_PERIODS = 3.0
"""Periods without a confirmation after which the status says so."""

STEP_S = 0.1
"""Time between two looks at the schedule and the peers, in seconds."""

MS_PER_S = 1_000

FetchFromPeer = Callable[[int], Awaitable[str | None]]
"""Asks a peer that holds a version for its document; None: not had."""


class Budget(Protocol):
    """One instance's share of the table service."""

    def may_read(self, now: float) -> bool:
        """Take the right to one read, if there is one."""

    def succeeded(self, now: float) -> None:
        """Report a read that was answered."""

    def failed(self, now: float) -> None:
        """Report a read without an answer."""


async def _fetch_nothing(_: int) -> str | None:
    return None


class ConfigurationKeeper:
    """Reads the version row, takes what is newer and tells the instance.

    Where settings name no table service, the file is in force from the start.
    Where they do, the file counts only once the table says that it holds no
    version: a host that restarts while the table is down would otherwise bring
    a configuration back that was replaced long ago.
    """

    def __init__(
        self,
        *,
        table: TableService | None,
        budget: Budget,
        initial: Path | None,
        poll_s: float,
        highest_at_peers: Callable[[], int],
        on_applied: Callable[[SharedConfiguration], None],
        rng: random.Random,
        fetch_from_peer: FetchFromPeer = _fetch_nothing,
    ) -> None:
        """Hold nothing yet.

        :param table: None where the settings name none.
        :param budget: asked before each read.
        :param initial: the file to start from, if any.
        :param poll_s: mean time between two reads of the version row, in seconds.
        :param highest_at_peers: the highest version that a peer told; 0: none.
        :param on_applied: called with each configuration that comes in force.
        :param rng: source of the jitter.
        :param fetch_from_peer: asked while the table cannot be read.
        """
        self._table = table
        self._budget = budget
        self._initial = initial
        self._highest_at_peers = highest_at_peers
        self._on_applied = on_applied
        self._fetch_from_peer = fetch_from_peer
        self._schedule = PollSchedule(period_s=poll_s, rng=rng)
        self._was_confirmed = True
        self.view = ConfigurationView(confirm_within_s=CONFIRM_PERIODS * poll_s)

    @property
    def version(self) -> int:
        """The version in force; 0 also while there is none."""
        return self.view.version

    def status(self) -> ConfigurationStatus:
        """Return what the status document says of it."""
        now = time.monotonic()
        age_s = self.view.age_s(now)
        return ConfigurationStatus(
            version=self.version,
            confirmed=self.view.is_confirmed(now),
            age_ms=None if age_s is None else int(age_s * MS_PER_S),
        )

    def load_initial(self) -> None:
        """Take the file, where there is no table service to ask."""
        if self._table is None:
            self._offer_file()

    async def run(self) -> None:
        """Keep up until cancelled."""
        while True:
            await self.step(time.monotonic())
            await asyncio.sleep(STEP_S)

    async def step(self, now: float) -> None:
        """Do what is due.

        :param now: monotonic time, in seconds.
        """
        if self._highest_at_peers() > self.version:
            self._schedule.hinted(now)
        if self._schedule.is_due(now):
            self._schedule.done(now)
            if not await self._read_table(now):
                # A read held back by the budget must not cost a whole period,
                # or a change would come later than 5 s on a busy instance.
                self._schedule.hinted(now)
                await self._ask_peers()
            self._report_confirmation(now)

    async def _read_table(self, now: float) -> bool:
        """Return whether the version row was read."""
        if self._table is None or not self._budget.may_read(now):
            return False
        match await read_current(self._table):
            case Success(current):
                self._budget.succeeded(now)
            case Failure(MalformedRow() as malformed):
                self._budget.succeeded(now)
                self._reject(self.version + 1, malformed)
                return True
            case _:
                self._budget.failed(now)
                return False
        await self._take(current.row.version, now)
        return True

    async def _take(self, version: int, now: float) -> None:
        if version == 0 and self.view.current is None:
            self._offer_file()
        elif version > self.version and not self.view.is_rejected(version):
            await self._read_document(version, now)
        self.view.confirm(version, now)

    async def _read_document(self, version: int, now: float) -> None:
        if self._table is None or not self._budget.may_read(now):
            return
        match await read_version(self._table, version):
            case Success(configuration):
                self._budget.succeeded(now)
                self._offer(configuration)
            case Failure(MalformedRow() as malformed):
                self._budget.succeeded(now)
                self._reject(version, malformed)
            case _:
                self._budget.failed(now)

    async def _ask_peers(self) -> None:
        version = self._highest_at_peers()
        if version <= self.version:
            return
        text = await self._fetch_from_peer(version)
        if text is None:
            return
        match from_json(f"peer/{version}", text):
            case Success(configuration):
                self._offer(configuration)
            case Failure(malformed):
                self._reject(version, malformed)

    def _offer_file(self) -> None:
        if self._initial is None:
            return
        match load_initial(self._initial):
            case Success(configuration):
                self._offer(configuration)
            case Failure(errors):
                for error in errors.errors:
                    log_event(
                        Event.SETTINGS_INVALID,
                        file=error.file,
                        key=error.key,
                        value=error.value,
                        allowed=error.allowed,
                    )

    def _offer(self, configuration: SharedConfiguration) -> None:
        match self.view.offer(configuration):
            case Applied():
                log_event(
                    Event.CONFIGURATION_APPLIED,
                    version=configuration.version,
                    author=configuration.author,
                )
                self._on_applied(configuration)
            case Stale(offered=offered, held=held):
                log_event(Event.CONFIGURATION_STALE, version=offered, held=held)
            case Rejected(version=version, detail=detail):
                log_event(Event.CONFIGURATION_REJECTED, version=version, detail=detail)

    def _reject(self, version: int, malformed: MalformedRow) -> None:
        rejected = self.view.reject(version, malformed)
        if rejected is not None:
            log_event(
                Event.CONFIGURATION_REJECTED,
                version=rejected.version,
                detail=rejected.detail,
            )

    def _report_confirmation(self, now: float) -> None:
        confirmed = self.view.is_confirmed(now)
        if self._was_confirmed and not confirmed and self._table is not None:
            age_s = self.view.age_s(now)
            log_event(
                Event.CONFIGURATION_UNCONFIRMED,
                version=self.version,
                age_ms=None if age_s is None else int(age_s * MS_PER_S),
            )
        self._was_confirmed = confirmed
