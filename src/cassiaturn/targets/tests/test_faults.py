"""Faulty runners, addresses and callbacks, and how sessions and fences react."""

import asyncio
from typing import Any

from grpclib.const import Cardinality, Handler
from grpclib.server import Server, Stream

from cassiaturn.entities import Address
from cassiaturn.targets import RunnerSession, SessionCallbacks, TargetProblem, fence
from cassiaturn.v1 import runner_pb2 as pb

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
TRUNCATED_FIELD = "\x0a\x7f"
"""Decoded as a welcome, a field whose length exceeds the bytes that follow."""


class _Runner:
    """Answers each stream with one frame and counts the streams."""

    def __init__(self, *, reply: Any) -> None:
        self.streams = 0
        self.second_stream = asyncio.Event()
        self._reply = reply

    def __mapping__(self) -> dict[str, Handler]:
        handler = Handler(
            self._serve, Cardinality.STREAM_STREAM, pb.ToRunner, type(self._reply)
        )
        return {"/cassiaturn.v1.Runner/Session": handler}

    async def _serve(self, stream: Stream[Any, Any]) -> None:
        self.streams += 1
        if self.streams > 1:
            self.second_stream.set()
        await stream.recv_message()
        await stream.send_message(self._reply)
        await stream.recv_message()


def session_at(port: int, callbacks: SessionCallbacks) -> RunnerSession:
    return RunnerSession(
        target_id="t1",
        address=Address(host=HOST, port=port),
        holder="holder",
        callbacks=callbacks,
    )


def ignore(*_: object) -> None:
    return


async def _run_until_second_stream(reply: Any, port: int, welcomes: list[str]) -> None:
    runner = _Runner(reply=reply)
    server = Server([runner])
    await server.start(HOST, port)
    callbacks = SessionCallbacks(
        on_welcome=lambda target_id, welcome: welcomes.append(target_id),
        on_frame=ignore,
        on_lost=ignore,
    )
    session = session_at(port, callbacks)
    session.start()
    async with asyncio.timeout(TIMEOUT_S):
        await runner.second_stream.wait()
    await session.close()
    server.close()
    await server.wait_closed()


async def test_malformed_frame_ends_the_stream_only(unused_tcp_port: int) -> None:
    """A runner sends bytes that are not a valid frame.

    The session must drop only that stream and reconnect. Its owner gets no callback,
    and the process keeps running.
    """
    welcomes: list[str] = []
    reply = pb.StartTask(method=TRUNCATED_FIELD)
    await _run_until_second_stream(reply, unused_tcp_port, welcomes)
    assert welcomes == []


async def test_another_runner_at_the_address_is_not_used(
    unused_tcp_port: int,
) -> None:
    """A stale address list leads to another runner.

    Starts sent there would be counted against the wrong slots, so the stream must be
    dropped before its owner gets a callback.
    """
    welcomes: list[str] = []
    reply = pb.FromRunner(welcome=pb.Welcome(target_id="t2"))
    await _run_until_second_stream(reply, unused_tcp_port, welcomes)
    assert welcomes == []


async def test_error_in_a_callback_is_reported(unused_tcp_port: int) -> None:
    """A callback fails and ends the session; unreported, nobody would notice."""
    reported: asyncio.Queue[object] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: reported.put_nowait(context.get("exception"))
    )
    reply = pb.FromRunner(welcome=pb.Welcome(target_id="t1"))
    server = Server([_Runner(reply=reply)])
    await server.start(HOST, unused_tcp_port)

    def fail(*_: object) -> None:
        raise AssertionError("broken")

    session = session_at(
        unused_tcp_port,
        SessionCallbacks(on_welcome=fail, on_frame=ignore, on_lost=ignore),
    )
    session.start()
    failure = await asyncio.wait_for(reported.get(), TIMEOUT_S)
    assert isinstance(failure, AssertionError)
    server.close()
    await server.wait_closed()


async def test_fence_of_an_unreachable_target_fails(unused_tcp_port: int) -> None:
    """A target that is down cannot be fenced; the caller must get an error value."""
    address = Address(host=HOST, port=unused_tcp_port)
    outcome = await fence(address=address, home="home", timeout_s=1.0)
    assert outcome.failure().problem is TargetProblem.UNREACHABLE
