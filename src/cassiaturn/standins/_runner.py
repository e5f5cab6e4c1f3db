"""A runner: starts tasks in slots under leases, as a target does."""

import asyncio
import time
import uuid
from typing import Final

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream
from tornado.netutil import bind_sockets

from cassiaturn.entities import RunStatus, TaskKey
from cassiaturn.standins._fault import RunnerFault
from cassiaturn.standins._journal import Journal, JournalEvent
from cassiaturn.standins._replies import reply_to
from cassiaturn.standins._run_time import RunTime
from cassiaturn.standins._runner_settings import RunnerHostSettings, RunnerSettings
from cassiaturn.standins._session_table import HolderSession, SessionTable
from cassiaturn.standins._task_table import BegunTask, TaskTable
from cassiaturn.standins._usage import UsageReport
from cassiaturn.v1 import runner_pb2 as pb
from cassiaturn.v1.runner_grpc import RunnerBase

LEASE_CHECK_S: Final = 0.05
"""Pause between looks for lapsed leases, in seconds."""

STATUS_FRAME_S: Final = 1.0
"""Pause between frames that carry the usage and the clock, in seconds."""

_Session = Stream[pb.ToRunner, pb.FromRunner]
_Fence = Stream[pb.FenceRequest, pb.FenceReply]


