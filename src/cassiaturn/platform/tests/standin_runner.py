"""A fake runner: the platform's protocol in front of a virtual target."""

import asyncio
import json
import time

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from cassiaturn.entities import Resources, RunEnd, StartAnswer, TaskGroup, TaskRef
from cassiaturn.platform._decode import decode_ref, encode_ref
from cassiaturn.platform.tests.standin_store import LOOPBACK
from cassiaturn.standins.virtual_targets import VirtualTarget

SERVICE = "svc"

TASK = Resources(cpu_millis=4_000)
"""Resources of every task; start orders do not contain them."""

END_NAME_BY_END = {
    RunEnd.DONE: "done",
    RunEnd.FAILED: "failed",
    RunEnd.STOPPED: "stopped",
    RunEnd.LEASE_EXPIRED: "lapsed",
}

REASON_BY_ANSWER = {
    StartAnswer.NO_ROOM: "room",
    StartAnswer.OUTDATED: "old",
    StartAnswer.LATE: "late",
}


class StandinRunner:
    """A runner on one port, which may restart under its id."""

    def __init__(self, target_id: str, *, run_s: float = 0.05, zone: str = "a") -> None:
        self.target = VirtualTarget(
            target_id=target_id, capacity=Resources(cpu_millis=16_000)
        )
        self.run_s = run_s
        self.zone = zone
        self.labels = ["a", "r1-1"]
        self.born_ms = 0
        """Start of its process in Unix milliseconds; 0: it does not tell."""
        self.sequence = 1
        self.started_at = time.monotonic() - 5_000.0
        self.token = 0
        self.silent = False
        self.block_loop_s = 0.0
        """For how long the next start order blocks the whole process, in seconds."""
        self.starts: list[TaskRef] = []
        """The task of each start; a repeated order for a run that is there starts
        nothing."""
        self.orders: list[tuple[TaskRef, int]] = []
        """Task and run number of each start order, answered or not."""
        self.overlaps = 0
        self.longest_lease_ms = 0
        """Longest time from an order until the end of the lease that it names."""
        self.lease_requests = 0
        self.address = ""
        self._server = self._make_server()

    def _make_server(self) -> HTTPServer:
        shared = {"runner": self}
        return HTTPServer(
            Application(
                [
                    ("/api/run-start", _Start, shared),
                    ("/api/run-stop", _Stop, shared),
                    ("/api/hold", _Hold, shared),
                ],
                log_function=lambda _: None,
            )
        )

    def start(self) -> None:
        sockets = bind_sockets(0, LOOPBACK)
        self._server.add_sockets(sockets)
        self.address = f"{LOOPBACK}:{sockets[0].getsockname()[1]}"

    async def restart(self, *, after_s: float = 0.1) -> None:
        """End the process, and start another one under the same id and address."""
        port = int(self.address.rpartition(":")[2])
        await self.close()
        await asyncio.sleep(after_s)
        self.target = VirtualTarget(
            target_id=self.target.target_id, capacity=self.target.capacity
        )
        self.token = 0
        self.sequence = 1
        self.started_at = time.monotonic()
        self.born_ms += round(self.started_at * 1000)
        self._server = self._make_server()
        self._server.add_sockets(bind_sockets(port, LOOPBACK))

    async def close(self) -> None:
        self._server.stop()
        await self._server.close_all_connections()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the directory entry that it publishes."""
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": 16_000, "memMb": 64_000, "gpu": 0},
            "labels": self.labels,
            "sequence": self.sequence,
            **self.told_birth(),
        }

    def told_birth(self) -> dict[str, object]:
        return {"born": self.born_ms} if self.born_ms else {}

    def clock_ms(self) -> int:
        return int((time.monotonic() - self.started_at) * 1000)


class _Handler(RequestHandler):
    runner: StandinRunner

    def initialize(self, runner: StandinRunner) -> None:
        self.runner = runner

    async def prepare(self) -> None:
        runner = self.runner
        if runner.silent:
            await asyncio.sleep(5.0)
        expected = self.request.headers.get("X-Cassiaturn-Expected-Instance")
        self.body = json.loads(self.request.body)
        runner.target.advance(time.monotonic())
        if expected != runner.target.target_id:
            self.reply(421)
        elif self.body.get("fencingToken", 0) < runner.token:
            self.reply(409, reason="fence")
        else:
            runner.token = self.body.get("fencingToken", 0)

    def reply(self, status: int, **fields: object) -> None:
        self.set_status(status)
        self.finish(json.dumps({"clockMs": self.runner.clock_ms(), **fields}))

    def renew(self) -> None:
        until_ms = self.body.get("deadlineMs", 0)
        left_ms = until_ms - self.runner.clock_ms()
        self.runner.longest_lease_ms = max(self.runner.longest_lease_ms, left_ms)
        left_s = min(1.0, left_ms / 1000)
        target = self.runner.target
        target.lease_until = max(target.lease_until, time.monotonic() + left_s)


class _Start(_Handler):
    async def prepare(self) -> None:
        order = json.loads(self.request.body)
        self.runner.orders.append((decode_ref(order["task"]), order["run"]))
        await super().prepare()

    def post(self) -> None:
        runner = self.runner
        blocked_s, runner.block_loop_s = runner.block_loop_s, 0.0
        time.sleep(blocked_s)
        if self.body.get("deadlineMs", 0) <= runner.clock_ms():
            self.reply(409, reason="late")
            return
        ref = decode_ref(self.body["task"])
        number = self.body["run"]
        running = runner.target.runs_by_ref.get(ref)
        is_repeated = running is not None and running.number == number
        answer = runner.target.start(
            ref,
            number,
            TaskGroup(count=1, resources=TASK),
            runner.run_s,
            time.monotonic(),
        )
        self.renew()
        if answer is not StartAnswer.STARTED:
            self.reply(409, reason=REASON_BY_ANSWER[answer])
            return
        if not is_repeated:
            runner.starts.append(ref)
        self.reply(200)


class _Stop(_Handler):
    def post(self) -> None:
        target = self.runner.target
        ref = decode_ref(self.body["task"])
        work = target.runs_by_ref.get(ref)
        if work is not None and work.number == self.body["run"]:
            target.end(ref, RunEnd.STOPPED)
        target.last_run_by_ref[ref] = max(
            target.last_run_by_ref.get(ref, 0), self.body["run"]
        )
        self.reply(200)


class _Hold(_Handler):
    async def post(self) -> None:
        runner, target = self.runner, self.runner.target
        runner.lease_requests += 1
        self.renew()
        seen = self.body.get("lastSeen", 0)
        end_at = time.monotonic() + self.body.get("waitMs", 0) / 1000
        while True:
            now = time.monotonic()
            target.advance(now)
            report = target.report(seen, now)
            if report.ended or now >= end_at:
                break
            await asyncio.sleep(0.005)
        self.reply(
            200,
            **runner.told_birth(),
            running=[
                [encode_ref(row.ref), row.run, row.checkpoint, row.percent]
                for row in report.running
            ],
            ended=[
                [
                    row.sequence,
                    encode_ref(row.ref),
                    row.run,
                    END_NAME_BY_END[row.end],
                    "",
                ]
                for row in report.ended
            ],
        )
