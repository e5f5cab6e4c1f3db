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
PATIENCE_S = 5.0


@dataclass(slots=True)
class Seen:
    """What a session told its owner."""

    results: list[pb.TaskResult] = field(default_factory=list)
    refusals: list[pb.StartRefusal] = field(default_factory=list)
    welcomes: int = 0
    losses: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def until(self, is_met: Callable[["Seen"], bool]) -> None:
        async with asyncio.timeout(PATIENCE_S):
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
class Rig:
    """A runner and a session with it."""

    host: RunnerHost
    session: RunnerSession
    seen: Seen
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
async def rig(tmp_path: Path) -> AsyncIterator[Rig]:
    journal = tmp_path / "t1.jsonl"
    runner = RunnerSettings(target_id="t1", port=0, slots=2, journal=journal)
    host = RunnerHost(
        settings=RunnerHostSettings(runners=[runner], run_time=RunTime(median_ms=20))
    )
    await host.start()
    seen = Seen()
    session = RunnerSession(
        target_id="t1",
        address=Address(host="127.0.0.1", port=host.runners_by_id["t1"].port),
        holder="holder-1",
        callbacks=SessionCallbacks(
            on_welcome=seen.on_welcome,
            on_frame=seen.on_frame,
            on_lost=seen.on_lost,
        ),
    )
    session.start()
    await seen.until(lambda seen: seen.welcomes == 1)
    yield Rig(host=host, session=session, seen=seen, journal=journal)
    await session.close()
    await host.close()


async def test_a_started_task_answers_its_own_payload(rig: Rig) -> None:
    rig.send_start(0)
    await rig.seen.until(lambda seen: len(seen.results) == 1)
    result = rig.seen.results[0]
    key = TaskKey("s", 0)
    assert result.status == pb.TASK_STATUS_DONE
    assert result.result == reply_to(method=METHOD, payload=b"payload", key=key)
    events = [entry.event for entry in read_journal(rig.journal)]
    assert events == [JournalEvent.STARTED, JournalEvent.ENDED]


async def test_slots_are_enforced(rig: Rig) -> None:
    for index in range(3):
        rig.send_start(index)
    await rig.seen.until(lambda seen: len(seen.results) == 2)
    assert rig.seen.refusals[0].reason == pb.REFUSAL_REASON_BUSY


async def test_start_after_its_start_by_time_is_refused(rig: Rig) -> None:
    """A holder pauses between building a start and sending it.

    The home has given the task up meanwhile and told the caller "not run". The
    start arrives after its start-by time; if it ran, that answer would be false.
    """
    rig.send_start(0, start_by_ms=rig.session.runner_clock(time.monotonic()) - 1)
    await rig.seen.until(lambda seen: len(seen.refusals) == 1)
    assert rig.seen.refusals[0].reason == pb.REFUSAL_REASON_LATE
    assert all(
        entry.event is not JournalEvent.STARTED for entry in read_journal(rig.journal)
    )


async def test_runner_clock_is_never_ahead(rig: Rig) -> None:
    bound_ms = rig.session.runner_clock(time.monotonic())
    assert 0 < bound_ms <= time.monotonic_ns() // 1_000_000


async def test_result_of_a_lost_stream_comes_with_the_next_welcome(rig: Rig) -> None:
    """The stream breaks while a task runs.

    The session connects again; the welcome lists the task or its result, so
    the caller gets its answer and nobody starts the task a second time.
    """
    runner = rig.host.runners_by_id["t1"]
    rig.send_start(0)
    rig.send_start(1, start_by_ms=0)
    # The refusal of the second start says that the first was taken.
    await rig.seen.until(lambda seen: len(seen.refusals) == 1)
    runner.set_fault(RunnerFault(refuse_connections=True))
    await rig.seen.until(lambda seen: seen.losses == 1)
    runner.set_fault(RunnerFault())
    await rig.seen.until(
        lambda seen: any(
            result.status == pb.TASK_STATUS_DONE for result in seen.results
        )
    )
    assert rig.seen.welcomes == 2
    assert runner.starts == 1


async def test_fence_lists_what_was_begun_and_refuses_the_rest(rig: Rig) -> None:
    """A home dies and a successor fences it at every target.

    The task that had begun is listed, so it is adopted; a start of the dead
    home that arrives later is refused, so nothing runs twice.
    """
    rig.send_start(0)
    await rig.seen.until(lambda seen: len(seen.results) == 1)
    address = Address(host="127.0.0.1", port=rig.runner_port)
    reply = (await fence(address=address, home="home-1", timeout_s=2)).unwrap()
    assert reply.exhaustive
    assert [task.ref.index for task in reply.begun] == [0]
    rig.send_start(1)
    await rig.seen.until(lambda seen: len(seen.refusals) == 1)
    assert rig.seen.refusals[0].reason == pb.REFUSAL_REASON_FENCED
