"""A stand-in of a runner that guards its capacity, as the pages describe it.

What a task takes is written into its ``taskSpec``: ``seconds=2.0 cpu=4000``.
"""

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from small_fleet.http import Request, Response, Server

HOLD_MAX_S = 1.0
ENDS_AT_ONCE = 500
CLOCK_START_MS = 480_000
"""A runner's clock at its start, in milliseconds."""


@dataclass(slots=True, kw_only=True)
class Run:
    """One run of a task."""

    runner: str
    task: str
    number: int
    spec: str
    started_at: float
    length_s: float
    cpu: int
    ended_at: float | None = None
    how: str = ""


def _fields(spec: str) -> dict[str, str]:
    pairs = (word.partition("=") for word in spec.split())
    return {name: value for name, _, value in pairs}


@dataclass(slots=True, kw_only=True)
class History:
    """All runs on all runners, in the order of their starts."""

    runs: list[Run] = field(default_factory=list)
    on_start: Callable[[Run], None] = lambda run: None


class Runner:
    """One life of a runner on one port."""

    def __init__(
        self, runner_id: str, *, service: str, zone: str, cpu: int, history: History
    ) -> None:
        """Create a runner that runs nothing."""
        self.runner_id = runner_id
        self.service = service
        self.zone = zone
        self.cpu = cpu
        self.kind = "a"
        self.state = "ready"
        self.born_ms: int | None = None
        """Unix time of its start, where a runner may keep its id; None: not told."""

        self._sequence = itertools.count(1)
        self._history = history
        self._running: dict[str, Run] = {}
        self._ended: list[tuple[int, Run]] = []
        self._highest_by_task: dict[str, int] = {}
        self._ends = 0
        self._token = 0
        self._lease_until = 0.0
        self._clock_start_s = time.monotonic()
        self._changed = asyncio.Event()
        self._server = Server(self._handle)
        self._clock: asyncio.Task[None] | None = None
        self.orders: list[tuple[float, str, dict[str, object], int]] = []
        """Time, path, body and status of every order."""

    @property
    def address(self) -> str:
        """Its address."""
        return self._server.address

    async def start(self) -> None:
        """Open its port."""
        await self._server.start()
        self._clock = asyncio.create_task(self._advance_for_ever())

    async def close(self) -> None:
        """Close its port."""
        if self._clock is not None:
            self._clock.cancel()
        await self._server.close()

    async def crash(self) -> None:
        """End its process: everything that runs on it ends, and nothing is told."""
        await self.close()
        for run in list(self._running.values()):
            self._end(run, "lost with its runner", time.monotonic())

    async def start_again(self, *, kind: str) -> None:
        """Start another life under the same id and address, of another kind."""
        port = int(self.address.rpartition(":")[2])
        self.kind = kind
        self.born_ms = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        self._ended, self._ends = [], 0
        self._highest_by_task = {}
        self._token = 0
        self._lease_until = 0.0
        self._clock_start_s = time.monotonic()
        self._server = Server(self._handle)
        await self._server.start(port)
        self._clock = asyncio.create_task(self._advance_for_ever())

    def entry(self) -> dict[str, object]:
        """Return what it writes into the store next."""
        return {
            **self._born(),
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65_536, "gpu": 0},
            "labels": [self.kind, "r1-1"],
            "clockMs": self._clock_ms(),
            "sequence": next(self._sequence),
        }

    def _born(self) -> dict[str, object]:
        return {} if self.born_ms is None else {"born": self.born_ms}

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_start_s) * 1000) + CLOCK_START_MS

    async def _advance_for_ever(self) -> None:
        while True:
            self._advance()
            await asyncio.sleep(0.005)

    def _advance(self) -> None:
        now = time.monotonic()
        for run in list(self._running.values()):
            done_at = run.started_at + run.length_s
            if done_at <= min(now, self._lease_until):
                self._end(run, "done", done_at)
            elif self._lease_until <= now:
                self._end(run, "lapsed", self._lease_until)

    def _end(self, run: Run, how: str, at: float) -> None:
        run.how = how
        run.ended_at = at
        del self._running[run.task]
        self._raise_highest(run.task, run.number)
        self._ends += 1
        self._ended.append((self._ends, run))
        self._changed.set()
        self._changed = asyncio.Event()

    def _raise_highest(self, task: str, number: int) -> None:
        highest = self._highest_by_task.get(task, 0)
        self._highest_by_task[task] = max(highest, number)

    async def _handle(self, request: Request) -> Response:
        self._advance()
        body = request.document()
        response = await self._answer(request, body)
        order = (time.monotonic(), request.path, body, response.status)
        self.orders.append(order)
        return response

    async def _answer(self, request: Request, body: dict[str, object]) -> Response:
        expected = request.headers.get("x-cassiaturn-expected-instance")
        if expected != self.runner_id:
            return self._reply(421)
        token = _number(body, "fencingToken")
        if token < self._token:
            return self._reply(409, reason="fence")
        self._token = token
        match request.path:
            case "/api/run-start":
                return self._start(body)
            case "/api/run-stop":
                return self._stop(body)
            case "/api/hold":
                return await self._hold(body)
        return self._reply(400)

    def _reply(self, status: int, **fields: object) -> Response:
        document = {"clockMs": self._clock_ms(), **fields}
        return Response(status=status, document=document)

    def _renew(self, body: dict[str, object]) -> None:
        if "deadlineMs" not in body:
            return
        left_s = (_number(body, "deadlineMs") - self._clock_ms()) / 1000
        until = time.monotonic() + min(HOLD_MAX_S, left_s)
        self._lease_until = max(self._lease_until, until)

    def _start(self, body: dict[str, object]) -> Response:
        task, number = str(body["task"]), _number(body, "run")
        running = self._running.get(task)
        if running is not None and running.number == number:
            self._renew(body)
            return self._reply(200)
        if number <= self._highest_by_task.get(task, 0) or running is not None:
            self._renew(body)
            return self._reply(409, reason="old")
        if _number(body, "deadlineMs") <= self._clock_ms():
            return self._reply(409, reason="late")
        self._renew(body)
        spec = str(body["taskSpec"])
        wanted = _fields(spec)
        cpu = int(wanted["cpu"])
        used = sum(run.cpu for run in self._running.values())
        if used + cpu > self.cpu:
            return self._reply(409, reason="room")
        run = Run(
            runner=self.runner_id,
            task=task,
            number=number,
            spec=spec,
            started_at=time.monotonic(),
            length_s=float(wanted["seconds"]),
            cpu=cpu,
        )
        self._running[task] = run
        self._history.runs.append(run)
        self._history.on_start(run)
        return self._reply(200)

    def _stop(self, body: dict[str, object]) -> Response:
        task, number = str(body["task"]), _number(body, "run")
        self._raise_highest(task, number)
        running = self._running.get(task)
        if running is not None and running.number <= number:
            self._end(running, "stopped", time.monotonic())
        return self._reply(200)

    async def _hold(self, body: dict[str, object]) -> Response:
        self._renew(body)
        seen = _number(body, "lastSeen")
        self._ended = [row for row in self._ended if row[0] > seen]
        end_at = time.monotonic() + min(2_000, _number(body, "waitMs")) / 1000
        while not self._ended and (left_s := end_at - time.monotonic()) > 0.0:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                break
        self._advance()
        now = time.monotonic()
        return self._reply(
            200,
            **self._born(),
            running=[
                [run.task, run.number, "", _percent(run, now), float(run.cpu)]
                for run in self._running.values()
            ],
            ended=[
                [number, run.task, run.number, run.how, ""]
                for number, run in self._ended[:ENDS_AT_ONCE]
            ],
        )


def _number(body: dict[str, object], name: str) -> int:
    value = body.get(name, 0)
    return value if isinstance(value, int) else 0


def _percent(run: Run, now: float) -> int:
    return min(99, int(100 * (now - run.started_at) / run.length_s))
