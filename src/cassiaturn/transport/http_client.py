"""HTTP calls whose failures are values; shares its connections among all calls.

A general client takes a fifth of the time from a start of a process until it serves;
nothing here needs more than plain requests to addresses.
"""

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import quote, urlencode

from returns.result import Failure, Result, Success

from cassiaturn.transport._http_connection import HttpConnection, Reply
from cassiaturn.transport._patience import answer_timeout

KEEP_OPEN_S = 20.0
"""How long an unused connection is kept, in seconds: new ones cost a round trip, and
targets take 64 each."""

MAX_KEPT_HEADS = 8_192
"""Bound on the request heads that are kept, some 200 bytes each: three for each of
1,400 targets, twice."""

_encode_json = json.JSONEncoder(separators=(",", ":")).encode


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionRefused:
    """Nothing listens there, so nothing was done."""

    detail: str
    """One sentence for people."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NoReply:
    """No complete response; the call may have had its effect."""

    detail: str
    """One sentence for people."""


@dataclass(frozen=True, slots=True, kw_only=True)
class InvalidRequest:
    """HTTP cannot carry a part of the request, so nothing was sent."""

    detail: str
    """One sentence for people."""


CallFailure = ConnectionRefused | NoReply | InvalidRequest
"""Why a call has no response."""


class HttpClient:
    """Every call of a process; share one."""

    def __init__(self) -> None:
        """Prepare calls; connections open on use."""
        self.bytes_sent = 0
        """Bytes of all requests so far."""

        self._heads = _RequestHeads()
        self._idle_by_address: dict[str, list[HttpConnection]] = {}
        self._busy: set[HttpConnection] = set()
        self._sweep: asyncio.TimerHandle | None = None

    async def close(self) -> None:
        """Close every connection."""
        if self._sweep is not None:
            self._sweep.cancel()
        idle = [row for rows in self._idle_by_address.values() for row in rows]
        for connection in [*idle, *self._busy]:
            connection.close()
        self._idle_by_address.clear()

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        *,
        body: object = None,
        content: bytes | None = None,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
    ) -> Result[Reply, CallFailure]:
        """Make one call; none is repeated.

        :param address: ``host:port``.
        :param body: a document to send as JSON.
        :param content: bytes to send as they are.
        :param timeout_s: longest wait for the whole response, in seconds.
        """
        if body is not None:
            content = _encode_json(body).encode()
        headers = headers or {}
        try:
            if query:
                target = f"{path}?{urlencode(query, quote_via=quote)}"
                head = _build_head(method, address, target, headers, body is not None)
            else:
                head = self._heads.head(
                    method, address, path, headers, body is not None
                )
        except ValueError as error:
            # Ids and addresses come from outside, and may hold any text.
            return Failure(InvalidRequest(detail=str(error)))
        request = _to_bytes(method, head, content)
        self.bytes_sent += len(request)
        connection = self._take_idle(address)
        try:
            if connection is not None:
                return Success(
                    await self._exchange(address, connection, request, timeout_s)
                )
            async with answer_timeout(timeout_s):
                connection = await _connect(address)
                return Success(await self._exchange(address, connection, request, None))
        except ConnectionRefusedError as error:
            return Failure(ConnectionRefused(detail=str(error)))
        except (OSError, TimeoutError, ValueError) as error:
            return Failure(NoReply(detail=repr(error)))

    async def _exchange(
        self,
        address: str,
        connection: HttpConnection,
        request: bytes,
        timeout_s: float | None,
    ) -> Reply:
        self._busy.add(connection)
        sent_at = asyncio.get_running_loop().time()
        try:
            return await connection.exchange(request, timeout_s=timeout_s)
        except TimeoutError:
            self._close_silent(address, sent_at)
            raise
        finally:
            self._busy.discard(connection)
            if connection.is_usable:
                self._keep(address, connection)

    def _take_idle(self, address: str) -> HttpConnection | None:
        # The one that was used last: the others may be closed when they grow old.
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
        return None

    def _keep(self, address: str, connection: HttpConnection) -> None:
        loop = asyncio.get_running_loop()
        connection.idle_since = loop.time()
        self._idle_by_address.setdefault(address, []).append(connection)
        if self._sweep is None:
            self._sweep = loop.call_later(KEEP_OPEN_S, self._close_old)

    def _close_silent(self, address: str, since: float) -> None:
        """Close the idle connections of an address that has answered nothing since.

        All open connections may have fallen silent at once while new ones work. One
        after the other, each would cost the timeout of a call.

        :param since: time of the loop, in seconds.
        """
        idle = self._idle_by_address.get(address, [])
        if any(connection.idle_since >= since for connection in idle):
            return
        while idle:
            idle.pop().close()

    def _close_old(self) -> None:
        loop = asyncio.get_running_loop()
        kept_by_address: dict[str, list[HttpConnection]] = {}
        for address, rows in self._idle_by_address.items():
            for connection in rows:
                if loop.time() - connection.idle_since >= KEEP_OPEN_S:
                    connection.close()
                elif connection.is_usable:
                    kept_by_address.setdefault(address, []).append(connection)
        self._idle_by_address = kept_by_address
        self._sweep = None
        if kept_by_address:
            self._sweep = loop.call_later(KEEP_OPEN_S / 2, self._close_old)


async def _connect(address: str) -> HttpConnection:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        HttpConnection, host.strip("[]"), int(port)
    )
    return connection


class _RequestHeads:
    """The parts of requests before the length of the body, kept for the next call.

    A leader sends the same three requests to each of its targets again and again.
    """

    def __init__(self) -> None:
        self._head_by_call: dict[tuple[object, ...], bytes] = {}

    def head(
        self,
        method: str,
        address: str,
        target: str,
        headers: Mapping[str, str],
        is_json: bool,
    ) -> bytes:
        """Return the head of a request, as :func:`_build_head` does."""
        call = (method, address, target, is_json, *headers.items())
        head = self._head_by_call.get(call)
        if head is None:
            head = _build_head(method, address, target, headers, is_json)
            if len(self._head_by_call) >= MAX_KEPT_HEADS:
                self._head_by_call.clear()
            self._head_by_call[call] = head
        return head


def _build_head(
    method: str, address: str, target: str, headers: Mapping[str, str], is_json: bool
) -> bytes:
    """Return request line and headers, without the end of the last line.

    :param target: path and query.
    :param is_json: whether the body is a JSON document.
    :raises ValueError: a part holds the end of a line, or text outside of Latin-1.
    """
    sent = {"Host": address, **headers}
    if is_json:
        sent["Content-Type"] = "application/json"
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in sent.items())
    text = "\r\n".join(lines)
    if text.count("\n") != len(sent) or text.count("\r") != len(sent):
        raise ValueError("a header or path holds the end of a line")
    return text.encode("latin-1")


def _to_bytes(method: str, head: bytes, content: bytes | None) -> bytes:
    if content is None:
        if method not in ("POST", "PUT"):
            return head + b"\r\n\r\n"
        content = b""
    return b"%b\r\nContent-Length: %d\r\n\r\n%b" % (head, len(content), content)


__all__ = [
    "CallFailure",
    "ConnectionRefused",
    "HttpClient",
    "InvalidRequest",
    "NoReply",
    "Reply",
]
