"""TCP relays between parts of a site, which can be cut."""

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass

from cassiaturn.entities import Address

CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayPlace:
    """One direction in which connections are opened."""

    listen: Address
    """What the side that connects is told."""

    destination: Address
    """Where it leads."""

    source_domain: str
    """Failure domain of the side that connects."""

    destination_domain: str
    """Failure domain of the other side; empty: the platform."""

    def crosses(self, domains: Iterable[str], *, from_platform: bool) -> bool:
        """Whether a partition cuts it.

        :param domains: failure domains that are cut off from all others.
        :param from_platform: whether they are cut off from the platform too.
        """
        inside = set(domains)
        if not self.destination_domain:
            return from_platform and self.source_domain in inside
        return (self.source_domain in inside) != (self.destination_domain in inside)


class Relay:
    """Passes bytes on, unless it is cut.

    A cut neither closes connections nor refuses them: bytes stay where they
    are, as with a network that loses packets, and go on late when it heals.
    """

    def __init__(self, *, place: RelayPlace) -> None:
        """Prepare the relay; :meth:`start` listens.

        :param place: between what.
        """
        self.place = place
        self.held = 0
        self._whole = asyncio.Event()
        self._whole.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        listen = self.place.listen
        self._server = await asyncio.start_server(
            self._accept, listen.host, listen.port
        )

    async def close(self) -> None:
        """Stop listening and end every connection."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Hold every byte back."""
        self._whole.clear()

    def heal(self) -> None:
        """Pass on what was held back, and all that follows."""
        self._whole.set()

    def strand(self) -> None:
        """Hold back what open connections carry, for good; new ones work."""
        self._whole.clear()
        self._whole = asyncio.Event()
        self._whole.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._connect(reader, writer)
        except (OSError, asyncio.CancelledError):
            # A destination that is down looks to the other side like a
            # connection that closes at once.
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        whole = self._whole
        await self._until(whole)
        destination = self.place.destination
        far_reader, far_writer = await asyncio.open_connection(
            destination.host, destination.port
        )
        jobs = [
            asyncio.create_task(self._pass_on(reader, far_writer, whole)),
            asyncio.create_task(self._pass_on(far_reader, writer, whole)),
        ]
        try:
            await asyncio.wait(jobs, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for job in jobs:
                job.cancel()
            await asyncio.gather(*jobs, return_exceptions=True)
            far_writer.close()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        whole: asyncio.Event,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._until(whole)
                writer.write(chunk)
                await writer.drain()
            # The end of a connection is held back as its bytes are.
            await self._until(whole)

    async def _until(self, whole: asyncio.Event) -> None:
        if not whole.is_set():
            self.held += 1
            await whole.wait()
