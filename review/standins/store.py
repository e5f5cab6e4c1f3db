"""Stand-in of the platform's store: rows, transactions and the feed of changes."""

import asyncio
import json
from base64 import b64encode
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

from web import Answer, Request, Server, now_s

TRANSACTION_S = 0.004
CLOSED_TABLES = ("op", "servers")

Key = tuple[str, str, str]


@dataclass(slots=True, kw_only=True)
class Store:
    """All rows, with one counter of versions."""

    host: str
    server: Server = field(init=False)
    version: int = 0
    rows: dict[Key, tuple[str, int]] = field(default_factory=dict)
    history: list[tuple[int, Key, str | None]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.server = Server(handler=self.handle, host=self.host)

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or a runner does."""
        text = b64encode(json.dumps(value).encode()).decode()
        self._commit([((table, "", key), text)])

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._commit([((table, "", key), None)])

    def _commit(self, changes: list[tuple[Key, str | None]]) -> None:
        self.version += 1
        for key, value in changes:
            self.history.append((self.version, key, value))
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, key: Key) -> dict[str, Any]:
        value, version = self.rows.get(key, ("", 0))
        table, part, name = key
        return {
            "table": table,
            "part": part,
            "key": name,
            "value": value,
            "rowVersion": version,
        }

    def _reply(self, status: int, **fields: Any) -> Answer:
        stamp = {"rowVersion": self.version, "nowMs": round(now_s() * 1000)}
        return status, {**fields, **stamp}

    async def handle(self, request: Request) -> Answer:
        """Answer one call."""
        query = {name: unquote(value) for name, value in request.query.items()}
        match request.path:
            case "/api/rows-get":
                await asyncio.sleep(TRANSACTION_S)
                return self._get(query)
            case "/api/rows-feed":
                return await self._feed(query)
            case "/api/rows-tx":
                await asyncio.sleep(TRANSACTION_S)
                return self._transact(request.document())
        return self._reply(404)

    def _get(self, query: dict[str, str]) -> Answer:
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to", "")
        limit = int(query.get("limit", "500"))
        found = sorted(
            key
            for key in self.rows
            if key[0] == table
            and key[1] == part
            and key[2] >= first
            and (not end or key[2] < end)
        )
        rows = [self._row(key) for key in found[:limit]]
        return self._reply(200, rows=rows, truncated=len(found) > limit)

    async def _feed(self, query: dict[str, str]) -> Answer:
        after = int(query["after"])
        end_at = now_s() + int(query.get("waitMs", "0")) / 1000
        while True:
            rows = [
                {
                    **dict(zip(("table", "part", "key"), key, strict=True)),
                    "value": value or "",
                    "rowVersion": version,
                    "tombstone": value is None,
                }
                for version, key, value in self.history
                if key[0] == query["table"] and version > after
            ]
            left_s = end_at - now_s()
            if rows or left_s <= 0:
                return self._reply(200, rows=rows)
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def _transact(self, document: dict[str, Any]) -> Answer:
        writes = document.get("writes", [])
        removed = document.get("remove", [])
        if any(row["table"] in CLOSED_TABLES for row in [*writes, *removed]):
            return self._reply(403)
        conditions = document.get("precondition", [])
        current = [self._row(_key(row)) for row in conditions]
        for row, condition in zip(current, conditions, strict=True):
            if row["rowVersion"] != condition["rowVersion"]:
                return self._reply(412, rows=[r for r in current if r["rowVersion"]])
        changes = [(_key(row), str(row["value"])) for row in writes]
        self._commit([*changes, *((_key(row), None) for row in removed)])
        return self._reply(200)


def _key(row: dict[str, Any]) -> Key:
    return row["table"], row.get("part", ""), row["key"]
