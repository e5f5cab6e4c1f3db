"""A long-lived stream of frames between two instances."""

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

MS_PER_S = 1000

RECONNECT_PAUSE_S = 0.5
"""Pause before reconnecting a lost link, in seconds; half a heartbeat period."""

LINK_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError, TimeoutError)
"""Exceptions that the loss of a link raises."""


class FrameStream(Protocol):
    """Methods common to the client and server side of a grpclib stream."""

    async def send_message(self, message: PeerFrame) -> None:
        """Send one frame."""

    async def recv_message(self) -> PeerFrame | None:
        """Return the next frame; None at the end of the stream."""

    def __aiter__(self) -> AsyncIterator[PeerFrame]:
        """Iterate over the received frames."""


class Link:
    """A stream to one incarnation of a peer, opened by either side."""

    def __init__(self, *, incarnation: str) -> None:
        """Start with an empty outbox.

        :param incarnation: the peer's incarnation, from its first frame.
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

        The peer set the timestamp of its latest frame before the frame was read
        here, so the timestamp plus the time since then never exceeds the peer's
        clock. A deadline based on it can only be too early: if the peer's process
        is stopped while a frame waits in its buffer, the peer finds the frame
        late when it reads it.
        """
        return self._clock_ms + int((now - self._clock_seen_at) * MS_PER_S)

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
        :param before_send: completes each frame just before it is sent.
        :param on_frame: called with each received frame, the first included.
        """

        async def send(frame: PeerFrame) -> None:
            before_send(self, frame)
            frame.clock_ms = int(time.monotonic() * MS_PER_S)
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
    """Connects to one peer and reconnects whenever the link is lost."""

    def __init__(
        self,
        *,
        address: Address,
        first_frame: Callable[[], PeerFrame],
        serve: Callable[[FrameStream, PeerFrame], Awaitable[None]],
        on_refused: Callable[[], None],
        connect_timeout_s: float,
    ) -> None:
        """Create the dialer; :meth:`run` connects.

        :param address: where the peer listens.
        :param first_frame: returns the first frame to send, a heartbeat.
        :param serve: runs the link once the peer's first frame has been read.
        :param on_refused: called when nothing listens at the address.
        :param connect_timeout_s: longest wait for the peer's first frame, in
            seconds.
        """
        self._address = address
        self._first_frame = first_frame
        self._serve = serve
        self._on_refused = on_refused
        self._connect_timeout_s = connect_timeout_s

    async def run(self) -> None:
        """Connect, serve the link and reconnect, until cancelled."""
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
                # A stopped peer process would never read the end of the stream.
                await stream.cancel()
