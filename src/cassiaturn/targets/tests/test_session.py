"""Sessions and fences with a runner: starts, refusals, reconnection, fencing."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from cassiaturn.entities import Address, TaskKey
from cassiaturn.standins import (
    JournalEvent,
    RunnerFault,
    RunnerHost,
    RunnerHostSettings,
    RunnerSettings,
    RunTime,
    read_journal,
    reply_to,
)
from cassiaturn.targets import RunnerSession, SessionCallbacks, fence
from cassiaturn.v1 import runner_pb2 as pb

METHOD = "test.v1.Test/Echo"
TIMEOUT_S = 5.0


@dataclass(slots=True)
class Received:
    """What a session passed to its callbacks."""

    results: list[pb.TaskResult] = field(default_factory=list)
    refusals: list[pb.StartRefusal] = field(default_factory=list)
    welcomes: int = 0
    losses: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def until(self, is_met: Callable[["Received"], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not is_met(self):
                self.changed.clear()
                await self.changed.wait()

    def on_welcome(self, target_id: str, welcome: pb.Welcome) -> None:
        self.welcomes += 1
        self.changed.set()

    def on_frame(self, target_id: str, frame: pb.FromRunner) -> None:
        self.results.extend(frame.results)
        self.refusals.extend(frame.refusals)
        self.changed.set()

    def on_lost(self, target_id: str) -> None:
        self.losses += 1
        self.changed.set()


@dataclass(slots=True)
class Connection:
    """A runner and a session with it."""

    host: RunnerHost
    session: RunnerSession
    received: Received
    journal: Path

    @property
    def runner_port(self) -> int:
        return self.host.runners_by_id["t1"].port

    def send_start(
        self, index: int, *, attempt: int = 1, start_by_ms: int | None = None
    ) -> None:
        if start_by_ms is None:
            start_by_ms = self.session.runner_clock(time.monotonic()) + 10_000
        self.session.outbox.pending.starts.add(
            ref=pb.TaskRef(submission_id="s", index=index, attempt=attempt),
            method=METHOD,
            payload=b"payload",
            home="home-1",
            start_by_ms=start_by_ms,
            lease_ms=10_000,
        )
        self.session.outbox.notify()


@pytest.fixture
async def connection(tmp_path: Path) -> AsyncIterator[Connection]:
    journal = tmp_path / "t1.jsonl"
    runner = RunnerSettings(target_id="t1", port=0, slots=2, journal=journal)
    host = RunnerHost(
        settings=RunnerHostSettings(runners=[runner], run_time=RunTime(median_ms=20))
    )
    await host.start()
    received = Received()
    session = RunnerSession(
        target_id="t1",
        address=Address(host="127.0.0.1", port=host.runners_by_id["t1"].port),
        holder="holder-1",
        callbacks=SessionCallbacks(
            on_welcome=received.on_welcome,
            on_frame=received.on_frame,
            on_lost=received.on_lost,
        ),
    )
    session.start()
    await received.until(lambda received: received.welcomes == 1)
    yield Connection(host=host, session=session, received=received, journal=journal)
    await session.close()
    await host.close()


async def test_started_task_returns_the_result_for_its_payload(
    connection: Connection,
) -> None:
    connection.send_start(0)
    await connection.received.until(lambda received: len(received.results) == 1)
    result = connection.received.results[0]
    key = TaskKey("s", 0)
    assert result.status == pb.TASK_STATUS_DONE
    assert result.result == reply_to(method=METHOD, payload=b"payload", key=key)
    events = [entry.event for entry in read_journal(connection.journal)]
    assert events == [JournalEvent.STARTED, JournalEvent.ENDED]


async def test_slots_are_enforced(connection: Connection) -> None:
    """More starts than slots arrive, as from two holders; the excess is refused."""
    for index in range(3):
        connection.send_start(index)
    await connection.received.until(lambda received: len(received.results) == 2)
    assert connection.received.refusals[0].reason == pb.REFUSAL_REASON_BUSY


async def test_start_after_its_start_by_time_is_refused(connection: Connection) -> None:
    """A holder is suspended between building a start and sending it.

    Meanwhile the home has given up the task and answered "not run" to the caller. The
    start arrives after its start-by time; if the task ran, that answer would be false.
    """
    connection.send_start(
        0, start_by_ms=connection.session.runner_clock(time.monotonic()) - 1
    )
    await connection.received.until(lambda received: len(received.refusals) == 1)
    assert connection.received.refusals[0].reason == pb.REFUSAL_REASON_LATE
    assert all(
        entry.event is not JournalEvent.STARTED
        for entry in read_journal(connection.journal)
    )


async def test_runner_clock_is_never_ahead(connection: Connection) -> None:
    """A bound ahead of the runner's clock would make start-by times too late."""
    bound_ms = connection.session.runner_clock(time.monotonic())
    assert 0 < bound_ms <= time.monotonic_ns() // 1_000_000


async def test_result_from_a_lost_stream_arrives_after_reconnecting(
    connection: Connection,
) -> None:
    """The stream breaks while a task runs.

    The session reconnects, and the frame with the welcome lists the task or its
    result. So the caller gets its answer, and the task is not started again.
    """
    runner = connection.host.runners_by_id["t1"]
    connection.send_start(0)
    connection.send_start(1, start_by_ms=0)
    # The refusal of the second start implies that the first was accepted.
    await connection.received.until(lambda received: len(received.refusals) == 1)
    runner.set_fault(RunnerFault(refuse_connections=True))
    await connection.received.until(lambda received: received.losses == 1)
    runner.set_fault(RunnerFault())
    await connection.received.until(
        lambda received: any(
            result.status == pb.TASK_STATUS_DONE for result in received.results
        )
    )
    assert connection.received.welcomes == 2
    assert runner.starts == 1


async def test_fence_lists_started_tasks_and_refuses_later_starts(
    connection: Connection,
) -> None:
    """A home dies, and a successor fences it at every target.

    The task that had started is listed, so the successor adopts it. A start of the dead
    home that arrives later is refused, so no task runs twice.
    """
    connection.send_start(0)
    await connection.received.until(lambda received: len(received.results) == 1)
    address = Address(host="127.0.0.1", port=connection.runner_port)
    reply = (await fence(address=address, home="home-1", timeout_s=2)).unwrap()
    assert reply.exhaustive
    assert [task.ref.index for task in reply.begun] == [0]
    connection.send_start(1)
    await connection.received.until(lambda received: len(received.refusals) == 1)
    assert connection.received.refusals[0].reason == pb.REFUSAL_REASON_FENCED
