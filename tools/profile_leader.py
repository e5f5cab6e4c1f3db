"""Processor time of a real leader for each start, over loopback.

Runs three processes: the leader; its followers, at which jobs of 2 and 8 tasks are
submitted; and stand-in targets with a table service. Prints the microseconds of the
leader's processor time per start. With ``--profile`` it prints the functions that take
the most of it as well, whose times contain the cost of profiling.

The targets do not republish their directory entries, and nobody scrapes metrics.
"""

import argparse
import asyncio
import cProfile
import gc
import io
import json
import multiprocessing
import os
import pstats
import random
import time
from collections.abc import Callable, Coroutine
from multiprocessing.connection import Connection
from typing import Any, cast

import httptools
import uvloop

from cassiaturn.entities import Address, JobRequest, Resources, TaskGroup
from cassiaturn.fleet import Member, MemberJobService
from cassiaturn.load._ports import free_ports
from cassiaturn.observability import BoundedOutput, configure_logging
from cassiaturn.platform import PlatformAdapter
from cassiaturn.platform.tests.fleet import CONFIGURATION, HOST, PREFIX
from cassiaturn.platform.tests.standin_store import LOOPBACK, StandinStore
from cassiaturn.settings import FleetSettings
from cassiaturn.transport import ClosingServer
from cassiaturn.workload import Verdict

RUN_S = (0.1, 0.3)
"""Shortest and longest run time, in seconds."""

TASKS_PER_JOB = (2, 2, 2, 8)
"""Tasks of successive jobs: 3.5 on average, as in the usual load."""

TASK = Resources(cpu_millis=8_000, memory_mib=64)

WARM_UP_S = 3.0

SHOWN = 45
"""Functions that the profile shows."""


class Target:
    """A target that checks no lease and refuses nothing."""

    def __init__(self, target_id: str) -> None:
        self.target_id = target_id
        self.runs: dict[str, tuple[int, float, float]] = {}
        self.ended: list[tuple[int, str, int, str, str]] = []
        self.sequence = 0
        self.waiting: dict[object, Callable[[], None]] = {}

    def end(self, name: str, kind: str) -> None:
        """End a run, and answer the requests that wait for that."""
        run = self.runs.pop(name, None)
        if run is None:
            return
        self.sequence += 1
        self.ended.append((self.sequence, name, run[0], kind, ""))
        waiting, self.waiting = self.waiting, {}
        for answer in waiting.values():
            answer()


