"""The object store, for results too large to keep in memory."""

from functools import partial
from http import HTTPStatus
from typing import Protocol
from urllib.parse import quote

from returns.result import Failure, Result, Success
from tornado.httpclient import HTTPResponse

from cassiaturn.services._errors import Missing, ReadError, WriteError
from cassiaturn.services._http import HttpCaller, HttpMethod, as_read_error

_GET_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.NOT_FOUND})


class ObjectStore(Protocol):
    """Objects by key; a later write replaces an earlier one."""

    async def put(self, key: str, content: bytes) -> Result[None, WriteError]:
        """Write an object; repeating it is safe.

        :param key: its key.
        :param content: its whole content.
        """

    async def get(self, key: str) -> Result[bytes, Missing | ReadError]:
        """Return the content of an object.

        :param key: its key.
        """

    async def delete(self, key: str) -> Result[None, WriteError]:
        """Remove an object if it exists.

        :param key: its key.
        """


class HttpObjectStore:
    """The object store over HTTP."""

    def __init__(self, *, caller: HttpCaller) -> None:
        """Use a caller whose base URL is that of the service.

        :param caller: makes the calls; closed by whoever made it.
        """
        self._caller = caller

    async def put(self, key: str, content: bytes) -> Result[None, WriteError]:
        """Write an object; repeating it is safe."""
        return await self._change(HttpMethod.PUT, key, content)

    async def get(self, key: str) -> Result[bytes, Missing | ReadError]:
        """Return the content of an object."""
        answer = await self._caller.call(
            HttpMethod.GET, _path(key), accepted=_GET_STATUSES
        )
        response: Result[HTTPResponse, Missing | ReadError] = answer.alt(as_read_error)
        return response.bind(partial(_to_content, key))

    async def delete(self, key: str) -> Result[None, WriteError]:
        """Remove an object if it exists."""
        return await self._change(HttpMethod.DELETE, key, None)

    async def _change(
        self, method: HttpMethod, key: str, body: bytes | None
    ) -> Result[None, WriteError]:
        response = await self._caller.call(method, _path(key), body=body)
        return response.map(lambda _: None)


def _to_content(key: str, response: HTTPResponse) -> Result[bytes, Missing | ReadError]:
    if response.code == HTTPStatus.NOT_FOUND:
        return Failure(Missing(key=key))
    return Success(response.body)


def _path(key: str) -> str:
    return "/objects/" + quote(key, safe="")
