"""A minimal HTTP/1.1 server and client on asyncio, enough for the platform's calls."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

LOOPBACK = "127.0.0.1"


@dataclass(slots=True, kw_only=True)
class Request:
    """A request as a server received it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def document(self) -> dict[str, Any]:
        """Return the JSON body."""
        return dict(json.loads(self.body)) if self.body else {}


@dataclass(slots=True, kw_only=True)
class Response:
    """A response; a status of 0 means that the connection ended without one."""

    status: int
    document: dict[str, Any] | None = None

    @property
    def text(self) -> str:
        """Body as JSON text; empty if there is none."""
        return "" if self.document is None else json.dumps(self.document)


Handler = Callable[[Request], Awaitable[Response | None]]
"""Answers a request; None: the connection is closed without an answer."""


class Server:
    """Serves one handler on one port of the loopback interface."""

    def __init__(self, handler: Handler) -> None:
        """Create a server; :meth:`start` opens its port."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, port: int = 0) -> None:
        """Listen on a port; 0: any free one."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        bound = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{bound}"

    async def close(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                response = await self._handler(request)
                if response is None:
                    return
                writer.write(_encode_response(response))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            # The case is over.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_head(reader: asyncio.StreamReader) -> list[str] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    return head.decode("latin-1").split("\r\n")


def _headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return {name.strip().lower(): value.strip() for name, value in pairs}


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    lines = await _read_head(reader)
    if lines is None:
        return None
    method, target, _ = lines[0].split(" ")
    headers = _headers(lines[1:])
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = parse_qs(parts.query, keep_blank_values=True)
    return Request(
        method=method,
        path=parts.path,
        query={name: values[0] for name, values in query.items()},
        headers=headers,
        body=body,
    )


def _encode_response(response: Response) -> bytes:
    body = response.text.encode()
    head = (
        f"HTTP/1.1 {response.status} X\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def call(
    method: str,
    address: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    document: dict[str, Any] | None = None,
    timeout_s: float = 30.0,
) -> Response:
    """Make one call over a connection of its own.

    :returns: the response; its status is 0 if there was none.
    """
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            body = json.dumps(document).encode() if document is not None else b""
            sent = {"Host": address, **(headers or {})}
            if body:
                sent["Content-Type"] = "application/json"
            if body or method == "POST":
                sent["Content-Length"] = str(len(body))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in sent.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            head = await _read_head(reader)
            if head is None:
                return Response(status=0)
            length = int(_headers(head[1:]).get("content-length", "0"))
            text = await reader.readexactly(length)
            status = int(head[0].split(" ")[1])
            parsed = json.loads(text) if text else None
            return Response(status=status, document=parsed)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Response(status=0)
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await writer.wait_closed()
