"""Runs a member as a process: servers, signals, a planned stop."""

import asyncio
import signal
import socket
import time
from pathlib import Path
from typing import Protocol

import uvloop
from returns.result import Failure, Success

from cassiaturn.fleet._callers import CallerJobService, MemberJobService
from cassiaturn.fleet._member import Member
from cassiaturn.fleet._metrics_server import MetricsServer
from cassiaturn.fleet._ports import PlatformServices
from cassiaturn.observability import Event, log_event
from cassiaturn.settings import FleetSettings, load_fleet_settings
from cassiaturn.transport import ClosingServer

EXIT_OK = 0
EXIT_LISTEN = 6
EXIT_INVARIANT = 70

LISTEN_ON_S = 2.6
"""How long a member that stops still takes callers, in seconds: the balancer asks
once a second and sends new ones until the second answer that it is not ready."""

STOP_MARGIN_S = 0.4
"""Time left between the end of a planned stop and the kill, in seconds."""

ANSWER_WAY_S = 0.1
"""Time for the last answers to be written before connections end, in seconds."""

START_WAIT_S = 0.35
"""Longest wait for a configuration and a leader before callers are heard, in seconds:
both are there after some 30 ms, unless the store is away."""

START_CHECK_S = 0.005
"""Period of the looks for them, in seconds."""

SETTINGS_CHECK_S = 2.0
"""Period in which the settings file is looked at, in seconds: it may change without
a signal."""


class CallerServer(Protocol):
    """Serves callers and the balancer."""

    def start(self) -> None:
        """Listen."""

    async def close(self) -> None:
        """Stop listening and end the connections."""


class Adapter(Protocol):
    """Connects a member to the platform that it runs on."""

    def services(self) -> PlatformServices:
        """Return what the member asks of the platform."""

    def caller_server(
        self, jobs: CallerJobService, callers: socket.socket, *, opened_at: float
    ) -> CallerServer:
        """Return the server of callers' requests.

        :param callers: where they connect; it listens already.
        :param opened_at: since when, in seconds.
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

    :param path: the settings file, read again when it changes.
    :param callers: where callers connect; it listens already.
    :param opened_at: since when, in seconds.
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
        self._broken = False

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
        pages = MetricsServer(address=self._settings.metrics, metrics=member.metrics)
        try:
            pages.start()
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
        await self._until_ready(member)
        try:
            callers.start()
        except OSError as error:
            log_event(Event.LISTEN_FAILED, detail=str(error))
            return EXIT_LISTEN
        log_event(Event.LISTENING, address=self._settings.callers)
        await self._stop.wait()
        await self._drain(member)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        members.close()
        members.end_connections()
        await callers.close()
        await pages.close()
        await self._adapter.close()
        return EXIT_INVARIANT if self._broken else EXIT_OK

    async def _until_ready(self, member: Member) -> None:
        """Wait for a configuration and a leader, for a moment.

        Callers have connected already, and would all be refused at once.
        """
        end_at = time.monotonic() + START_WAIT_S
        while time.monotonic() < end_at and not self._stop.is_set():
            if member.is_ready:
                return
            await asyncio.sleep(START_CHECK_S)

    async def _drain(self, member: Member) -> None:
        """Finish what callers wait for, while new ones go elsewhere."""
        began_at = time.monotonic()
        log_event(Event.INSTANCE_DRAINING, open=member.caller_jobs.open_jobs)
        if self._broken:
            return
        await member.stop()
        end_at = began_at + self._settings.grace_s - STOP_MARGIN_S
        while time.monotonic() < end_at:
            listened = time.monotonic() - began_at >= LISTEN_ON_S
            if listened and not member.caller_jobs.open_jobs:
                return
            await asyncio.sleep(0.05)
        log_event(Event.DRAIN_TIMED_OUT, open=member.caller_jobs.open_jobs)
        member.caller_jobs.end_all("stopping")
        await asyncio.sleep(ANSWER_WAY_S)

    async def _watch_settings(self, member: Member) -> None:
        seen = _changed_at(self._path)
        while True:
            try:
                async with asyncio.timeout(SETTINGS_CHECK_S):
                    await self._reload.wait()
            except TimeoutError:
                if _changed_at(self._path) == seen:
                    continue
            self._reload.clear()
            seen = _changed_at(self._path)
            self._read_settings(member)

    def _read_settings(self, member: Member) -> None:
        match load_fleet_settings(self._path):
            case Success(settings):
                member.settings = settings
                self._settings = settings
                log_event(Event.SETTINGS_RELOADED, seeds=len(settings.seeds))
            case Failure(errors):
                # The settings in force stay: a half-written file comes again.
                log_event(Event.SETTINGS_INVALID, detail=str(errors))

    def _on_member_end(self, task: "asyncio.Task[None]") -> None:
        if self._stop.is_set():
            return
        # A process whose part in the fleet has ended would serve nobody for ever.
        failure = "cancelled" if task.cancelled() else repr(task.exception())
        log_event(Event.INVARIANT_BROKEN, detail=failure)
        self._broken = True
        self._stop.set()

    def _on_failure(
        self, _: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        failure = context.get("exception")
        log_event(Event.INVARIANT_BROKEN, detail=repr(failure or context["message"]))
        if isinstance(failure, AssertionError) or "task" in context:
            self._broken = True
            self._stop.set()


def _changed_at(path: Path) -> float | None:
    try:
        return path.stat().st_mtime
    except OSError:
        return None
