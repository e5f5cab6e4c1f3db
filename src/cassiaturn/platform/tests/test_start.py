"""Tests of answers to callers while a member starts, and of what it imports."""

import asyncio
import json
import os
import re
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from cassiaturn.entities import Address, JobRequest, Route
from cassiaturn.fleet import MemberJobService
from cassiaturn.platform._caller_server import CallerServer
from cassiaturn.platform._environment import SETTINGS_VARIABLE
from cassiaturn.platform.tests.fleet import CONFIGURATION, HOST, PREFIX, free_addresses
from cassiaturn.platform.tests.standin_runner import StandinRunner
from cassiaturn.platform.tests.standin_store import StandinStore
from cassiaturn.standins.virtual_targets import ROUTE
from cassiaturn.workload import Outcome, Verdict

IMPORTS = (
    "import sys, cassiaturn.serving, cassiaturn.fleet, cassiaturn.fleet._process;"
    " from cassiaturn.platform import PlatformAdapter; print(*sys.modules)"
)

NEEDLESS = (
    "cassiaturn.services._wire",
    "cassiaturn.services._table",
    "cassiaturn.observability._status",
    "cassiaturn.settings._instance",
    "cassiaturn.server",
    "cassiaturn.engine",
    "cassiaturn.load",
    "cassiaturn.policy",
    "cassiaturn.entities._schema",
    "opentelemetry",
    "prometheus_client",
    "typer",
    "rich",
)


@pytest.fixture(scope="module")
def modules() -> set[str]:
    found = subprocess.run(
        [sys.executable, "-c", IMPORTS], capture_output=True, text=True, check=True
    )
    return set(found.stdout.split())


@pytest.mark.parametrize("module", NEEDLESS)
def test_a_member_does_not_import_modules_of_the_other_deployment(
    modules: set[str], module: str
) -> None:
    """Guards against a slow start because of imports that a member does not need.

    After a power loss of all hosts, callers get no answer until imports are done, and
    modules of the other deployment take a tenth of that time.
    """
    assert "cassiaturn.fleet" in modules
    assert module not in modules


LIBRARIES = {
    "google",
    "grpclib",
    "h2",
    "hpack",
    "httptools",
    "hyperframe",
    "logbook",
    "multidict",
    "pydantic_core",
    "returns",
    "tornado",
    "typing_extensions",
    "uvloop",
    "xxhash",
    "yaml",
}
"""Packages of libraries that a member may have loaded when it serves."""

PROBED = {"colorama", "gevent", "org"}
"""Packages that libraries use if they are installed; they are listed without it."""

COSTLY_MODULES = ("importlib.metadata", "zipfile", "zoneinfo")
"""Large modules of the standard library that only other commands need."""


