"""Implements cassiaturn's table service and object store on the platform's store."""

from base64 import b64encode
from collections.abc import Mapping, Sequence
from http import HTTPStatus

from pydantic_core import ValidationError
from returns.result import Failure, Result, Success

from cassiaturn.platform._documents import CommitReply, RowsReply
from cassiaturn.platform._store_client import (
    CALL_TIMEOUT_S,
    StoreClient,
    check_done,
    decode_value,
    parse_reply,
    to_read_error,
    to_write_error,
)
from cassiaturn.services import (
    AnswerLost,
    Committed,
    Conflict,
    Missing,
    Put,
    ReadError,
    Row,
    Write,
    WriteError,
)
from cassiaturn.transport.http_client import Reply

TRANSACT_PATH = "/api/rows-tx"

READ_PATH = "/api/rows-get"

MAX_PAGE_ROWS = 500
"""Largest page that the store returns, in rows."""

NEXT_KEY_SUFFIX = "\0"
"""Appended to a key, gives the smallest key after it."""

PREFIX_END_SUFFIX = "\U0010ffff"
"""Appended to a prefix, gives a key after all keys with that prefix."""


class PlatformTable:
    """cassiaturn's table service on one table of the store."""

    def __init__(self, *, store: StoreClient, table: str) -> None:
        """Use one table of the store.

        :param store: client of the store.
        :param table: name of the table.
        """
        self._store = store
        self._table = table

    async def read(self, keys: Sequence[str]) -> Result[Mapping[str, Row], ReadError]:
        """Return the existing rows of some keys, with one call per key."""
        found: dict[str, Row] = {}
        for key in keys:
            match await self._page(key, key + NEXT_KEY_SUFFIX, 1):
                case Success(rows):
                    found.update({row.key: row for row in rows})
                case Failure(error):
                    return Failure(error)
        return Success(found)

    async def scan(
        self, prefix: str, limit: int, *, after: str = ""
    ) -> Result[Sequence[Row], ReadError]:
        """Return rows with a key prefix, ordered by key."""
        first = max(prefix, after + NEXT_KEY_SUFFIX) if after else prefix
        return await self._page(
            first, prefix + PREFIX_END_SUFFIX, min(limit, MAX_PAGE_ROWS)
        )

    async def transact(
        self, writes: Sequence[Write]
    ) -> Result[Committed, Conflict | WriteError]:
        """Commit all writes or none."""
        called: Result[Reply, Conflict | WriteError] = await self._store.write(
            "POST", TRANSACT_PATH, body=self._to_transaction(writes)
        )
        return called.bind(lambda reply: self._to_committed(reply, writes))

    async def _page(
        self, first: str, end: str, limit: int
    ) -> Result[Sequence[Row], ReadError]:
        query = {
            "table": self._table,
            "part": "",
            "from": first,
            "to": end,
            "limit": str(limit),
        }
        read = await self._store.read(READ_PATH, query, CALL_TIMEOUT_S)
        return read.bind(lambda reply: parse_reply(RowsReply, reply)).map(_to_rows)

    def _to_transaction(self, writes: Sequence[Write]) -> dict[str, object]:
        conditions = [
            {**self._row_key(write.key), "rowVersion": write.expected_version}
            for write in writes
            if write.expected_version is not None
        ]
        puts = [
            {
                **self._row_key(write.key),
                "value": b64encode(write.value.encode()).decode(),
            }
            for write in writes
            if isinstance(write, Put)
        ]
        removed = [
            self._row_key(write.key) for write in writes if not isinstance(write, Put)
        ]
        return {"precondition": conditions, "writes": puts, "remove": removed}

    def _row_key(self, key: str) -> dict[str, object]:
        return {"table": self._table, "part": "", "key": key}

    def _to_committed(
        self, reply: Reply, writes: Sequence[Write]
    ) -> Result[Committed, Conflict | WriteError]:
        if reply.status == HTTPStatus.PRECONDITION_FAILED:
            match parse_reply(RowsReply, reply):
                case Success(document):
                    rows = _to_rows(document)
                    return Failure(Conflict(rows_by_key={row.key: row for row in rows}))
                case _:
                    # The status alone says that nothing was written.
                    return Failure(Conflict(rows_by_key={}))
        if reply.status != HTTPStatus.OK:
            return Failure(to_write_error(reply))
        try:
            commit = CommitReply.model_validate_json(reply.body)
        except ValidationError:
            return Failure(AnswerLost(detail="malformed reply"))
        return Success(
            Committed(
                versions_by_key={
                    write.key: commit.row_version
                    for write in writes
                    if isinstance(write, Put)
                }
            )
        )


class PlatformObjects:
    """cassiaturn's object store on the raw objects of the store."""

    def __init__(self, *, store: StoreClient) -> None:
        self._store = store

    async def put(self, key: str, content: bytes) -> Result[None, WriteError]:
        """Store an object and replace any other with the same key."""
        called = await self._store.write("PUT", f"/api/blob-put/{key}", content=content)
        return called.bind(check_done)

    async def get(self, key: str) -> Result[bytes, Missing | ReadError]:
        """Return the content of an object."""
        called: Result[Reply, Missing | ReadError] = await self._store.read(
            f"/api/blob-get/{key}", {}, CALL_TIMEOUT_S
        )
        return called.bind(lambda reply: _to_content(key, reply))

    async def delete(self, key: str) -> Result[None, WriteError]:
        """Remove an object, if it exists."""
        called = await self._store.write("DELETE", f"/api/blob-drop/{key}")
        return called.bind(check_done)


def _to_rows(document: RowsReply) -> Sequence[Row]:
    rows: list[Row] = []
    for row in document.rows:
        value = decode_value(row)
        if value is not None and row.row_version and not row.tombstone:
            text = value.decode(errors="replace")
            rows.append(Row(key=row.key, value=text, version=row.row_version))
    return rows


def _to_content(key: str, reply: Reply) -> Result[bytes, Missing | ReadError]:
    if reply.status == HTTPStatus.NOT_FOUND:
        return Failure(Missing(key=key))
    if reply.status != HTTPStatus.OK:
        return Failure(to_read_error(reply))
    return Success(reply.body)
