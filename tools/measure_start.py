"""Processor time of a member's process until it answers its first caller.

Starts ``python -S -m cassiaturn serve`` again and again on loopback, with a stand-in
of the table service and one target, and ends each process by its id. One caller
connects as soon as the port of callers is open; its job has one task of 1 ms, so the
process leads, starts the task and answers. Processor time comes from the operating
system and counts all threads, so it is that of one core on any host. With ``--profile``
it prints instead which imports take longest: the least time of several runs, because a
busy machine makes single ones longer.
"""

import argparse
import asyncio
import compileall
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, fields
from pathlib import Path

import cassiaturn
from cassiaturn.load._ports import free_ports
from cassiaturn.platform.tests.standin_runner import SERVICE, StandinRunner
from cassiaturn.platform.tests.standin_store import LOOPBACK, StandinStore

SETTINGS = """\
kind: fleet
member_name: front-0
failure_domain: a
callers: "{callers}"
readiness: "{readiness}"
members: "{members}"
metrics: "{metrics}"
seeds: ["127.0.0.1:9", "127.0.0.1:10", "127.0.0.1:11"]
table_service: "{store}"
link_mbps: 50
grace_s: 6.0
orders: "call"
lease_ms: 1000
"""

SETTINGS_VARIABLE = "CASSIATURN_BOOT"

HOST = "quick.example"

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "quick",
            "host": HOST,
            "prefix": "/jobs/",
            "timeoutMs": 1500,
            "targetLatencyMs": 60,
            "service": SERVICE,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": SERVICE, "admissionCheck": True}],
}

FIRST_LINE = b"event=process_starting"

RUN_S = 0.001
"""Run time of the caller's task, in seconds: little, so that the start dominates."""

TIMEOUT_S = 20.0
"""Longest wait for one start, in seconds."""

REST_S = 1.0
"""Time from the first answer until the memory at rest is read, in seconds."""

PROFILE_RUNS = 7

SHOWN = 30
"""Imports that the profile shows."""

MS_PER_S = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class StartFigures:
    """What one start of a process took."""

    open_ms: float
    """From the start of the process until its port of callers is open."""

    first_line_ms: float
    """From the start of the process until its first log line."""

    first_answer_ms: float
    """From the start of the process until its first caller has the answer."""

    first_answer_cpu_ms: float
    """Processor time of the process until then, all threads, in milliseconds."""

    second_answer_ms: float
    """From the second request on the same connection until its answer."""

    resident_mb: float
    """Resident memory of the process at rest, in MB."""


def _environment(**variables: str) -> dict[str, str]:
    """Return the environment of a member: ``-S`` leaves out the site's packages."""
    path = os.pathsep.join(entry for entry in sys.path if entry)
    return {**os.environ, "PYTHONPATH": path, **variables}


def _settings(folder: Path, store: str) -> tuple[Path, int]:
    names = ("callers", "readiness", "members", "metrics")
    ports = free_ports(len(names))
    addresses = {
        name: f"{LOOPBACK}:{port}" for name, port in zip(names, ports, strict=True)
    }
    path = folder / "settings.yaml"
    path.write_text(SETTINGS.format(store=store, **addresses))
    return path, ports[0]


