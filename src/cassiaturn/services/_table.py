"""The transactional table service."""

from collections.abc import Iterable, Mapping, Sequence
from http import HTTPStatus

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success
from tornado.httpclient import HTTPResponse

from cassiaturn.services._errors import (
    AnswerLost,
    Conflict,
    Misused,
    ReadError,
    WriteError,
)
from cassiaturn.services._http import (
    HttpCaller,
    HttpMethod,
    as_read_error,
    parse_reply,
)
from cassiaturn.services._rows import Committed, Put, Row, Write
from cassiaturn.services._wire import (
    DeleteDocument,
    PutDocument,
    ReadRequest,
    RowsReply,
    ScanRequest,
    TransactReply,
    TransactRequest,
    WriteDocument,
)

_TRANSACT_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.CONFLICT})


class HttpTableService:
    """The table service over HTTP, one call each, none repeated."""

    def __init__(self, *, caller: HttpCaller) -> None:
        """Use a caller whose base URL is that of the service.

        :param caller: makes the calls; closed by whoever made it.
        """
        self._caller = caller

    async def read(self, keys: Sequence[str]) -> Result[Mapping[str, Row], ReadError]:
        """Return the rows that exist of some keys."""
        request = ReadRequest(keys=keys)
        rows = await self._rows("/table/read", request)
        return rows.map(_by_key)

    async def scan(
        self, prefix: str, limit: int, *, after: str = ""
    ) -> Result[Sequence[Row], ReadError]:
        """Return rows in the order of their keys."""
        request = ScanRequest(prefix=prefix, limit=limit, after=after)
        return await self._rows("/table/scan", request)

    async def transact(
        self, writes: Sequence[Write]
    ) -> Result[Committed, Conflict | WriteError]:
        """Make every write or none."""
        try:
            request = TransactRequest(writes=[_to_document(write) for write in writes])
        except ValidationError as error:
            return Failure(Misused(detail=str(error)))
        response: Result[HTTPResponse, Conflict | WriteError] = await self._caller.call(
            HttpMethod.POST,
            "/table/transact",
            body=_to_body(request),
            accepted=_TRANSACT_STATUSES,
        )
        return response.bind(_to_commit)

    async def _rows(
        self, path: str, request: BaseModel
    ) -> Result[Sequence[Row], ReadError]:
        response = await self._caller.call(
            HttpMethod.POST, path, body=_to_body(request)
        )
        return response.alt(as_read_error).bind(_to_rows)


def _to_body(request: BaseModel) -> bytes:
    return request.model_dump_json().encode()


def _by_key(rows: Iterable[Row]) -> dict[str, Row]:
    return {row.key: row for row in rows}


def _to_document(write: Write) -> WriteDocument:
    if isinstance(write, Put):
        return PutDocument(
            key=write.key,
            value=write.value,
            expected_version=write.expected_version,
        )
    return DeleteDocument(key=write.key, expected_version=write.expected_version)


def _to_rows(response: HTTPResponse) -> Result[Sequence[Row], Misused]:
    return parse_reply(RowsReply, response).map(_rows_of)


def _rows_of(reply: RowsReply) -> Sequence[Row]:
    return [
        Row(key=document.key, value=document.value, version=document.version)
        for document in reply.rows
    ]


def _to_commit(
    response: HTTPResponse,
) -> Result[Committed, Conflict | WriteError]:
    if response.code == HTTPStatus.CONFLICT:
        match _to_rows(response):
            case Success(rows):
                return Failure(Conflict(rows_by_key=_by_key(rows)))
            case Failure(error):
                return Failure(error)
    match parse_reply(TransactReply, response):
        case Success(reply):
            return Success(Committed(versions_by_key=reply.versions_by_key))
    # The status says that the writes took effect, so a reply that cannot be
    # read must not pass for a refusal.
    return Failure(AnswerLost(detail="malformed reply"))
