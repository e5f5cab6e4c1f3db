"""HTTP calls whose failures are values; shares its connections among all calls."""

import json
from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from cassiaturn.transport._patience import answer_timeout
from cassiaturn.transport.plain_http import aiohttp

KEEP_OPEN_S = 20.0
"""How long an unused connection is kept, in seconds: new ones cost a round trip, and
targets take 64 each."""

JSON_HEADERS = {"Content-Type": "application/json"}


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A complete response."""

    status: int
    """HTTP status."""

    body: bytes
    """Its body."""

    retry_after: str = ""
    """When to come back, as it stands in the response."""


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


CallFailure = ConnectionRefused | NoReply
"""Why a call has no response."""


class HttpClient:
    """Every call of a process; share one."""

    def __init__(self) -> None:
        """Prepare calls; connections open on use."""
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()

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
            content = json.dumps(body, separators=(",", ":")).encode()
        sent = dict(JSON_HEADERS) if body is not None else {}
        sent.update(headers or {})
        try:
            async with (
                answer_timeout(timeout_s),
                self._open().request(
                    method,
                    f"http://{address}{path}",
                    data=content,
                    params=query,
                    headers=sent,
                    allow_redirects=False,
                ) as response,
            ):
                return Success(
                    Reply(
                        status=response.status,
                        body=await response.read(),
                        retry_after=response.headers.get("Retry-After", ""),
                    )
                )
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                return Failure(ConnectionRefused(detail=str(error)))
            return Failure(NoReply(detail=repr(error)))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Failure(NoReply(detail=repr(error)))

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0, limit_per_host=0, keepalive_timeout=KEEP_OPEN_S
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(total=None),
            )
        return self._session


__all__ = [
    "CallFailure",
    "ConnectionRefused",
    "HttpClient",
    "NoReply",
    "Reply",
]