def _request(number: int) -> bytes:
    step = {"count": 1, "cpu": 4_000, "memMb": 64, "estimatedMs": 1}
    body = json.dumps({"taskSpec": "x", "bestEffort": True, "steps": [step]})
    return (
        f"POST /jobs/{number:016x} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


async def _connect(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    while True:
        try:
            return await asyncio.open_connection(LOOPBACK, port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.001)


async def _answer(reader: asyncio.StreamReader) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    if b" 200 " not in head.splitlines()[0]:
        raise AssertionError(f"the caller got {head!r}")
    await reader.readuntil(b'"}')


async def _first_line_at(output: asyncio.StreamReader) -> float:
    async for line in output:
        if FIRST_LINE in line:
            return time.monotonic()
    raise AssertionError("the process ended before its first line")


def _cpu_ms(process_id: int) -> float:
    """Return the processor time of all threads of a process so far."""
    threads = Path(f"/proc/{process_id}/task").iterdir()
    spent_ns = [
        int((thread / "schedstat").read_text().split()[0]) for thread in threads
    ]
    return sum(spent_ns) / 1e6


def _resident_mb(process_id: int) -> float:
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise AssertionError("no resident memory")


async def measure_start(folder: Path, store: StandinStore) -> StartFigures:
    """Start a member once, have it answer two jobs, and end it.

    :param folder: where its settings file goes.
    :param store: stand-in that has a configuration and a target.
    """
    path, port = _settings(folder, store.address)
    began_at = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-S",
        "-m",
        "cassiaturn",
        "serve",
        env=_environment(**{SETTINGS_VARIABLE: str(path)}),
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    first_line = asyncio.ensure_future(_first_line_at(process.stdout))
    try:
        reader, writer = await _connect(port)
        open_at = time.monotonic()
        writer.write(_request(1))
        await _answer(reader)
        cpu_ms = _cpu_ms(process.pid)
        answered_at = time.monotonic()
        writer.write(_request(2))
        await _answer(reader)
        again_at = time.monotonic()
        writer.close()
        await asyncio.sleep(REST_S)
        return StartFigures(
            open_ms=(open_at - began_at) * MS_PER_S,
            first_line_ms=(await first_line - began_at) * MS_PER_S,
            first_answer_ms=(answered_at - began_at) * MS_PER_S,
            first_answer_cpu_ms=cpu_ms,
            second_answer_ms=(again_at - answered_at) * MS_PER_S,
            resident_mb=_resident_mb(process.pid),
        )
    finally:
        first_line.cancel()
        if process.returncode is None:
            process.kill()
        await process.wait()


async def measure_starts(count: int) -> list[StartFigures]:
    """Measure some starts, one after the other."""
    found: list[StartFigures] = []
    for _ in range(count):
        # A process starts as after an outage: with no earlier runs and no leader's row.
        store, runner = StandinStore(), StandinRunner("i-0", run_s=RUN_S)
        store.start()
        runner.start()
        store.state.put("op", "config", CONFIGURATION)
        store.state.put("servers", "i-0", runner.entry())
        try:
            with tempfile.TemporaryDirectory() as folder:
                started = measure_start(Path(folder), store)
                found.append(await asyncio.wait_for(started, TIMEOUT_S))
        finally:
            await runner.close()
            await store.close()
    return found


def _import_times_us() -> dict[str, int]:
    """Return the own time of each module that a member imports, in microseconds."""
    code = (
        "import cassiaturn.serving, cassiaturn.observability, cassiaturn.settings,"
        " cassiaturn.fleet._process, cassiaturn.platform;"
        " cassiaturn.platform.PlatformAdapter"
    )
    ran = subprocess.run(
        [sys.executable, "-S", "-X", "importtime", "-c", code],
        env=_environment(),
        capture_output=True,
        text=True,
        check=True,
    )
    rows = [line.split("|") for line in ran.stderr.splitlines() if "|" in line][1:]
    return {row[2].strip(): int(row[0].split(":")[1]) for row in rows}


def profile() -> str:
    """Return the imports that take longest until a member can serve."""
    runs = [_import_times_us() for _ in range(PROFILE_RUNS)]
    own_us = {
        name: min(run.get(name, us) for run in runs) for name, us in runs[0].items()
    }
    package_us: Counter[str] = Counter()
    modules: Counter[str] = Counter()
    for name, us in own_us.items():
        package_us[name.partition(".")[0]] += us
        modules[name.partition(".")[0]] += 1
    lines = [f"{'ms':>8} {'modules':>8}  package"]
    lines += [
        f"{us / MS_PER_S:8.1f} {modules[name]:8}  {name}"
        for name, us in package_us.most_common(SHOWN)
    ]
    total_ms = sum(own_us.values()) / MS_PER_S
    lines += [f"{total_ms:8.1f} {len(own_us):8}  in all", "", f"{'ms':>8}  module"]
    by_own_time = sorted(own_us.items(), key=lambda row: -row[1])
    lines += [f"{us / MS_PER_S:8.1f}  {name}" for name, us in by_own_time[:SHOWN]]
    return "\n".join(lines)


def main() -> None:
    """Print least and median of some starts, or the profile of one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=15)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    # Deployments start from compiled bytecode; the environment may keep Python from
    # writing it, and then each start would compile what was edited.
    compileall.compile_dir(Path(cassiaturn.__file__).parent, quiet=1)
    if options.profile:
        print(profile())
        return
    found = asyncio.run(measure_starts(options.starts))
    print(f"starts: {options.starts}")
    for entry in fields(StartFigures):
        values = [getattr(row, entry.name) for row in found]
        median = statistics.median(values)
        print(f"{entry.name}: least {min(values):.1f}, median {median:.1f}")


if __name__ == "__main__":
    main()
