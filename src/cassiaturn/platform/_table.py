"""The product's table service and object store, in the platform's store."""

from base64 import b64encode
from collections.abc import Mapping, Sequence
from http import HTTPStatus

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from cassiaturn.platform._documents import CommitReply, RowsReply
from cassiaturn.platform._store_calls import (
    CALL_TIMEOUT_S,
    StoreCaller,
    done,
    parsed,
    read_refusal_of,
    refusal_of,
    value_of,
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
from cassiaturn.transport.http_client import (
    Reply,
)

TRANSACT_PATH = "/api/rows-tx"

READ_PATH = "/api/rows-get"

PAGE_ROWS = 500
"""Rows of one page; the store gives no more."""

AFTER_KEY = "\0"
"""Added to a key, the least key behind it."""

LAST_KEY = "\U0010ffff"
"""Added to a prefix, a key behind every one that begins with it."""


class PlatformTable:
    """The product's table service, in one table of the store."""

    def __init__(self, *, caller: StoreCaller, table: str) -> None:
        """Use one table.

        :param table: its name.
        """
        self._caller = caller
        self._table = table

    async def read(self, keys: Sequence[str]) -> Result[Mapping[str, Row], ReadError]:
        """Return the rows that exist of some keys, one call each."""
        found: dict[str, Row] = {}
        for key in keys:
            match await self._page(key, key + AFTER_KEY, 1):
                case Success(rows):
                    found.update({row.key: row for row in rows})
                case Failure(error):
                    return Failure(error)
        return Success(found)

    async def scan(
        self, prefix: str, limit: int, *, after: str = ""
    ) -> Result[Sequence[Row], ReadError]:
        """Return rows in the order of their keys."""
        first = max(prefix, after + AFTER_KEY) if after else prefix
        return await self._page(first, prefix + LAST_KEY, min(limit, PAGE_ROWS))

    async def transact(
        self, writes: Sequence[Write]
    ) -> Result[Committed, Conflict | WriteError]:
        """Make every write or none."""
        called: Result[Reply, Conflict | WriteError] = await self._caller.write(
            "POST", TRANSACT_PATH, body=self._to_transaction(writes)
        )
        return called.bind(lambda reply: self._to_commit(reply, writes))

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
        read = await self._caller.read(READ_PATH, query, CALL_TIMEOUT_S)
        return read.bind(lambda reply: parsed(RowsReply, reply)).map(_to_rows)

    def _to_transaction(self, writes: Sequence[Write]) -> dict[str, object]:
        conditions = [
            {**self._place(write.key), "rowVersion": write.expected_version}
            for write in writes
            if write.expected_version is not None
        ]
        puts = [
            {
                **self._place(write.key),
                "value": b64encode(write.value.encode()).decode(),
            }
            for write in writes
            if isinstance(write, Put)
        ]
        removed = [
            self._place(write.key) for write in writes if not isinstance(write, Put)
        ]
        return {"precondition": conditions, "writes": puts, "remove": removed}

    def _place(self, key: str) -> dict[str, object]:
        return {"table": self._table, "part": "", "key": key}

    def _to_commit(
        self, reply: Reply, writes: Sequence[Write]
    ) -> Result[Committed, Conflict | WriteError]:
        if reply.status == HTTPStatus.PRECONDITION_FAILED:
            match parsed(RowsReply, reply):
                case Success(document):
                    rows = _to_rows(document)
                    return Failure(Conflict(rows_by_key={row.key: row for row in rows}))
                case _:
                    # Nothing was written, whatever the body says.
                    return Failure(Conflict(rows_by_key={}))
        if reply.status != HTTPStatus.OK:
            return Failure(refusal_of(reply))
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
    """The product's object store, in the store's raw objects."""

    def __init__(self, *, caller: StoreCaller) -> None:
        self._caller = caller

    async def put(self, key: str, content: bytes) -> Result[None, WriteError]:
        """Store an object, in place of any under the same key."""
        called = await self._caller.write(
            "PUT", f"/api/blob-put/{key}", content=content
        )
        return called.bind(done)

    async def get(self, key: str) -> Result[bytes, Missing | ReadError]:
        """Return an object."""
        called: Result[Reply, Missing | ReadError] = await self._caller.read(
            f"/api/blob-get/{key}", {}, CALL_TIMEOUT_S
        )
        return called.bind(lambda reply: _to_content(key, reply))

    async def delete(self, key: str) -> Result[None, WriteError]:
        """Remove an object, if it exists."""
        called = await self._caller.write("DELETE", f"/api/blob-drop/{key}")
        return called.bind(done)


def _to_rows(document: RowsReply) -> Sequence[Row]:
    rows: list[Row] = []
    for row in document.rows:
        value = value_of(row)
        if value is not None and row.row_version and not row.tombstone:
            text = value.decode(errors="replace")
            rows.append(Row(key=row.key, value=text, version=row.row_version))
    return rows


def _to_content(key: str, reply: Reply) -> Result[bytes, Missing | ReadError]:
    if reply.status == HTTPStatus.NOT_FOUND:
        return Failure(Missing(key=key))
    if reply.status != HTTPStatus.OK:
        return Failure(read_refusal_of(reply))
    return Success(reply.body)
