"""Keeps a long-lived stream open from the holder of a target to its runner."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import DecodeError
from grpclib.client import Channel, Stream
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

from cassiaturn.entities import Address
from cassiaturn.observability import Event, log_event
from cassiaturn.targets._backoff import Backoff
from cassiaturn.transport import Outbox
from cassiaturn.v1.runner_grpc import RunnerStub
from cassiaturn.v1.runner_pb2 import FromRunner, ToRunner, Welcome

CONNECT_TIMEOUT_S = 2.0
"""Timeout for a connection and its welcome frame, in seconds."""

CLOSE_TIMEOUT_S = 1.0
"""Timeout for sending the last frame when a session is closed, in seconds."""

SILENCE_TIMEOUT_S = 5.0
"""Time without a frame after which the stream counts as lost, in seconds: a runner
sends a frame at least every second, so five are missing."""

_STREAM_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    H2Error,
)

_RunnerStream = Stream[ToRunner, FromRunner]


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionCallbacks:
    """Callbacks of a session; plain functions that must not block."""

    on_welcome: Callable[[str, Welcome], None]
    """A stream is established; called with the target id and its welcome. The frame
    of the welcome is passed to ``on_frame`` next. It lists every task of this holder
    that the runner runs or whose result it keeps. Tasks not listed were not started,
    and starts sent on an earlier stream will not be carried out any more."""

    on_frame: Callable[[str, FromRunner], None]
    """Called for each frame, including the one with the welcome."""

    on_lost: Callable[[str], None]
    """The stream is lost; what was sent on it may or may not have arrived."""


class RunnerSession:
    """One holder's stream to one runner, reopened on loss until the session is closed.

    To send, fill ``outbox.pending`` and call ``outbox.notify()``. Each stream has its
    own outbox: what was not sent on a lost stream is dropped, since the
    frame with the next welcome lists the tasks that the runner received.
    """

    def __init__(
        self,
        *,
        target_id: str,
        address: Address,
        holder: str,
        callbacks: SessionCallbacks,
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
        backoff: Backoff | None = None,
    ) -> None:
        """Prepare a session; :meth:`start` opens it.

        :param target_id: id of the target that is expected at the address.
        :param address: address on which the runner listens.
        :param holder: incarnation of this instance.
        :param callbacks: receive frames and losses.
        :param silence_timeout_s: time without a frame after which the stream counts as
            lost, in seconds.
        :param backoff: pauses between connection attempts; None: the default ones.
        """
        self.target_id = target_id
        self.address = address
        self.outbox: Outbox[ToRunner] = Outbox(make=ToRunner)
        self.connected = False
        self.frames_received = 0
        self._holder = holder
        self._callbacks = callbacks
        self._silence_timeout_s = silence_timeout_s
        self._backoff = backoff or Backoff()
        self._task: asyncio.Task[None] | None = None
        self._closing = False
        self._clock_ms = 0
        self._clock_read_at = 0.0

    def start(self) -> None:
        """Open the stream in the background, and reopen it whenever it is lost."""
        self._task = asyncio.create_task(self._run(), name=f"runner-{self.target_id}")
        self._task.add_done_callback(_report_failure)

    async def close(self) -> None:
        """Send what is pending and end the stream; no callback is called afterwards."""
        if self._task is None:
            return
        self._closing = True
        self.outbox.close()
        if self.connected:
            await asyncio.wait([self._task], timeout=CLOSE_TIMEOUT_S)
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    def runner_clock(self, now: float) -> int:
        """Return a lower bound of the runner's own clock.

        The runner stamped the latest frame before this process read it. So the stamp
        plus the time since then never exceeds the true clock, however long the frame
        was in transit. A start-by time based on it can be too early and cause a
        refusal, but never too late.

        :param now: ``time.monotonic()`` of this process, in seconds.
        :returns: milliseconds on the runner's clock; 0 before the first frame.
        """
        if not self._clock_ms:
            return 0
        return self._clock_ms + int((now - self._clock_read_at) * 1000)

    async def _run(self) -> None:
        while not self._closing:
            try:
                await self._serve_one_stream()
            except DecodeError as error:
                log_event(
                    Event.FRAME_MALFORMED, target_id=self.target_id, detail=str(error)
                )
            except _STREAM_ERRORS as error:
                self._log_loss(str(error) or type(error).__name__)
            if not self._closing:
                await asyncio.sleep(self._backoff.next_pause_s())

    async def _serve_one_stream(self) -> None:
        channel = Channel(self.address.host, self.address.port)
        try:
            async with RunnerStub(channel).Session.open() as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_message(ToRunner(holder=self._holder))
                    first = await stream.recv_message()
                if first is None or not self._is_expected(first):
                    await stream.cancel()
                    return
                await self._exchange(stream, first)
                await stream.end()
        finally:
            channel.close()

    def _is_expected(self, first: FromRunner) -> bool:
        found = first.welcome.target_id
        if found == self.target_id:
            return True
        # A stale address can lead to another runner. Its slots would be counted for
        # the wrong target and overcommitted, so the stream is dropped.
        self._log_loss(f"unexpected target at this address: {found!r}")
        return False

    def _log_loss(self, detail: str) -> None:
        log_event(
            Event.TARGET_LOST,
            target_id=self.target_id,
            address=self.address,
            detail=detail,
        )

    async def _exchange(self, stream: _RunnerStream, first: FromRunner) -> None:
        self.outbox = Outbox(make=ToRunner)
        self.connected = True
        self._backoff.reset()
        log_event(
            Event.TARGET_CONNECTED, target_id=self.target_id, address=self.address
        )
        try:
            self._record_clock(first)
            self._callbacks.on_welcome(self.target_id, first.welcome)
            self._callbacks.on_frame(self.target_id, first)
            await _run_until_first_ends(
                self._receive(stream),
                self.outbox.pump(stream.send_message),
                self._watch_silence(),
            )
        finally:
            self.connected = False
            self._callbacks.on_lost(self.target_id)

    async def _receive(self, stream: _RunnerStream) -> None:
        async for frame in stream:
            self._record_clock(frame)
            self._callbacks.on_frame(self.target_id, frame)

    async def _watch_silence(self) -> None:
        # A paused runner keeps its connection open and its slots occupied; only the
        # missing frames show that it is paused.
        while True:
            silent_s = time.monotonic() - self._clock_read_at
            if silent_s > self._silence_timeout_s:
                raise TimeoutError(f"no frame for {silent_s:.1f} s")
            await asyncio.sleep(self._silence_timeout_s / 4)

    def _record_clock(self, frame: FromRunner) -> None:
        self.frames_received += 1
        self._clock_ms = frame.clock_ms
        self._clock_read_at = time.monotonic()


def _report_failure(task: "asyncio.Task[None]") -> None:
    # An error in a callback ends the session. If this were not reported, the target
    # would stay unused until the process ends, and nothing would show the cause.
    if not task.cancelled() and task.exception() is not None:
        task.get_loop().call_exception_handler(
            {"message": f"{task.get_name()} ended", "exception": task.exception()}
        )


async def _run_until_first_ends(*coroutines: Coroutine[Any, Any, None]) -> None:
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
