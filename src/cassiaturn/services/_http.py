"""HTTP calls to the platform, their failures as values."""

from collections.abc import Set
from enum import Enum
from http import HTTPStatus
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from cassiaturn.services._errors import (
    AnswerLost,
    Misused,
    ReadError,
    Throttled,
    Unavailable,
    WriteError,
)

MAX_CALLS = 64
"""Calls at once to the platform, over all its services."""

MAX_REPLY_BYTES = 64 * 1024 * 1024
"""Longest reply that is read."""

DEFAULT_RETRY_AFTER_S = 1.0
"""Pause after a refusal that names none, in seconds."""

ONLY_OK = frozenset({HTTPStatus.OK})
"""Accepted statuses of most calls."""

ReplyT = TypeVar("ReplyT", bound=BaseModel)


class HttpMethod(str, Enum):  # noqa: UP042 - tornado wants a plain str
    """Methods that the platform's services use."""

    GET = "GET"
    PUT = "PUT"
    POST = "POST"
    DELETE = "DELETE"


class HttpCaller:
    """Calls to one base URL, each with a timeout.

    Share one for each service. No call is repeated here: a write that is
    repeated blindly could undo a later one.
    """

    def __init__(self, *, base_url: str, timeout_s: float) -> None:
        """Prepare calls; connections open on use.

        :param base_url: for example ``http://10.0.0.9:7600``.
        :param timeout_s: longest wait for one answer, in seconds.
        """
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._client = AsyncHTTPClient(
            force_instance=True,
            defaults={"decompress_response": False},
            max_clients=MAX_CALLS,
            max_body_size=MAX_REPLY_BYTES,
        )

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def call(
        self,
        method: HttpMethod,
        path: str,
        *,
        body: bytes | None = None,
        accepted: Set[HTTPStatus] = ONLY_OK,
    ) -> Result[HTTPResponse, WriteError]:
        """Make one call.

        :param method: HTTP method.
        :param path: path below the base URL, with its leading slash.
        :param body: request body.
        :param accepted: statuses that are answers to the call.
        :returns: a response of an accepted status, or what is known without
            one: ``AnswerLost`` unless the call surely had no effect.
        """
        request = HTTPRequest(
            self._base_url + path,
            method=method.value,
            body=body,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError as error:
            return Failure(Unavailable(detail=str(error)))
        except Exception as error:
            # The client raises several types, some private, for a timeout and
            # for a connection that closes early. Each means the same: the
            # call may have had its effect.
            return Failure(AnswerLost(detail=repr(error)))
        if response.code in accepted:
            return Success(response)
        return Failure(_refusal_of(response))


def _refusal_of(response: HTTPResponse) -> WriteError:
    if response.code == HTTPStatus.TOO_MANY_REQUESTS:
        return Throttled(retry_after_s=_retry_after_s(response))
    detail = f"status {response.code}: {response.body[:200].decode(errors='replace')}"
    if response.code == HTTPStatus.SERVICE_UNAVAILABLE:
        return Unavailable(detail=detail)
    # A gateway may report an error of its own after the service has written;
    # of these statuses only 503 promises that nothing was done.
    if response.code >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return AnswerLost(detail=detail)
    return Misused(detail=detail)


def parse_reply(model: type[ReplyT], response: HTTPResponse) -> Result[ReplyT, Misused]:
    """Return the document of a successful response.

    :param model: type of the document.
    :param response: one of status 200.
    """
    try:
        return Success(model.model_validate_json(response.body))
    except ValidationError as error:
        return Failure(Misused(detail=f"malformed reply: {error}"))


def as_read_error(error: WriteError) -> ReadError:
    """Return the error of a call that changes nothing.

    :param error: what the call gave; a lost answer of a read is no more than
        an unavailable service.
    """
    if isinstance(error, AnswerLost):
        return Unavailable(detail=error.detail)
    return error


def _retry_after_s(response: HTTPResponse) -> float:
    try:
        return float(response.headers.get("Retry-After", ""))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
