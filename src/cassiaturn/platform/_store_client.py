"""Calls the platform's store over HTTP and maps its errors."""

from base64 import b64decode
from binascii import Error as Base64Error
from collections.abc import Mapping
from http import HTTPStatus
from typing import TypeVar

from pydantic_core import ValidationError
from returns.result import Failure, Result, Success

from cassiaturn._core_models import Document
from cassiaturn.platform._documents import RowDocument
from cassiaturn.services import (
    AnswerLost,
    Misused,
    ReadError,
    Throttled,
    Unavailable,
    WriteError,
)
from cassiaturn.transport.http_client import (
    CallFailure,
    ConnectionRefused,
    HttpClient,
    Reply,
)

CALL_TIMEOUT_S = 1.5
"""Timeout of a call, in seconds: about 300 times the usual response time."""

DEFAULT_RETRY_AFTER_S = 0.5
"""Pause after a refusal without a Retry-After header, in seconds."""

ReplyT = TypeVar("ReplyT", bound=Document)


class StoreClient:
    """Calls the store; errors tell whether the call may have taken effect."""

    def __init__(self, *, client: HttpClient, address: str) -> None:
        """Create a client of one store.

        :param client: HTTP client for the calls.
        :param address: address of the store, ``host:port``.
        """
        self._client = client
        self._address = address

    async def read(
        self, path: str, query: Mapping[str, str], timeout_s: float
    ) -> Result[Reply, ReadError]:
        """Make a call without side effects."""
        called = await self._client.call(
            "GET", self._address, path, query=query, timeout_s=timeout_s
        )
        return called.alt(lambda failure: Unavailable(detail=failure.detail))

    async def write(
        self,
        method: str,
        path: str,
        *,
        body: object = None,
        content: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[Reply, WriteError]:
        """Make a call that may change the store."""
        called = await self._client.call(
            method,
            self._address,
            path,
            body=body,
            content=content,
            headers=headers,
            timeout_s=CALL_TIMEOUT_S,
        )
        return called.alt(_call_error)


def parse_reply(model: type[ReplyT], reply: Reply) -> Result[ReplyT, ReadError]:
    """Return the document of a reply, or the error that it stands for."""
    accepted = (HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED)
    if reply.status not in accepted:
        return Failure(to_read_error(reply))
    try:
        return Success(model.model_validate_json(reply.body))
    except ValidationError as error:
        return Failure(Misused(detail=f"malformed reply: {error.error_count()}"))


def check_done(reply: Reply) -> Result[None, WriteError]:
    """Return success if the reply says that a change was made."""
    if reply.status in (HTTPStatus.OK, HTTPStatus.CREATED, HTTPStatus.NO_CONTENT):
        return Success(None)
    return Failure(to_write_error(reply))


def _call_error(failure: CallFailure) -> WriteError:
    if isinstance(failure, ConnectionRefused):
        return Unavailable(detail=failure.detail)
    return AnswerLost(detail=failure.detail)


def to_write_error(reply: Reply) -> WriteError:
    """Return the error of a refused write.

    After a server error other than 503 the write may have taken effect.
    """
    is_error = reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    if is_error and reply.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return AnswerLost(detail=f"status {reply.status}")
    return to_read_error(reply)


def to_read_error(reply: Reply) -> ReadError:
    """Return the error of a refused read."""
    if reply.status == HTTPStatus.TOO_MANY_REQUESTS:
        return Throttled(retry_after_s=_retry_after_s(reply))
    if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Unavailable(detail=f"status {reply.status}")
    return Misused(
        detail=f"status {reply.status}: {reply.body[:200].decode(errors='replace')}"
    )


def _retry_after_s(reply: Reply) -> float:
    try:
        return float(reply.retry_after)
    except ValueError:
        return DEFAULT_RETRY_AFTER_S


def decode_value(row: RowDocument) -> bytes | None:
    """Return the decoded value of a row; None if it is not base64."""
    try:
        return b64decode(row.value, validate=True)
    except Base64Error:
        return None
