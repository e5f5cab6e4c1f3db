"""Calls over HTTP, and servers that answer badly or not at all."""

import asyncio
import time
from collections.abc import AsyncIterator

import pytest
from returns.result import Failure, Success

from cassiaturn.transport import http_client
from cassiaturn.transport.http_client import (
    ConnectionRefused,
    HttpClient,
    InvalidRequest,
    NoReply,
    Reply,
)

LOOPBACK = "127.0.0.1"

END = b"to the end"

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


class Server:
    """Answers each request with bytes that a test gives."""

    def __init__(self) -> None:
        self.answers: list[bytes] = [OK]
        self.closes = False
        self.requests: list[bytes] = []
        self.connections = 0
        self.ended = 0
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{port}"

    async def close(self) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while data := await reader.read(65_536):
                self.requests.append(data)
                answer = self.answers[min(len(self.requests), len(self.answers)) - 1]
                for part in (answer[:20], answer[20:]):
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(0.001)
                if self.closes:
                    break
        except ConnectionError:
            pass
        finally:
            self.ended += 1
            writer.close()


@pytest.fixture
async def server() -> AsyncIterator[Server]:
    server = Server()
    await server.start()
    yield server
    await server.close()


@pytest.fixture
async def client() -> AsyncIterator[HttpClient]:
    client = HttpClient()
    yield client
    await client.close()


async def _get(client: HttpClient, server: Server, timeout_s: float = 0.5) -> object:
    return await client.call("GET", server.address, "/x", timeout_s=timeout_s)


async def test_calls_share_a_connection(client: HttpClient, server: Server) -> None:
    for _ in range(3):
        assert await _get(client, server) == Success(Reply(status=200, body=b"hi"))
    assert server.connections == 1


async def test_calls_at_once_use_connections_of_their_own(
    client: HttpClient, server: Server
) -> None:
    results = await asyncio.gather(*(_get(client, server) for _ in range(4)))
    assert results == [Success(Reply(status=200, body=b"hi"))] * 4
    assert server.connections == 4


async def test_a_request_stands_as_it_should(
    client: HttpClient, server: Server
) -> None:
    await client.call(
        "POST",
        server.address,
        "/a/b",
        body={"x": [1]},
        query={"from": "a\0 +&"},
        headers={"X-One": "1"},
        timeout_s=0.5,
    )
    head, _, body = server.requests[0].partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /a/b?from=a%00%20%2B%26 HTTP/1.1"
    assert f"Host: {server.address}".encode() in lines
    assert {b"X-One: 1", b"Content-Length: 9"} < set(lines)
    assert body == b'{"x":[1]}'


async def test_a_kept_head_is_that_of_the_same_call_only(
    client: HttpClient, server: Server
) -> None:
    """Guards against an order that names another incarnation of a target."""
    for target_id in ("i-1", "i-2", "i-1"):
        await client.call(
            "POST",
            server.address,
            "/x",
            body={"n": "é"},
            headers={"X-Target": target_id},
            timeout_s=0.5,
        )
    await client.call("POST", server.address, "/x", content=b"raw", timeout_s=0.5)
    first, second, third, raw = server.requests
    assert first == third
    assert second == first.replace(b"i-1", b"i-2")
    assert first.endswith(b'\r\nContent-Length: 14\r\n\r\n{"n":"\\u00e9"}')
    assert b"X-Target" not in raw
    assert b"Content-Type" not in raw


async def test_a_header_with_the_end_of_a_line_is_refused_each_time(
    client: HttpClient, server: Server
) -> None:
    """Guards against a kept head that skips the check of what it holds."""
    for _ in range(2):
        result = await client.call(
            "GET", server.address, "/x", headers={"X": "a\nb"}, timeout_s=0.5
        )
        assert isinstance(result, Failure)
        assert isinstance(result.failure(), InvalidRequest)
    assert not server.requests
    assert server.connections == 0


async def test_an_idle_connection_that_falls_silent_times_out(
    client: HttpClient, server: Server
) -> None:
    """A target answers, then takes orders on the same connection and says nothing.

    The second call must end by its timeout, and the connection must not be used again:
    its late answer would count as that to the next order.
    """
    server.answers = [OK, b"", OK]
    assert await _get(client, server) == Success(Reply(status=200, body=b"hi"))
    began_at = time.monotonic()
    match await _get(client, server, timeout_s=0.1):
        case Failure(NoReply()):
            pass
        case other:
            pytest.fail(f"unexpected: {other}")
    assert 0.1 <= time.monotonic() - began_at < 0.3
    assert await _get(client, server) == Success(Reply(status=200, body=b"hi"))
    assert server.connections == 2


