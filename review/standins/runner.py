"""Stand-in of a runner: carries out orders as the pages say, and records its runs."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from store import Store
from web import Answer, Request, Server, now_s

HOLD_MAX_MS = 1000
HEARTBEAT_S = 1.5
EXPIRED_AFTER_S = 3 * HEARTBEAT_S


@dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """One run of a task."""

    task: str
    number: int
    began_at: float
    work_s: float
    spec: str


@dataclass(slots=True, kw_only=True, eq=False)
class Runner:
    """A runner and all its lives at one address."""

    id: str
    zone: str
    store: Store
    host: str
    service: str
    labels: list[str]
    log: Callable[[str], None]
    cpu: int = 16_000
    work_s: Callable[[str], float] = lambda spec: float(spec)
    on_start: Callable[["Runner", Run], None] = lambda runner, run: None
    late_share: float = 0.0
    late_s: tuple[float, float] = (2.0, 12.0)
    is_up: bool = False
    state: str = "ready"
    server: Server = field(init=False)
    runs: dict[str, Run] = field(default_factory=dict)
    life: int = 0
    _born_at: float = 0.0
    _born_ms: int = 0
    _sequence: int = 0
    _fence: int = 0
    _deadline_ms: float = 0.0
    _last_run: dict[str, int] = field(default_factory=dict)
    _ended: list[list[Any]] = field(default_factory=list)
    _end_number: int = 0
    _new_end: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.server = Server(handler=self.handle, host=self.host)

    async def boot(self, *, up_for_s: float = 0.0) -> None:
        """Begin a life that knows nothing of the one before.

        :param up_for_s: for how long it has been up already, in seconds; its clock and
            the sequence of its entry say so.
        """
        self.life += 1
        self._born_at = now_s() - up_for_s
        self._born_ms = int((time.time() - up_for_s) * 1000)
        self._sequence = int(up_for_s / HEARTBEAT_S)
        self._fence = self._end_number = 0
        self._deadline_ms = 0.0
        self.runs, self._last_run, self._ended = {}, {}, []
        self.state = "ready"
        await self.server.start()
        self.is_up = True
        self._spawn(self._beat(self.life))
        self._spawn(self._advance_forever(self.life))
        self.log(f"runner {self.id} life {self.life} begins labels={self.labels}")

    async def crash(self) -> None:
        """End this life: everything that runs here is gone."""
        self.is_up = False
        self.log(f"runner {self.id} crashes with {sorted(self.runs)}")
        self.runs = {}
        await self.server.stop()

    def close(self) -> None:
        """End all background work."""
        for task in self._tasks:
            task.cancel()

    def clock_ms(self) -> int:
        """Return the steady clock of this life."""
        return int((now_s() - self._born_at) * 1000)

    def entry(self) -> dict[str, Any]:
        """Return what it says of itself."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65_536, "gpu": 0},
            "labels": self.labels,
            "sequence": self._sequence,
            "born": self._born_ms,
        }

    def publish(self) -> None:
        """Write its entry."""
        self._sequence += 1
        self.store.put("servers", self.id, self.entry())

    def has(self, task: str) -> bool:
        """Return whether a task runs here now."""
        self.advance()
        return task in self.runs

    def advance(self) -> None:
        """Apply all that has happened up to now: ends of work and of the lease."""
        now = now_s()
        lease_end = self._born_at + self._deadline_ms / 1000
        for run in sorted(self.runs.values(), key=lambda r: r.began_at + r.work_s):
            done_at = run.began_at + run.work_s
            if done_at <= min(now, lease_end):
                self._end(run, "done")
        if now > lease_end:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._last_run[run.task] = max(self._last_run.get(run.task, 0), run.number)
        self._end_number += 1
        self._ended.append([self._end_number, run.task, run.number, how, ""])
        self.log(f"runner {self.id} ends {run.task} run {run.number}: {how}")
        self._new_end.set()
        self._new_end = asyncio.Event()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self, life: int) -> None:
        while self.is_up and self.life == life:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    async def _advance_forever(self, life: int) -> None:
        while self.is_up and self.life == life:
            self.advance()
            await asyncio.sleep(0.002)

    async def handle(self, request: Request) -> Answer:
        """Answer one order, or carry it out late without an answer."""
        if random.random() < self.late_share:
            delay_s = random.uniform(*self.late_s)
            self.log(
                f"runner {self.id} leaves {request.path} unanswered,"
                f" carried out in {delay_s:.2f} s: {request.body.decode()}"
            )
            self._spawn(self._carry_out_late(request, delay_s, self.life))
            return None
        return await self._carry_out(request)

    async def _carry_out_late(
        self, request: Request, delay_s: float, life: int
    ) -> None:
        await asyncio.sleep(delay_s)
        if self.is_up and self.life == life:
            answer = await self._carry_out(request)
            if request.path != "/api/hold":
                self.log(
                    f"runner {self.id} carries out late: {request.path}"
                    f" {request.body.decode()} -> {answer}"
                )

    async def _carry_out(self, request: Request) -> Answer:
        self.advance()
        if request.headers.get("x-cassiaturn-expected-instance", self.id) != self.id:
            return self._reply(421)
        body = request.document()
        token = body.get("fencingToken", 0)
        if token < self._fence:
            return self._reply(409, reason="fence")
        self._fence = token
        match request.path:
            case "/api/run-start":
                return self._start(body)
            case "/api/run-stop":
                return self._stop(body)
            case "/api/hold":
                return await self._hold(body)
        return self._reply(404)

    def _reply(self, status: int, **fields: Any) -> Answer:
        return status, {"clockMs": self.clock_ms(), **fields}

    def _extend(self, deadline_ms: float | None) -> None:
        if deadline_ms is not None:
            longest = self.clock_ms() + HOLD_MAX_MS
            self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest))

    def _start(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        deadline_ms = body.get("deadlineMs")
        present = self.runs.get(task)
        if present is not None and present.number == number:
            self._extend(deadline_ms)
            return self._reply(200)
        if number <= self._last_run.get(task, 0):
            self._extend(deadline_ms)
            return self._reply(409, reason="old")
        if deadline_ms is None or deadline_ms <= self.clock_ms():
            return self._reply(409, reason="late")
        self._extend(deadline_ms)
        if present is not None:
            return self._reply(409, reason="room")
        spec = body.get("taskSpec", "")
        run = Run(
            task=task,
            number=number,
            began_at=now_s(),
            work_s=self.work_s(spec),
            spec=spec,
        )
        self.runs[task] = run
        self.log(
            f"runner {self.id} starts {task} run {number}"
            f" token {body.get('fencingToken', 0)} deadlineMs {deadline_ms}"
            f" clockMs {self.clock_ms()}"
        )
        self.on_start(self, run)
        return self._reply(200)

    def _stop(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            self._end(run, "stopped")
        self._last_run[task] = max(self._last_run.get(task, 0), number)
        return self._reply(200)

    async def _hold(self, body: dict[str, Any]) -> Answer:
        self._extend(body.get("deadlineMs"))
        seen = body.get("lastSeen", 0)
        self._ended = [row for row in self._ended if row[0] > seen]
        end_at = now_s() + min(2000, body.get("waitMs", 0)) / 1000
        life = self.life
        while not self._ended and now_s() < end_at and self.life == life:
            try:
                async with asyncio.timeout(end_at - now_s()):
                    await self._new_end.wait()
            except TimeoutError:
                break
        self.advance()
        now = now_s()
        running = [
            [
                run.task,
                run.number,
                "",
                min(99, int((now - run.began_at) / run.work_s * 100)),
                6800,
            ]
            for run in self.runs.values()
        ]
        return self._reply(
            200, running=running, ended=self._ended[:500], born=self._born_ms
        )
