"""A stand-in of the platform's store: rows, transactions and the feed of changes."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass

from small_fleet.http import Request, Response, Server

SYSTEM_MAY_NOT_WRITE = ("op", "servers")


@dataclass(frozen=True, slots=True, kw_only=True)
class _Change:
    version: int
    table: str
    part: str
    key: str
    value: str | None


class Store:
    """The store on one port; every answer takes ``answer_s``."""

    def __init__(self, *, answer_s: float = 0.004) -> None:
        """Create an empty store."""
        self.answer_s = answer_s
        self._version = 0
        self._rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._history: list[_Change] = []
        self._changed = asyncio.Event()
        self._server = Server(self._handle)

    @property
    def address(self) -> str:
        """Its address."""
        return self._server.address

    async def start(self) -> None:
        """Open its port."""
        await self._server.start()

    async def close(self) -> None:
        """Close its port."""
        await self._server.close()

    def put(self, table: str, key: str, document: dict[str, object]) -> None:
        """Write a row as the operator or a runner does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._commit([(table, "", key, value)])

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        self._commit([(table, "", key, None)])

    def value_of(self, table: str, key: str) -> dict[str, object] | None:
        """Return the document in a row; None if there is none."""
        row = self._rows.get((table, "", key))
        return dict(json.loads(base64.b64decode(row[0]))) if row is not None else None

    def _commit(self, writes: list[tuple[str, str, str, str | None]]) -> None:
        self._version += 1
        for table, part, key, value in writes:
            if value is None:
                self._rows.pop((table, part, key), None)
            else:
                self._rows[table, part, key] = (value, self._version)
            self._history.append(
                _Change(
                    version=self._version, table=table, part=part, key=key, value=value
                )
            )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> Response:
        await asyncio.sleep(self.answer_s)
        match request.path:
            case "/api/rows-tx":
                return self._transact(request)
            case "/api/rows-get":
                return self._get(request)
            case "/api/rows-feed":
                return await self._feed(request)
        return Response(status=404)

    def _answer(self, status: int, **fields: object) -> Response:
        now_ms = int(time.monotonic() * 1000)
        document = {**fields, "rowVersion": self._version, "nowMs": now_ms}
        return Response(status=status, document=document)

    def _row(self, table: str, part: str, key: str) -> dict[str, object] | None:
        found = self._rows.get((table, part, key))
        if found is None:
            return None
        names = {"table": table, "part": part, "key": key}
        return {**names, "value": found[0], "rowVersion": found[1]}

    def _transact(self, request: Request) -> Response:
        document = request.document()
        writes = document.get("writes", [])
        if any(row["table"] in SYSTEM_MAY_NOT_WRITE for row in writes):
            return Response(status=403)
        current: list[dict[str, object]] = []
        holds = True
        for row in document.get("precondition", []):
            found = self._row(row["table"], row.get("part", ""), row["key"])
            version = found["rowVersion"] if found is not None else 0
            holds = holds and version == row["rowVersion"]
            if found is not None:
                current.append(found)
        if not holds:
            return self._answer(412, rows=current)
        removed = document.get("remove", [])
        self._commit(
            [
                *(
                    (r["table"], r.get("part", ""), r["key"], r["value"])
                    for r in writes
                ),
                *((r["table"], r.get("part", ""), r["key"], None) for r in removed),
            ]
        )
        return self._answer(200)

    def _get(self, request: Request) -> Response:
        query = request.query
        table, part = query.get("table", ""), query.get("part", "")
        first, end = query.get("from", ""), query.get("to", "")
        keys = sorted(
            row_key
            for row_table, row_part, row_key in self._rows
            if (row_table, row_part) == (table, part) and row_key >= first
        )
        keys = [key for key in keys if not end or key < end]
        limit = min(500, int(query.get("limit", "500")))
        rows = [self._row(table, part, key) for key in keys[:limit]]
        return self._answer(200, rows=rows, truncated=len(keys) > limit)

    async def _feed(self, request: Request) -> Response:
        after = int(request.query["after"])
        table = request.query["table"]
        end_at = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        while True:
            rows = [
                {
                    "table": change.table,
                    "part": change.part,
                    "key": change.key,
                    "value": change.value or "",
                    "rowVersion": change.version,
                    "tombstone": change.value is None,
                }
                for change in self._history
                if change.version > after and change.table == table
            ]
            left_s = end_at - time.monotonic()
            if rows or left_s <= 0.0:
                return self._answer(200, rows=rows, truncated=False)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