async def test_connections_that_fell_silent_together_cost_one_timeout(
    client: HttpClient, server: Server
) -> None:
    """Guards against calls that try one silent connection after the other."""
    await asyncio.gather(*(_get(client, server) for _ in range(3)))
    assert server.connections == 3
    server.answers = [OK, OK, OK, b"", OK]
    assert isinstance(await _get(client, server, timeout_s=0.1), Failure)
    assert await _get(client, server) == Success(Reply(status=200, body=b"hi"))
    assert server.connections == 4


async def test_a_lost_answer_closes_no_connection_that_works(
    client: HttpClient, server: Server
) -> None:
    """Guards against new connections for each lost answer of a working target."""
    await asyncio.gather(*(_get(client, server) for _ in range(3)))
    server.answers = [OK, OK, OK, b"", OK]
    lost = asyncio.create_task(_get(client, server, timeout_s=0.1))
    await asyncio.sleep(0.02)
    assert await _get(client, server) == Success(Reply(status=200, body=b"hi"))
    assert isinstance(await lost, Failure)
    assert await _get(client, server) == Success(Reply(status=200, body=b"hi"))
    assert server.connections == 3


@pytest.mark.parametrize(
    ("answer", "closes", "reply"),
    [
        (
            b"HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n",
            False,
            Reply(status=503, body=b"", retry_after="2"),
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nhi\r\n0\r\n\r\n",
            False,
            Reply(status=200, body=b"hi"),
        ),
        (
            b"HTTP/1.1 200 OK\r\n\r\nto the end",
            True,
            Reply(status=200, body=b"to the end"),
        ),
        (b"HTTP/1.1 204 None\r\n\r\n", False, Reply(status=204, body=b"")),
    ],
)
async def test_every_kind_of_response_is_read(
    client: HttpClient, server: Server, answer: bytes, closes: bool, reply: Reply
) -> None:
    server.answers = [answer]
    server.closes = closes
    assert await _get(client, server) == Success(reply)


@pytest.mark.parametrize(
    ("answer", "closes"),
    [
        (b"", False),  # silent
        (b"", True),  # closed at once
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", True),  # cut short
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", False),  # stuck
        (b"nonsense\r\n\r\n", False),
    ],
)
async def test_what_is_no_response_is_a_value(
    client: HttpClient, server: Server, answer: bytes, closes: bool
) -> None:
    """A target or store breaks off, or falls silent, in the middle of an answer.

    The call may have had its effect, so it is not repeated; the connection is not used
    again, or the rest of the answer would be taken for that of the next call.
    """
    server.answers = [answer, OK]
    server.closes = closes
    match await _get(client, server, timeout_s=0.1):
        case Failure(NoReply()):
            pass
        case other:
            pytest.fail(f"unexpected: {other}")
    server.closes = False
    assert await _get(client, server) == Success(Reply(status=200, body=b"hi"))
    assert server.connections == 2


async def test_a_refused_connection_did_nothing(client: HttpClient) -> None:
    free = Server()
    await free.start()
    await free.close()
    match await _get(client, free):
        case Failure(ConnectionRefused()):
            pass
        case other:
            pytest.fail(f"unexpected: {other}")


async def test_a_cancelled_call_leaves_no_answer_for_the_next(
    client: HttpClient, server: Server
) -> None:
    server.answers = [b"", OK]
    call = asyncio.ensure_future(_get(client, server))
    await asyncio.sleep(0.02)
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
    assert await _get(client, server) == Success(Reply(status=200, body=b"hi"))
    assert server.connections == 2


@pytest.mark.parametrize(
    "answer",
    [
        OK + OK,  # a response that nobody asked for
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
    ],
)
async def test_a_connection_that_cannot_be_trusted_is_not_used_again(
    client: HttpClient, server: Server, answer: bytes
) -> None:
    server.answers = [answer, OK]
    assert await _get(client, server) == Success(Reply(status=200, body=b"hi"))
    await asyncio.sleep(0.02)
    assert await _get(client, server) == Success(Reply(status=200, body=b"hi"))
    assert server.connections == 2


async def test_old_connections_are_closed(
    client: HttpClient, server: Server, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_client, "KEEP_OPEN_S", 0.05)
    await _get(client, server)
    await asyncio.sleep(0.15)
    assert server.ended == 1


@pytest.mark.parametrize(
    "text", ["maszyna-łódź-1", "a\r\nb: c", "a\nb", "a\rb", "\ud800"]
)
@pytest.mark.parametrize("place", ["headers", "path", "query", "address"])
async def test_text_that_http_cannot_carry_fails_the_call_alone(
    place: str, text: str
) -> None:
    """Guards against a process that ends by an id or address from outside."""
    parts: dict[str, object] = {"address": "127.0.0.1:1", "path": "/"}
    parts[place] = {"name": text} if place in ("headers", "query") else f"/{text}"
    client = HttpClient()
    result = await client.call("GET", timeout_s=0.2, **parts)  # type: ignore[arg-type]
    assert isinstance(result, Failure)
    await client.close()
