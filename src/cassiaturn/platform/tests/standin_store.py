"""A fake store that speaks the platform's protocol and can inject faults."""

import asyncio
import json
from base64 import b64encode
from dataclasses import dataclass, field
from enum import Enum, auto

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

LOOPBACK = "127.0.0.1"

OPERATOR_TABLES = ("op", "servers")


class Fault(Enum):
    """The fault to inject."""

    NONE = auto()
    BUSY = auto()
    SILENT = auto()
    THROTTLED = auto()
    ANSWER_LOST = auto()


@dataclass(slots=True, kw_only=True)
class StoreState:
    """Rows, change history and objects of the store."""

    version: int = 0
    rows: dict[tuple[str, str, str], tuple[str, int]] = field(default_factory=dict)
    history: list[tuple[int, str, str, str, str | None]] = field(default_factory=list)
    history_from: int = 0
    objects: dict[str, bytes] = field(default_factory=dict)
    fault: Fault = Fault.NONE
    calls: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row, as an operator or a target does."""
        text = value if isinstance(value, str) else json.dumps(value)
        self.commit([(table, "", key, b64encode(text.encode()).decode())])

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.commit([(table, "", key, None)])

    def commit(self, writes: list[tuple[str, str, str, str | None]]) -> None:
        """Apply all writes of a transaction."""
        self.version += 1
        for table, part, key, value in writes:
            self.history.append((self.version, table, part, key, value))
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self) -> None:
        """Drop all history, as the platform may at any time."""
        self.history_from = self.version

    def row(self, table: str, part: str, key: str) -> dict[str, object]:
        """Return a row in wire format."""
        value, version = self.rows.get((table, part, key), ("", 0))
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "rowVersion": version,
        }


class StandinStore:
    """The store on one port."""

    def __init__(self) -> None:
        self.state = StoreState()
        shared = {"state": self.state}
        self._server = HTTPServer(
            Application(
                [
                    ("/api/rows-tx", _Transact, shared),
                    ("/api/rows-get", _Get, shared),
                    ("/api/rows-feed", _Feed, shared),
                    ("/api/blob-(?:put|get|drop)/(.+)", _Object, shared),
                ],
                log_function=lambda _: None,
            )
        )
        self.address = ""

    def start(self) -> None:
        sockets = bind_sockets(0, LOOPBACK)
        self._server.add_sockets(sockets)
        self.address = f"{LOOPBACK}:{sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        self._server.stop()
        await self._server.close_all_connections()


class _Handler(RequestHandler):
    state: StoreState

    def initialize(self, state: StoreState) -> None:
        self.state = state

    async def prepare(self) -> None:
        self.state.calls += 1
        match self.state.fault:
            case Fault.BUSY:
                self.reply(503, {})
            case Fault.THROTTLED:
                self.set_header("Retry-After", "0.05")
                self.reply(429, {})
            case Fault.SILENT:
                await asyncio.sleep(5.0)
                self.reply(503, {})

    def reply(self, status: int, document: dict[str, object]) -> None:
        self.set_status(status)
        self.finish(json.dumps(document))

    def drop_connection(self) -> None:
        stream = self.request.connection.detach()  # type: ignore[union-attr]
        stream.close()
        self._finished = True

    def with_version(self, rows: list[dict[str, object]]) -> dict[str, object]:
        return {"rows": rows, "rowVersion": self.state.version, "nowMs": 1}


class _Transact(_Handler):
    def post(self) -> None:
        document = json.loads(self.request.body)
        state = self.state
        writes = document.get("writes", [])
        if any(row["table"] in OPERATOR_TABLES for row in writes):
            self.reply(403, {})
            return
        conditions = document.get("precondition", [])
        current = [state.row(r["table"], r["part"], r["key"]) for r in conditions]
        conditions_hold = all(
            row["rowVersion"] == condition["rowVersion"]
            for row, condition in zip(current, conditions, strict=True)
        )
        if not conditions_hold:
            self.reply(412, self.with_version([r for r in current if r["rowVersion"]]))
            return
        changes = [(r["table"], r["part"], r["key"], r["value"]) for r in writes]
        changes += [
            (r["table"], r["part"], r["key"], None) for r in document.get("remove", [])
        ]
        state.commit(changes)
        if state.fault is Fault.ANSWER_LOST:
            self.drop_connection()
            return
        self.reply(200, {"rowVersion": state.version, "nowMs": 1})


class _Get(_Handler):
    def get(self) -> None:
        state = self.state
        table = self.get_argument("table")
        part = self.get_argument("part", "")
        first = self.get_argument("from", "", strip=False)
        end = self.get_argument("to", "", strip=False)
        limit = int(self.get_argument("limit", "500"))
        keys = sorted(
            key
            for row_table, row_part, key in state.rows
            if row_table == table and row_part == part and key >= first
        )
        keys = [key for key in keys if not end or key < end]
        rows = [state.row(table, part, key) for key in keys[:limit]]
        self.reply(200, {**self.with_version(rows), "truncated": len(keys) > limit})


class _Feed(_Handler):
    async def get(self) -> None:
        state = self.state
        table = self.get_argument("table")
        after = int(self.get_argument("after"))
        wait_s = int(self.get_argument("waitMs", "0")) / 1000
        loop = asyncio.get_running_loop()
        end_at = loop.time() + wait_s
        while True:
            if after < state.history_from:
                self.reply(410, {})
                return
            rows = [
                {
                    "table": row_table,
                    "part": part,
                    "key": key,
                    "value": value or "",
                    "rowVersion": version,
                    "tombstone": value is None,
                }
                for version, row_table, part, key, value in state.history
                if row_table == table and version > after
            ]
            left_s = end_at - loop.time()
            if rows or left_s <= 0:
                self.reply(200, self.with_version(rows))
                return
            try:
                async with asyncio.timeout(left_s):
                    await state.changed.wait()
            except TimeoutError:
                continue


class _Object(_Handler):
    def put(self, name: str) -> None:
        self.state.objects[name] = self.request.body
        self.reply(200, {})

    def get(self, name: str) -> None:
        found = self.state.objects.get(name)
        if found is None:
            self.reply(404, {})
            return
        self.finish(found)

    def delete(self, name: str) -> None:
        self.state.objects.pop(name, None)
        self.reply(200, {})
