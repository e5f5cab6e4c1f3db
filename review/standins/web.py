"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the cases."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True, kw_only=True)
class Request:
    """One request as a server has read it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def document(self) -> dict[str, Any]:
        """Return the JSON body."""
        return json.loads(self.body or b"{}")


Answer = tuple[int, dict[str, Any]] | None
"""Status and JSON body; None: the request stays without an answer."""

Handler = Callable[[Request], Awaitable[Answer]]


@dataclass(slots=True, kw_only=True)
class Server:
    """Serves one address; requests on one connection are handled in turn."""

    handler: Handler
    host: str
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def address(self) -> str:
        """Where it listens, ``host:port``."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen; the first start chooses a free port, later ones keep it."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset every connection, as a process that ends does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                answer = await self.handler(request)
                if answer is None:
                    # The request is never answered; its sender closes the connection.
                    await reader.read()
                    return
                status, document = answer
                body = json.dumps(document).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await _read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    path, _, text = target.partition("?")
    query = dict(pair.split("=", 1) for pair in text.split("&") if "=" in pair)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method=method, path=path, query=query, headers=headers, body=body)


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = text.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


@dataclass(slots=True, kw_only=True)
class Channel:
    """A client's connection to one address; open it once, then make calls in turn."""

    address: str
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        host, _, port = self.address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def call(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str],
        document: Any = None,
        timeout_s: float,
    ) -> tuple[int, str]:
        """Make one call; return its status and body.

        :raises OSError: the connection broke before the answer was complete.
        :raises TimeoutError: there was no answer in time.
        """
        if self._writer is None or self._reader is None:
            await self.open()
        reader, writer = self._reader, self._writer
        if reader is None or writer is None:
            raise ConnectionError("not open")
        body = b"" if document is None else json.dumps(document).encode()
        sent = {**headers, "Content-Length": str(len(body))}
        if body:
            sent["Content-Type"] = "application/json"
        lines = [f"{method} {path} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in sent.items())
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        async with asyncio.timeout(timeout_s):
            head = await _read_head(reader)
            if head is None:
                raise ConnectionResetError("closed without an answer")
            first, received = head
            text = await reader.readexactly(int(received.get("content-length", "0")))
        return int(first.split(" ")[1]), text.decode()


def now_s() -> float:
    """Return the steady clock, in seconds."""
    return time.monotonic()
