"""The leader's row in the table service: claimed, renewed, watched."""

import asyncio
import time
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import TypeVar

from returns.result import Failure, Success

from cassiaturn.fleet._leadership import Leadership, RowState
from cassiaturn.observability import Event, SeldomLog
from cassiaturn.services import ABSENT_VERSION, Conflict, Put, Row, TableService

ReplyT = TypeVar("ReplyT")

ROW_KEY = "leader"
"""Key of the row."""

RENEW_ROW_S = 0.5
"""Period in which a leader writes its row, in seconds: two writes a second of the
600 that the table service takes, whatever the size of the fleet."""

STALE_S = 1.3
"""Time without a write after which a row's leader counts as dead, in seconds: two
periods, and a write that takes 60 times its usual 4 ms. When all other members lose
power, nobody is left whose word would tell their loss from this member's own cut, so
callers are refused until then."""

CALL_TIMEOUT_S = 0.7
"""Longest wait for the table service, in seconds. It may be 50 times as slow as its
usual 4 ms; a leader is missed meanwhile, so waiting longer is no better."""

QUICK_READ_TIMEOUT_S = 0.1
"""Longest wait for the row where members can do without it, in seconds: 25 times the
usual one. The leases of a lost leader's tasks end meanwhile."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RowView:
    """What the row told when it was last read."""

    state: RowState
    """Whether its leader still writes it."""

    leadership: Leadership | None = None
    """The leadership in it."""


class LeaderRow:
    """One member's view of the row."""

    def __init__(self, *, table: TableService) -> None:
        self._table = table
        self._version = ABSENT_VERSION
        self._seen_at = 0.0
        self._renewed = False
        self._renewal = 0
        self._malformed = SeldomLog()

    def reset(self) -> None:
        """Begin to watch the row anew, as after the loss of a leader."""
        self._version = ABSENT_VERSION
        self._renewed = False

    async def read(self, timeout_s: float = CALL_TIMEOUT_S) -> RowView:
        """Read the row, and tell whether it has changed since it is watched.

        :param timeout_s: longest wait, in seconds.
        """
        result = await _bounded(self._table.read([ROW_KEY]), timeout_s)
        match result:
            case Success(rows_by_key):
                row = rows_by_key.get(ROW_KEY)
            case _:
                return RowView(state=RowState.UNREADABLE)
        if row is None:
            self._version = ABSENT_VERSION
            return RowView(state=RowState.ABSENT)
        return self._note(row)

    async def claim(self, leadership: Leadership) -> Leadership | None:
        """Write a leadership if the row is as it was read.

        :returns: who holds the row now; None: the table service does not tell.
        """
        put = Put(
            key=ROW_KEY,
            value=leadership.to_value(self._renewal),
            expected_version=self._version,
        )
        result = await _bounded(self._table.transact([put]))
        match result:
            case Success(committed):
                self._version = committed.versions_by_key.get(ROW_KEY, 0)
                return leadership
            case Failure(Conflict() as conflict):
                row = conflict.rows_by_key.get(ROW_KEY)
                if row is None:
                    return None
                self._note(row)
                return Leadership.from_value(row.value)
        # The answer was lost, and the claim may have been written: read it.
        view = await self.read()
        return view.leadership

    async def renew(self, leadership: Leadership) -> Leadership | None:
        """Write the row again; as :meth:`claim`, unless a later leader wrote it."""
        self._renewal += 1
        holder = await self.claim(leadership)
        if holder is None or holder == leadership:
            return holder
        if holder.token < leadership.token:
            # Claimed without the table service, or the row is an earlier life's.
            return await self.claim(leadership)
        return holder

    def _note(self, row: Row) -> RowView:
        now = time.monotonic()
        leadership = Leadership.from_value(row.value)
        if leadership is None:
            self._malformed.log(
                Event.ENTRY_MALFORMED,
                key=ROW_KEY,
                version=row.version,
                size=len(row.value),
            )
        if row.version != self._version:
            self._renewed = self._version != ABSENT_VERSION
            self._version = row.version
            self._seen_at = now
        if now - self._seen_at >= STALE_S:
            state = RowState.STALE
        elif self._renewed:
            state = RowState.RENEWED
        else:
            state = RowState.YOUNG
        return RowView(state=state, leadership=leadership)


async def _bounded(
    call: Awaitable[ReplyT], timeout_s: float = CALL_TIMEOUT_S
) -> ReplyT | None:
    """Return the result of a call, or None if it takes too long."""
    try:
        async with asyncio.timeout(timeout_s):
            return await call
    except TimeoutError:
        return None
