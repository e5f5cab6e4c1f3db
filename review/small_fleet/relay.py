"""A relay in front of one address, whose open connections can go silent for good."""

import asyncio

from small_fleet.http import LOOPBACK

CHUNK_BYTES = 65_536


class Relay:
    """Forwards every connection, until it is told to silence those that are open."""

    def __init__(self, destination: str) -> None:
        """Prepare a relay to an address."""
        self._destination = destination
        self._generation = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{port}"

    def silence_open_connections(self) -> int:
        """Deliver nothing more on the open connections, without closing them.

        :returns: how many they are.
        """
        self._generation += 1
        return len(self._writers) // 2

    async def close(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        generation = self._generation
        host, _, port = self._destination.rpartition(":")
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self._writers.discard(writer)
            writer.close()
            return
        self._writers.add(far_writer)
        try:
            await asyncio.gather(
                self._copy(reader, far_writer, generation),
                self._copy(far_reader, writer, generation),
            )
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._writers -= {writer, far_writer}
            writer.close()
            far_writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if generation == self._generation:
                writer.write(data)
                await writer.drain()
        if generation == self._generation:
            writer.close()
