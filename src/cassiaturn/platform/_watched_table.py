"""Reads tables of the platform's store and follows their changes."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Generic

from returns.result import Failure, Result, Success

from cassiaturn.fleet import Changes, EntryT, HistoryLost, Snapshot
from cassiaturn.observability import Event, SeldomLog
from cassiaturn.platform._documents import RowsReply
from cassiaturn.platform._store_client import (
    CALL_TIMEOUT_S,
    StoreClient,
    decode_value,
    parse_reply,
)
from cassiaturn.platform._table import NEXT_KEY_SUFFIX, READ_PATH
from cassiaturn.services import ReadError
from cassiaturn.transport.http_client import Reply

FEED_PATH = "/api/rows-feed"

FEED_EXTRA_TIMEOUT_S = 0.7
"""Timeout of a feed call beyond the wait that it asks for, in seconds."""

MS_PER_S = 1000


class WatchedTable(Generic[EntryT]):
    """A table of the store whose changes can be polled."""

    def __init__(
        self,
        *,
        store: StoreClient,
        table: str,
        decode: Callable[[str, bytes], EntryT | None],
        is_read: Callable[[str], bool] = lambda key: True,
        without_value: Callable[[str], EntryT | None] = lambda key: None,
    ) -> None:
        """Create a reader of one table.

        :param store: client of the store.
        :param table: name of the table.
        :param decode: decodes a row's key and value; returns None if malformed.
        :param is_read: returns whether to read the row of a key.
        :param without_value: returns the entry of a key whose value is not base64.
        """
        self._store = store
        self._table = table
        self._decode = decode
        self._is_read = is_read
        self._without_value = without_value
        self._malformed_log = SeldomLog()

    async def snapshot(self) -> "Result[Snapshot[EntryT], ReadError]":
        """Return every entry."""
        entries: dict[str, EntryT] = {}
        first = ""
        version: int | None = None
        while True:
            query = {"table": self._table, "part": ""}
            if first:
                query["from"] = first
            read = await self._store.read(READ_PATH, query, CALL_TIMEOUT_S)
            match read.bind(lambda reply: parse_reply(RowsReply, reply)):
                case Failure(error):
                    return Failure(error)
                case Success(page):
                    # Later pages may be newer: keep the first page's version, so that
                    # changes made while reading are requested again.
                    version = page.row_version if version is None else version
                    decoded = self._decode_rows(page)
                    entries |= {key: row for key, row in decoded if row is not None}
                    if not page.truncated or not page.rows:
                        return Success(
                            Snapshot(version=version, entries_by_key=entries)
                        )
                    first = page.rows[-1].key + NEXT_KEY_SUFFIX

    async def changes(
        self, after: int, wait_s: float
    ) -> "Result[Changes[EntryT], ReadError | HistoryLost]":
        """Wait for changes after a version and return them."""
        query = {
            "table": self._table,
            "after": str(after),
            "waitMs": str(round(wait_s * MS_PER_S)),
        }
        timeout_s = wait_s + FEED_EXTRA_TIMEOUT_S
        read: Result[Reply, ReadError | HistoryLost] = await self._store.read(
            FEED_PATH, query, timeout_s
        )
        return read.bind(self._to_changes)

    def _to_changes(
        self, reply: Reply
    ) -> "Result[Changes[EntryT], ReadError | HistoryLost]":
        if reply.status == HTTPStatus.GONE:
            return Failure(HistoryLost())
        return parse_reply(RowsReply, reply).map(
            lambda page: Changes(
                version=page.row_version, entries_by_key=dict(self._decode_rows(page))
            )
        )

    def _decode_rows(self, page: RowsReply) -> "list[tuple[str, EntryT | None]]":
        found: list[tuple[str, EntryT | None]] = []
        for row in page.rows:
            if row.part or not self._is_read(row.key):
                continue
            if row.tombstone:
                found.append((row.key, None))
                continue
            value = decode_value(row)
            if value is None:
                entry = self._without_value(row.key)
            else:
                entry = self._decode(row.key, value)
            if entry is None:
                event, version = Event.ENTRY_MALFORMED, row.row_version
                self._malformed_log.log(event, key=row.key, version=version)
            # A malformed row also removes the earlier entry of its key.
            found.append((row.key, entry))
        return found
