"""Runs a member as a process: servers, signals, reload and graceful shutdown."""

import asyncio
import signal
import socket
import time
from pathlib import Path
from typing import Protocol

import uvloop
from returns.result import Failure, Success

from cassiaturn.fleet._callers import CallerJobService, MemberJobService
from cassiaturn.fleet._cpu_clock import cpu_time_s
from cassiaturn.fleet._member import STOP_MARGIN_S, Member
from cassiaturn.fleet._metrics_server import MetricsServer
from cassiaturn.fleet._ports import PlatformServices
from cassiaturn.observability import Event, log_event
from cassiaturn.settings import FleetSettings, load_fleet_settings
from cassiaturn.transport import ClosingServer

MS_PER_S = 1000

EXIT_OK = 0
EXIT_LISTEN = 6
EXIT_INVARIANT = 70

DRAIN_LISTEN_S = 2.6
"""How long a member that stops keeps accepting callers, in seconds: the load balancer
checks readiness once a second and sends callers until the second negative answer."""

FLUSH_WAIT_S = 0.1
"""Time to write the last answers before connections are closed, in seconds."""

START_WAIT_S = 0.35
"""Longest wait for a configuration and a leader before callers are served, in seconds:
both are available after some 30 ms, unless the store is down."""

START_POLL_S = 0.005
"""Period in which readiness is checked during that wait, in seconds."""

SETTINGS_POLL_S = 2.0
"""Period in which the settings file is checked for changes, in seconds: it may change
without a signal."""


class CallerServer(Protocol):
    """Serves callers and the load balancer."""

    def start(self) -> None:
        """Start serving.

        :raises OSError: the address is in use or not available.
        """

    async def close(self) -> None:
        """Stop listening and end the connections."""


class Adapter(Protocol):
    """Connects a member to the platform that it runs on."""

    def services(self) -> PlatformServices:
        """Return the platform's services for the member."""

    def caller_server(
        self, jobs: CallerJobService, callers: socket.socket, *, opened_at: float
    ) -> CallerServer:
        """Return the server of callers' requests.

        :param jobs: accepts the callers' jobs.
        :param callers: the socket that callers connect to; it already listens.
        :param opened_at: since when it listens, on the monotonic clock, in seconds.
        """

    async def close(self) -> None:
        """Close every connection."""


def run(
    settings: FleetSettings,
    *,
    path: Path,
    adapter: Adapter,
    callers: socket.socket,
    opened_at: float,
) -> int:
    """Run a member until SIGTERM or SIGINT.

    :param path: the settings file, reloaded when it changes.
    :param adapter: connects the member to its platform.
    :param callers: the socket that callers connect to; it already listens.
    :param opened_at: since when it listens, on the monotonic clock, in seconds.
    :returns: the exit code of the process.
    """
    log_event(Event.PROCESS_STARTING, instance=settings.member_name)
    process = _Process(settings, path, adapter, callers, opened_at)
    code = uvloop.run(process.run())
    log_event(Event.PROCESS_STOPPED, exit_code=code)
    return code


class _Process:
    def __init__(
        self,
        settings: FleetSettings,
        path: Path,
        adapter: Adapter,
        callers: socket.socket,
        opened_at: float,
    ) -> None:
        self._settings = settings
        self._callers = callers
        self._opened_at = opened_at
        self._path = path
        self._adapter = adapter
        self._stop = asyncio.Event()
        self._reload = asyncio.Event()
        self._failed = False

    async def run(self) -> int:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)
        loop.set_exception_handler(self._on_failure)
        member = Member(settings=self._settings, services=self._adapter.services())
        jobs = MemberJobService(member=member)
        callers = self._adapter.caller_server(
            jobs, self._callers, opened_at=self._opened_at
        )
        members = ClosingServer([member.service])
        metrics_server = MetricsServer(
            address=self._settings.metrics, metrics=member.metrics
        )
        try:
            metrics_server.start()
            address = self._settings.members
            await members.start(address.host, address.port)
        except OSError as error:
            log_event(Event.LISTEN_FAILED, detail=str(error))
            return EXIT_LISTEN
        running = [
            loop.create_task(member.run()),
            loop.create_task(self._watch_settings(member)),
        ]
        running[0].add_done_callback(self._on_member_end)
        await self._wait_until_ready(member)
        try:
            callers.start()
        except OSError as error:
            log_event(Event.LISTEN_FAILED, detail=str(error))
            return EXIT_LISTEN
        log_event(
            Event.LISTENING,
            address=self._settings.callers,
            open_ms=round((time.monotonic() - self._opened_at) * MS_PER_S),
            cpu_ms=round(cpu_time_s() * MS_PER_S),
        )
        await self._stop.wait()
        await self._drain(member)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        members.close()
        members.end_connections()
        await callers.close()
        await metrics_server.close()
        await self._adapter.close()
        return EXIT_INVARIANT if self._failed else EXIT_OK

    async def _wait_until_ready(self, member: Member) -> None:
        """Wait up to ``START_WAIT_S`` for a configuration and a leader.

        Callers may already have connected, and would all be refused.
        """
        end_at = time.monotonic() + START_WAIT_S
        while time.monotonic() < end_at and not self._stop.is_set():
            if member.is_ready:
                return
            await asyncio.sleep(START_POLL_S)

    async def _drain(self, member: Member) -> None:
        """Finish the open jobs while the load balancer sends new callers elsewhere."""
        began_at = time.monotonic()
        log_event(Event.INSTANCE_DRAINING, open=member.caller_jobs.open_jobs)
        if self._failed:
            return
        await member.stop()
        end_at = began_at + self._settings.grace_s - STOP_MARGIN_S
        while time.monotonic() < end_at:
            listened = time.monotonic() - began_at >= DRAIN_LISTEN_S
            if listened and not member.caller_jobs.open_jobs:
                break
            await asyncio.sleep(0.05)
        else:
            log_event(Event.DRAIN_TIMED_OUT, open=member.caller_jobs.open_jobs)
        member.caller_jobs.end_all("stopping")
        await asyncio.sleep(FLUSH_WAIT_S)

    async def _watch_settings(self, member: Member) -> None:
        seen = _modified_at(self._path)
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_S):
                    await self._reload.wait()
            except TimeoutError:
                if _modified_at(self._path) == seen:
                    continue
            self._reload.clear()
            seen = _modified_at(self._path)
            self._read_settings(member)

    def _read_settings(self, member: Member) -> None:
        match load_fleet_settings(self._path):
            case Success(settings):
                member.settings = settings
                self._settings = settings
                log_event(Event.SETTINGS_RELOADED, seeds=len(settings.seeds))
            case Failure(errors):
                # The current settings stay; a half-written file is read again later.
                log_event(Event.SETTINGS_INVALID, detail=str(errors))

    def _on_member_end(self, task: "asyncio.Task[None]") -> None:
        if self._stop.is_set():
            return
        # A process whose member has ended would never serve anybody again.
        failure = "cancelled" if task.cancelled() else repr(task.exception())
        log_event(Event.INVARIANT_BROKEN, detail=failure)
        self._failed = True
        self._stop.set()

    def _on_failure(
        self, _: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        failure = context.get("exception")
        log_event(Event.INVARIANT_BROKEN, detail=repr(failure or context["message"]))
        if isinstance(failure, AssertionError) or "task" in context:
            self._failed = True
            self._stop.set()


def _modified_at(path: Path) -> float | None:
    try:
        return path.stat().st_mtime
    except OSError:
        return None