def clock_ms() -> int:
    """Return the runner's own clock, which is monotonic, in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def key_of(ref: pb.TaskRef) -> TaskKey:
    """Return the key that a reference names."""
    return TaskKey(ref.submission_id, ref.index)


class RunnerStandIn(RunnerBase):
    """One runner on one port; tasks are timers, their replies digests."""

    def __init__(self, *, settings: RunnerSettings, host: RunnerHostSettings) -> None:
        """Prepare a runner; :meth:`start` opens its port.

        :param settings: the runner.
        :param host: the process that hosts it.
        """
        self.settings = settings
        self.port = settings.port
        self.incarnation = uuid.uuid4().hex
        self.starts = 0
        self.refusals = 0
        self.table = TaskTable(
            slots=settings.slots,
            methods=host.methods,
            remembered_tasks=host.remembered_tasks,
            keep_acknowledged_ms=host.keep_acknowledged_ms,
        )
        self._host = host
        self._began_at = time.monotonic()
        self._fault = RunnerFault()
        self._sessions = SessionTable()
        self._timers_by_key: dict[TaskKey, asyncio.TimerHandle] = {}
        self._began_at_by_key: dict[TaskKey, float] = {}
        self._usage = UsageReport(lag_ms=host.usage_lag_ms)
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._journal = Journal(path=settings.journal) if settings.journal else None
        self._server: Server | None = None
        self._background: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the port and begin to watch leases."""
        # The server binds to the loop that runs when it is made.
        self._server = Server([self])
        sockets = bind_sockets(self.port, self._host.host)
        self.port = sockets[0].getsockname()[1]
        await self._server.start(sock=sockets[0])
        self._background = [
            asyncio.create_task(self._watch_leases()),
            asyncio.create_task(self._report_status()),
        ]

    async def close(self) -> None:
        """Close the port and stop every task."""
        for task in self._background:
            task.cancel()
        for timer in self._timers_by_key.values():
            timer.cancel()
        for session in self._sessions.all():
            session.end()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def set_fault(self, fault: RunnerFault) -> None:
        """Show a fault from now on, in place of the one before.

        :param fault: the whole fault; the default one clears it.
        """
        self._fault = fault
        self.table.leaving = fault.leaving
        if fault.freeze_answers:
            self._thawed.clear()
        else:
            self._thawed.set()
        for session in self._sessions.all():
            session.outbox.pending.leaving = fault.leaving
            session.outbox.notify()
            if fault.refuse_connections:
                session.end()

    async def Session(self, stream: _Session) -> None:  # noqa: N802
        """Serve one holder until its stream ends."""
        first = await stream.recv_message()
        if first is None:
            return
        self._check_connections()
        session = self._sessions.open(first.holder)
        self._greet(session)
        try:
            await self._serve(session, stream, first)
        finally:
            self._sessions.close(session)

    async def Fence(self, stream: _Fence) -> None:  # noqa: N802
        """Refuse later starts of a home and tell what it began."""
        request = await stream.recv_message()
        if request is None or not request.home:
            raise GRPCError(Status.INVALID_ARGUMENT, "no home given")
        await self._thawed.wait()
        if not request.only_tell:
            self.table.fence(request.home)
        about = frozenset(key_of(ref) for ref in request.about)
        begun = self.table.begun_of(
            request.home, about=about, lease_ms=request.lease_ms, now_ms=clock_ms()
        )
        reply = pb.FenceReply(
            target_id=self.settings.target_id,
            begun=[task.to_message() for task in begun],
            exhaustive=self.table.is_exhaustive_for(request.home),
            uptime_ms=int((time.monotonic() - self._began_at) * 1000),
            remembers_ms=self.table.keep_acknowledged_ms,
        )
        await stream.send_message(reply)

    def _check_connections(self) -> None:
        if self._fault.refuse_connections:
            raise GRPCError(Status.UNAVAILABLE, "refuses connections")
        if len(self._sessions.sessions_by_holder) >= self.settings.connections:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many connections")

    def _greet(self, session: HolderSession) -> None:
        frame = session.outbox.pending
        frame.welcome.target_id = self.settings.target_id
        frame.welcome.incarnation = self.incarnation
        frame.welcome.slots = self.settings.slots
        frame.welcome.connections = self.settings.connections
        frame.welcome.slots_in_use = len(self.table.running_by_key)
        frame.leaving = self._fault.leaving
        for task in self.table.unacknowledged_of(session.holder):
            frame.results.append(task.to_message())
        session.outbox.notify()

    async def _serve(
        self, session: HolderSession, stream: _Session, first: pb.ToRunner
    ) -> None:
        jobs = [
            asyncio.create_task(self._receive(session, stream, first)),
            asyncio.create_task(self._pump(session, stream)),
            asyncio.create_task(session.over.wait()),
        ]
        try:
            await asyncio.wait(jobs, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for job in jobs:
                job.cancel()
            await asyncio.gather(*jobs, return_exceptions=True)

    async def _pump(self, session: HolderSession, stream: _Session) -> None:
        async def send(frame: pb.FromRunner) -> None:
            await self._thawed.wait()
            frame.clock_ms = clock_ms()
            await stream.send_message(frame)

        await session.outbox.pump(send)

    async def _receive(
        self, session: HolderSession, stream: _Session, first: pb.ToRunner
    ) -> None:
        self._take(session, first)
        async for frame in stream:
            if session.over.is_set():
                return
            self._take(session, frame)

    def _take(self, session: HolderSession, frame: pb.ToRunner) -> None:
        now_ms = clock_ms()
        for ref in frame.renewals:
            self.table.renew(key_of(ref), attempt=ref.attempt, now_ms=now_ms)
        for ref in frame.acknowledged:
            self.table.acknowledge(key_of(ref), attempt=ref.attempt, now_ms=now_ms)
        for start in frame.starts:
            self._take_start(session, start, now_ms)
        for ref in frame.cancels:
            self._cancel(ref)

    def _take_start(
        self, session: HolderSession, start: pb.StartTask, now_ms: int
    ) -> None:
        outcome = self.table.start(start, holder=session.holder, now_ms=now_ms)
        if isinstance(outcome, BegunTask):
            self._begin(outcome)
            return
        self.refusals += 1
        session.outbox.pending.refusals.add(
            ref=start.ref,
            reason=int(outcome),
        )
        session.outbox.notify()
        self._write(
            JournalEvent.REFUSED,
            key_of(start.ref),
            start.ref.attempt,
            outcome=outcome.name,
        )

    def _begin(self, task: BegunTask) -> None:
        self.starts += 1
        self._began_at_by_key[task.key] = time.monotonic()
        self._write(JournalEvent.STARTED, task.key, task.attempt, home=task.home)
        if self._fault.fail_everything:
            self._end(task.key, RunStatus.FAILED, detail="fails everything")
            return
        run_time = self._run_time_of(task.method)
        run_ms = run_time.draw_ms(task.key, seed=self._host.seed)
        self._timers_by_key[task.key] = asyncio.get_running_loop().call_later(
            run_ms * self._fault.slow_factor / 1000, self._complete, task
        )

    def _run_time_of(self, method: str) -> RunTime:
        return self._host.run_times_by_method.get(method, self._host.run_time)

    def _complete(self, task: BegunTask) -> None:
        # The timer may come late, after a pause of this process; a lease that
        # has lapsed by then ends the task without its result.
        if task.lease_until_ms < clock_ms():
            self._end(task.key, RunStatus.LEASE_LAPSED)
            return
        reply = reply_to(method=task.method, payload=task.payload, key=task.key)
        self._end(task.key, RunStatus.DONE, result=reply)

    def _cancel(self, ref: pb.TaskRef) -> None:
        task = self.table.running_by_key.get(key_of(ref))
        if task is not None and task.attempt == ref.attempt:
            self._end(task.key, RunStatus.CANCELLED)

    def _end(
        self,
        key: TaskKey,
        status: RunStatus,
        *,
        result: bytes = b"",
        detail: str = "",
    ) -> None:
        timer = self._timers_by_key.pop(key, None)
        if timer is not None:
            timer.cancel()
        task = self.table.end(
            key, status=status, now_ms=clock_ms(), result=result, detail=detail
        )
        if task is None:
            return
        self._write(
            JournalEvent.ENDED,
            key,
            task.attempt,
            outcome=status.name,
            run_ms=(time.monotonic() - self._began_at_by_key.pop(key)) * 1000,
        )
        session = self._sessions.sessions_by_holder.get(task.holder)
        if session is not None:
            session.outbox.pending.results.append(task.to_message())
            session.outbox.notify()

    async def _watch_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now_ms = clock_ms()
            for task in self.table.lapsed(now_ms=now_ms):
                self._end(task.key, RunStatus.LEASE_LAPSED)
            self.table.forget_old(now_ms=now_ms)

    async def _report_status(self) -> None:
        while True:
            self._usage.note(running=len(self.table.running_by_key), now_ms=clock_ms())
            usage = self._usage.latest(now_ms=clock_ms())
            for session in self._sessions.all():
                session.outbox.pending.usage.CopyFrom(usage)
                session.outbox.pending.leaving = self._fault.leaving
                session.outbox.notify()
            await asyncio.sleep(STATUS_FRAME_S)

    def _write(
        self,
        event: JournalEvent,
        key: TaskKey,
        attempt: int,
        *,
        home: str = "",
        outcome: str = "",
        run_ms: float = 0.0,
    ) -> None:
        if self._journal is None:
            return
        self._journal.append(
            event=event,
            target_id=self.settings.target_id,
            key=key,
            attempt=attempt,
            home=home,
            outcome=outcome,
            run_ms=run_ms,
        )