@pytest.fixture(scope="module")
def loaded(tmp_path_factory: pytest.TempPathFactory) -> set[str]:
    """Return the modules that a real process has imported when it serves."""
    path = tmp_path_factory.mktemp("member") / "settings.yaml"
    callers, readiness, members, metrics, store = free_addresses(5)
    path.write_text(
        SETTINGS.format(
            callers=callers,
            readiness=readiness,
            members=members,
            metrics=metrics,
            store=store,
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-S", "-X", "importtime", "-m", "cassiaturn", "serve"],
        env={
            **os.environ,
            "PYTHONPATH": os.pathsep.join(sys.path),
            SETTINGS_VARIABLE: str(path),
        },
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    assert any("event=listening" in line for line in process.stdout)
    process.kill()
    _, imports = process.communicate()
    return {row.rsplit("|", 1)[-1].strip() for row in imports.splitlines()}


def test_a_member_that_serves_has_loaded_only_the_libraries_that_it_needs(
    loaded: set[str],
) -> None:
    """Guards against a library that comes back into the start of a member.

    Its imports are an outage for all callers after a power loss. What a process does
    between its imports and its first caller may import modules, too: once the settings
    of the other deployment came back that way, with pydantic, unseen by a test of
    imports alone.
    """
    packages = {name for name in loaded if name.isidentifier()} - PROBED
    packages -= {"cassiaturn", "sitecustomize", *sys.stdlib_module_names}
    assert "tornado" in packages
    assert {name for name in packages if not name.startswith("_")} <= LIBRARIES
    assert loaded.isdisjoint(COSTLY_MODULES)
    assert loaded.isdisjoint(NEEDLESS)


HELD_LIBRARY = """\
import importlib, pathlib, sys, time

folder = pathlib.Path(__file__).parent
(folder / "reached").touch()
while not (folder / "go_on").exists():
    time.sleep(0.005)
sys.path.remove(str(folder))
del sys.modules["logbook"]
importlib.import_module("logbook")
"""
"""Stands in for the first library that a member imports; the test lets it go on."""

SETTINGS = """\
kind: fleet
member_name: front-0
failure_domain: a
callers: {callers}
readiness: {readiness}
members: {members}
metrics: {metrics}
table_service: {store}
"""


async def test_callers_that_connect_while_a_member_starts_are_served(
    tmp_path: Path,
) -> None:
    """Guards against refusing callers that connect before the imports are done.

    After a restart of the host, refused callers would retry after 1.3 s of the 1.5 s
    that they wait. Their connections must wait instead, and the new process serves the
    jobs. An import is held until a caller has connected, however fast the host is.
    """
    held = tmp_path / "held"
    held.mkdir()
    (held / "logbook.py").write_text(HELD_LIBRARY)
    store = StandinStore()
    store.start()
    store.state.put("op", "config", CONFIGURATION)
    runner = StandinRunner("i-0")
    runner.start()
    store.state.put("servers", "i-0", runner.entry())
    callers, readiness, members, metrics = free_addresses(4)
    path = tmp_path / "settings.yaml"
    path.write_text(
        SETTINGS.format(
            callers=callers,
            readiness=readiness,
            members=members,
            metrics=metrics,
            store=store.address,
        )
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cassiaturn",
        "serve",
        "--settings",
        str(path),
        env={**os.environ, "PYTHONPATH": os.pathsep.join([str(held), *sys.path])},
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        reader, writer = await asyncio.wait_for(_connect(callers), 20.0)
        (held / "go_on").touch()
        writer.write(_request())
        head = await asyncio.wait_for(reader.readline(), 20.0)
        writer.close()
    finally:
        process.terminate()
        log, _ = await process.communicate()
        await runner.close()
        await store.close()
    assert head.split()[1] == b"200"
    assert re.search(
        r" event=listening address=\S+ open_ms=\d+ cpu_ms=\d+", log.decode()
    )
    assert (held / "reached").exists()


class _RecordingJobService(MemberJobService):
    """Completes every job and records how long its caller had waited."""

    is_stopping = False
    is_configured = True

    def __init__(self) -> None:
        self.waits_s: list[float] = []

    def find(self, host: str, path: str) -> Route:
        return ROUTE

    async def submit(
        self, request: JobRequest, route: Route, limit_s: float | None, **options: float
    ) -> Outcome:
        self.waits_s.append(options["waited_s"])
        return Outcome(verdict=Verdict.COMPLETED, reason="all_done")


async def test_time_in_the_accept_queue_counts_as_waiting() -> None:
    """After an outage all queued requests are read at once, and each seems to be new.

    Requests whose callers have waited longest would then displace others that could
    still be answered in time. A later request of the same connection has not waited.
    """
    address, readiness = free_addresses(2)
    port = socket.create_server((address.host, address.port))
    service = _RecordingJobService()
    opened_at = time.monotonic() - 0.4
    callers = [await _connect(address) for _ in range(2)]
    server = CallerServer(
        callers=port, opened_at=opened_at, readiness=readiness, jobs=service
    )
    server.start()
    for reader, writer in (*callers, callers[0]):
        writer.write(_request())
        assert (await reader.readline()).split()[1] == b"200"
        await reader.readuntil(b'"}')
    for _, writer in callers:
        writer.close()
    await server.close()
    assert service.waits_s[0] > service.waits_s[1] > 0.05 > service.waits_s[2]


async def _connect(
    address: Address,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    while True:
        try:
            return await asyncio.open_connection(address.host, address.port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.005)


def _request() -> bytes:
    step = {"count": 2, "cpu": 4_000, "memMb": 64, "estimatedMs": 50}
    body = json.dumps({"taskSpec": "x", "bestEffort": True, "steps": [step]})
    return (
        f"POST {PREFIX}5c0e7a21d94b36f8 HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()
