"""Lists in the platform's store, with their changes."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Generic

from returns.result import Failure, Result, Success

from cassiaturn.fleet import Changes, EntryT, HistoryLost, Snapshot
from cassiaturn.observability import Event, SeldomLog
from cassiaturn.platform._documents import RowsReply
from cassiaturn.platform._store_calls import (
    CALL_TIMEOUT_S,
    StoreCaller,
    parsed,
    value_of,
)
from cassiaturn.platform._table import AFTER_KEY, READ_PATH
from cassiaturn.services import (
    ReadError,
)
from cassiaturn.transport.http_client import Reply

FEED_PATH = "/api/rows-feed"

FEED_SLACK_S = 0.7
"""How much longer than asked an answer about changes may take, in seconds."""

MILLISECONDS = 1000


class WatchedTable(Generic[EntryT]):
    """One list of the store, with its changes."""

    def __init__(
        self,
        *,
        caller: StoreCaller,
        table: str,
        decode: Callable[[str, bytes], EntryT | None],
        keys: frozenset[str] | None = None,
    ) -> None:
        """Prepare to read a list.

        :param table: name of the table.
        :param decode: reads one row by its key; None: it is malformed.
        :param keys: the keys that belong to the list; None: all.
        """
        self._caller = caller
        self._table = table
        self._decode = decode
        self._keys = keys
        self._malformed = SeldomLog()

    async def snapshot(self) -> "Result[Snapshot[EntryT], ReadError]":
        """Return every entry."""
        entries: dict[str, EntryT] = {}
        first = ""
        version: int | None = None
        while True:
            query = {"table": self._table, "part": ""}
            if first:
                query["from"] = first
            read = await self._caller.read(READ_PATH, query, CALL_TIMEOUT_S)
            match read.bind(lambda reply: parsed(RowsReply, reply)):
                case Failure(error):
                    return Failure(error)
                case Success(page):
                    # Changes after the first page's moment are asked for again.
                    version = page.row_version if version is None else version
                    entries.update(
                        {key: row for key, row in self._read(page) if row is not None}
                    )
                    if not page.truncated or not page.rows:
                        return Success(
                            Snapshot(version=version, entries_by_key=entries)
                        )
                    first = page.rows[-1].key + AFTER_KEY

    async def changes(
        self, after: int, wait_s: float
    ) -> "Result[Changes[EntryT], ReadError | HistoryLost]":
        """Return what has changed, as soon as anything has."""
        query = {
            "table": self._table,
            "after": str(after),
            "waitMs": str(round(wait_s * MILLISECONDS)),
        }
        timeout_s = wait_s + FEED_SLACK_S
        read: Result[Reply, ReadError | HistoryLost] = await self._caller.read(
            FEED_PATH, query, timeout_s
        )
        return read.bind(self._to_changes)

    def _to_changes(
        self, reply: Reply
    ) -> "Result[Changes[EntryT], ReadError | HistoryLost]":
        if reply.status == HTTPStatus.GONE:
            return Failure(HistoryLost())
        return parsed(RowsReply, reply).map(
            lambda page: Changes(
                version=page.row_version, entries_by_key=dict(self._read(page))
            )
        )

    def _read(self, page: RowsReply) -> "list[tuple[str, EntryT | None]]":
        found: list[tuple[str, EntryT | None]] = []
        for row in page.rows:
            if row.part or (self._keys is not None and row.key not in self._keys):
                continue
            if row.tombstone:
                found.append((row.key, None))
                continue
            value = value_of(row)
            entry = self._decode(row.key, value) if value is not None else None
            if entry is None:
                event, version = Event.ENTRY_MALFORMED, row.row_version
                self._malformed.log(event, key=row.key, version=version)
            # Whatever it named before, it names nothing now.
            found.append((row.key, entry))
        return found