class TargetConnection(asyncio.Protocol):
    """Serves the platform's API of targets."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Read requests."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._body = b""

    def on_url(self, url: bytes) -> None:
        """Keep the path."""
        self._path = url

    def on_body(self, body: bytes) -> None:
        """Keep the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Carry out an order."""
        body = json.loads(self._body)
        target = self._target
        if self._path.endswith(b"/hold"):
            seen = body["lastSeen"]
            target.ended = [row for row in target.ended if row[0] > seen]
            if target.ended or not body["waitMs"]:
                self._list()
                return
            key = object()
            target.waiting[key] = self._list
            self._loop.call_later(body["waitMs"] / 1000, self._end_wait, key)
            return
        if self._path.endswith(b"/run-start"):
            now = time.monotonic()
            run_s = random.uniform(*RUN_S)
            target.runs[body["task"]] = (body["run"], now, run_s)
            self._loop.call_later(run_s, target.end, body["task"], "done")
        else:
            target.end(body["task"], "stopped")
        self._reply({"clockMs": int(time.monotonic() * 1000)})

    def _end_wait(self, key: object) -> None:
        answer = self._target.waiting.pop(key, None)
        if answer is not None:
            answer()

    def _list(self) -> None:
        now = time.monotonic()
        running = [
            (name, run, "", round((now - began_at) / run_s * 100, 1))
            for name, (run, began_at, run_s) in self._target.runs.items()
        ]
        self._reply(
            {
                "clockMs": int(now * 1000),
                "running": running,
                "ended": self._target.ended,
            }
        )

    def _reply(self, document: object) -> None:
        body = json.dumps(document, separators=(",", ":")).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        if not self._transport.is_closing():
            self._transport.write(head + length + body)


async def run_targets(pipe: Connection, options: argparse.Namespace) -> None:
    """Serve the targets and the table service until the pipe closes."""
    random.seed(1)
    store = StandinStore()
    store.start()
    store.state.put("op", "config", CONFIGURATION)
    service = CONFIGURATION["services"][0]["name"]  # type: ignore[index]
    loop = asyncio.get_running_loop()
    for index in range(options.targets):
        target = Target(f"i-{index}")
        server = await loop.create_server(
            lambda target=target: TargetConnection(target), LOOPBACK, 0
        )
        entry = {
            "service": service,
            "address": f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}",
            "zone": "a",
            "state": "ready",
            "capacity": {"cpu": 16_000, "memMb": 64_000, "gpu": 0},
            "labels": ["a", f"r1-{index % 8}"],
            "sequence": 1,
        }
        store.state.put("servers", target.target_id, entry)
    pipe.send(store.address)
    await _received(pipe)


class RunningMember:
    """A member with its servers."""

    def __init__(self, name: str, store: str, seeds: tuple[Address, ...]) -> None:
        callers, readiness, members, metrics = (
            Address(host=LOOPBACK, port=port) for port in free_ports(4)
        )
        host, _, port = store.rpartition(":")
        self.settings = FleetSettings(
            kind="fleet",
            member_name=name,
            failure_domain="a",
            callers=callers,
            readiness=readiness,
            members=members,
            metrics=metrics,
            seeds=seeds,
            table_service=Address(host=host, port=int(port)),
            link_mbps=1_000.0,
        )
        adapter = PlatformAdapter(self.settings)
        self.member = Member(settings=self.settings, services=adapter.services())
        self._server = ClosingServer([self.member.service])

    async def start(self) -> None:
        """Start to lead or follow."""
        address = self.settings.members
        await self._server.start(address.host, address.port)
        self._task = asyncio.get_running_loop().create_task(self.member.run())


async def run_leader(pipe: Connection, options: argparse.Namespace) -> None:
    """Lead, and send the figures of the time between two messages."""
    output = BoundedOutput(descriptor=os.open(os.devnull, os.O_WRONLY))
    configure_logging(stream=output)
    running = RunningMember("leader", await _received(pipe), ())
    await running.start()
    while running.member.leader_hears_targets < options.targets:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    pipe.send(running.settings.members)
    await _received(pipe)
    leader = running.member.leader
    assert leader is not None
    gc.collect()
    profiler = cProfile.Profile() if options.profile else None
    counters, load = leader.tables.counters, running.member.load
    starts, requests = counters.starts, sum(load.requests_by_kind.values())
    frames = load.frames_by_kind.copy()
    dropped = output.dropped
    cpu_s = time.process_time()
    if profiler is not None:
        profiler.enable()
    await _received(pipe)
    if profiler is not None:
        profiler.disable()
    cpu_s = time.process_time() - cpu_s
    starts = counters.starts - starts
    requests = sum(load.requests_by_kind.values()) - requests
    profile = io.StringIO()
    if profiler is not None:
        stats = pstats.Stats(profiler, stream=profile)
        stats.sort_stats("tottime").print_stats(SHOWN)
        stats.sort_stats("cumtime").print_stats(SHOWN)
    pipe.send(
        {
            "starts": starts,
            "cpu_s": cpu_s,
            "requests": requests,
            "frames": (load.frames_by_kind - frames).total(),
            "dropped_lines": output.dropped - dropped,
            "profile": profile.getvalue(),
        }
    )
    await _received(pipe)


async def run_followers(pipe: Connection, options: argparse.Namespace) -> None:
    """Follow, and submit jobs until the pipe says to stop."""
    store, leader = await _received(pipe)
    configure_logging(stream=open(os.devnull, "w"))  # noqa: SIM115, ASYNC230
    followers = [
        RunningMember(f"follower-{index}", store, (leader,))
        for index in range(options.followers)
    ]
    for follower in followers:
        await follower.start()
    while not all(row.member.is_ready for row in followers):  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    pipe.send("ready")
    services = [MemberJobService(member=row.member) for row in followers]
    route = services[0].find(HOST, PREFIX + "x")
    assert route is not None
    verdicts: dict[str, int] = {}
    open_jobs: set[asyncio.Task[None]] = set()

    async def submit(number: int) -> None:
        group = TaskGroup(
            count=TASKS_PER_JOB[number % len(TASKS_PER_JOB)],
            resources=TASK,
            expected_run_s=sum(RUN_S) / 2,
        )
        request = JobRequest(
            job_id=f"{number:016x}",
            payload="x" * 100,
            groups=(group,),
            must_be_stored=False,
        )
        service = services[number % len(services)]
        outcome = await service.submit(request, route, 4.0, waited_s=0.0)
        name = outcome.verdict.name.lower()
        verdicts[name] = verdicts.get(name, 0) + 1

    stop = asyncio.ensure_future(_received(pipe))
    period_s = sum(TASKS_PER_JOB) / len(TASKS_PER_JOB) / options.starts_per_s
    began_at = time.monotonic()
    number = 0
    while not stop.done():
        while number * period_s <= time.monotonic() - began_at:
            task = asyncio.ensure_future(submit(number))
            open_jobs.add(task)
            task.add_done_callback(open_jobs.discard)
            number += 1
        await asyncio.sleep(0.002)
    await asyncio.gather(*open_jobs)
    pipe.send(verdicts)


async def _received(pipe: Connection) -> Any:
    readable = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_reader(pipe.fileno(), readable.set)
    await readable.wait()
    loop.remove_reader(pipe.fileno())
    return pipe.recv()


def _run(
    role: Callable[[Connection, argparse.Namespace], Coroutine[Any, Any, None]],
    pipe: Connection,
    options: argparse.Namespace,
) -> None:
    uvloop.run(role(pipe, options))


def measure(options: argparse.Namespace) -> None:
    """Run the processes, and print the figures."""
    context = multiprocessing.get_context("spawn")
    processes = []
    pipes = []
    for role in (run_targets, run_leader, run_followers):
        own, other = context.Pipe()
        process = context.Process(target=_run, args=(role, other, options), daemon=True)
        process.start()
        processes.append(process)
        pipes.append(own)
    targets, leader, followers = pipes
    try:
        store = targets.recv()
        leader.send(store)
        followers.send((store, leader.recv()))
        followers.recv()
        time.sleep(WARM_UP_S)
        leader.send("begin")
        time.sleep(options.seconds)
        leader.send("end")
        figures = leader.recv()
        followers.send("stop")
        verdicts = followers.recv()
    finally:
        for process in processes:
            process.kill()
    starts = figures["starts"]
    print(figures["profile"])
    print(
        f"targets={options.targets} followers={options.followers}"
        f" starts_per_s={starts / options.seconds:.0f}"
        f" us_per_start={figures['cpu_s'] / starts * 1e6:.1f}"
        f" requests_per_start={figures['requests'] / starts:.2f}"
        f" frames_per_start={figures['frames'] / starts:.2f}"
        f" dropped_lines_per_s={figures['dropped_lines'] / options.seconds:.0f}"
        f" completed={verdicts.get(Verdict.COMPLETED.name.lower(), 0)}"
        f" other={sum(verdicts.values()) - verdicts.get('completed', 0)}"
    )


def main() -> None:
    """Measure with the sizes of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--targets", type=int, default=176)
    parser.add_argument("--followers", type=int, default=3)
    parser.add_argument("--starts-per-s", type=float, default=1_000.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--profile", action="store_true")
    measure(parser.parse_args())


if __name__ == "__main__":
    main()
