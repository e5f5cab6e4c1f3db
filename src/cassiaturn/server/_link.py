"""One long-lived stream between two instances."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Protocol

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from cassiaturn.entities import Address
from cassiaturn.observability import Event, log_event
from cassiaturn.transport import Outbox, run_apart
from cassiaturn.v1.peer_grpc import PeerStub
from cassiaturn.v1.peer_pb2 import PeerFrame

MILLISECONDS = 1000

RECONNECT_PAUSE_S = 0.5
"""Pause after a link was lost; half a heartbeat period."""

LINK_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError, TimeoutError)
"""What the loss of a link raises."""


class FrameStream(Protocol):
    """The two ends of a grpclib stream have these in common."""

    async def send_message(self, message: PeerFrame) -> None:
        """Send one frame."""

    async def recv_message(self) -> PeerFrame | None:
        """Return the next frame; None at the end."""

    def __aiter__(self) -> AsyncIterator[PeerFrame]:
        """Iterate over the frames."""


class Link:
    """A stream to one incarnation of a peer, whoever opened it."""

    def __init__(self, *, incarnation: str) -> None:
        """Start with nothing to send.

        :param incarnation: the peer's, from its first frame.
        """
        self.incarnation = incarnation
        self.outbox: Outbox[PeerFrame] = Outbox(make=PeerFrame)
        self.heard_at = time.monotonic()
        self.sent_at = 0.0
        self.frames_received = 0
        self.closed = asyncio.Event()
        self._clock_ms = 0
        self._clock_seen_at = 0.0

    def peer_clock(self, now: float) -> int:
        """Return a lower bound of the peer's own clock, in milliseconds.

        The peer stamped its latest frame before it was read here, so the stamp
        plus the time since never passes the peer's clock. A deadline built on
        it can only be too early: a frame that waits in the peer's buffer while
        its process is stopped is then late when it is read.
        """
        return self._clock_ms + int((now - self._clock_seen_at) * MILLISECONDS)

    def _record_received(self, frame: PeerFrame) -> None:
        self.heard_at = time.monotonic()
        self._clock_ms = frame.clock_ms
        self._clock_seen_at = self.heard_at

    async def run(
        self,
        stream: FrameStream,
        *,
        first: PeerFrame,
        before_send: Callable[["Link", PeerFrame], None],
        on_frame: Callable[["Link", PeerFrame], None],
    ) -> None:
        """Exchange frames until either side ends or :attr:`closed` is set.

        :param first: the peer's first frame, already read.
        :param before_send: adds what rides on every frame that is sent.
        :param on_frame: takes each frame received.
        """

        async def send(frame: PeerFrame) -> None:
            before_send(self, frame)
            frame.clock_ms = int(time.monotonic() * MILLISECONDS)
            self.sent_at = time.monotonic()
            await stream.send_message(frame)

        self._record_received(first)
        on_frame(self, first)
        jobs = [
            asyncio.ensure_future(self.outbox.pump(send)),
            asyncio.ensure_future(self._receive(stream, on_frame)),
            asyncio.ensure_future(self.closed.wait()),
        ]
        try:
            done, _ = await asyncio.wait(jobs, return_when=asyncio.FIRST_COMPLETED)
            for job in done:
                job.result()
        finally:
            for job in jobs:
                job.cancel()
            await asyncio.gather(*jobs, return_exceptions=True)

    async def _receive(
        self, stream: FrameStream, on_frame: Callable[["Link", PeerFrame], None]
    ) -> None:
        while (frame := await stream.recv_message()) is not None:
            self._record_received(frame)
            self.frames_received += 1
            on_frame(self, frame)


class LinkDialer:
    """Keeps a link to one peer open, from the instance with the lower id."""

    def __init__(
        self,
        *,
        address: Address,
        first_frame: Callable[[], PeerFrame],
        serve: Callable[[FrameStream, PeerFrame], Awaitable[None]],
        on_refused: Callable[[], None],
        connect_timeout_s: float,
    ) -> None:
        """Prepare to connect; :meth:`run` does.

        :param address: where the peer listens.
        :param first_frame: makes the first frame, a heartbeat.
        :param serve: runs the link once the peer's first frame is read.
        :param on_refused: called when nothing listens at the address.
        :param connect_timeout_s: longest wait for that frame, in seconds.
        """
        self._address = address
        self._first_frame = first_frame
        self._serve = serve
        self._on_refused = on_refused
        self._connect_timeout_s = connect_timeout_s

    async def run(self) -> None:
        """Connect, serve the link, and connect again, until cancelled."""
        while True:
            channel = Channel(self._address.host, self._address.port)
            try:
                await run_apart(self._serve_once(channel))
            except ConnectionRefusedError:
                self._on_refused()
            except LINK_ERRORS as error:
                log_event(Event.PEER_LOST, address=self._address, detail=repr(error))
            finally:
                channel.close()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _serve_once(self, channel: Channel) -> None:
        async with PeerStub(channel).Link.open() as stream:
            async with asyncio.timeout(self._connect_timeout_s):
                await stream.send_message(self._first_frame())
                first = await stream.recv_message()
            if first is None:
                return
            try:
                await self._serve(stream, first)
            finally:
                # The peer's process may be stopped and never read the end.
                await stream.cancel()
