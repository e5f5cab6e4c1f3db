"""Claims, renews and watches the leader's row in the table service."""

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
"""Key of the leader's row."""

ROW_RENEW_PERIOD_S = 0.5
"""Period at which a leader writes its row, in seconds: two writes a second, of the 600
that the table service can take, whatever the size of the fleet."""

ROW_STALE_S = 1.3
"""Time without a write after which the leader in the row counts as dead, in seconds:
two renewal periods plus one write at 60 times its usual 4 ms. When all other members
lose power, the last one cannot tell their loss from its own isolation by a network
partition, and refuses callers for this time."""

CALL_TIMEOUT_S = 0.7
"""Timeout of a call to the table service, in seconds. A call may take 50 times its
usual 4 ms. There is no leader while a member waits, so waiting longer is no better."""

QUICK_READ_TIMEOUT_S = 0.1
"""Timeout for reading the row where a member can do without it, in seconds: 25 times
the usual time. The leases granted by the lost leader run out in the meantime."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RowView:
    """The row as of its last read."""

    state: RowState
    """Whether its leader is still renewing it."""

    leadership: Leadership | None = None
    """The leadership in the row; None if there is none, or it is malformed."""


class LeaderRow:
    """One member's view of the row."""

    def __init__(self, *, table: TableService) -> None:
        self._table = table
        self._version = ABSENT_VERSION
        self._changed_at = 0.0
        self._renewed = False
        self._renewal = 0
        self._malformed = SeldomLog()

    def reset(self) -> None:
        """Discard what was observed of the row; called after the loss of a leader."""
        self._version = ABSENT_VERSION
        self._renewed = False

    async def read(self, timeout_s: float = CALL_TIMEOUT_S) -> RowView:
        """Read the row, and tell whether it has changed since the first observation.

        :param timeout_s: longest wait, in seconds.
        """
        result = await _call_with_timeout(self._table.read([ROW_KEY]), timeout_s)
        match result:
            case Success(rows_by_key):
                row = rows_by_key.get(ROW_KEY)
            case _:
                return RowView(state=RowState.UNREADABLE)
        if row is None:
            self._version = ABSENT_VERSION
            return RowView(state=RowState.ABSENT)
        return self._observe(row)

    async def claim(self, leadership: Leadership) -> Leadership | None:
        """Write a leadership, provided that the row is unchanged since it was read.

        :param leadership: the claim.
        :returns: the leadership that the row holds now; None if the table service does
            not tell.
        """
        put = Put(
            key=ROW_KEY,
            value=leadership.to_value(self._renewal),
            expected_version=self._version,
        )
        result = await _call_with_timeout(self._table.transact([put]))
        match result:
            case Success(committed):
                self._version = committed.versions_by_key.get(ROW_KEY, 0)
                return leadership
            case Failure(Conflict() as conflict):
                row = conflict.rows_by_key.get(ROW_KEY)
                if row is None:
                    return None
                self._observe(row)
                return Leadership.from_value(row.value)
        # The answer was lost and the claim may have been written, so read the row.
        view = await self.read()
        return view.leadership

    async def renew(self, leadership: Leadership) -> Leadership | None:
        """Write the row again, unless a later leader has written it.

        :param leadership: this member's.
        :returns: as :meth:`claim`.
        """
        self._renewal += 1
        holder = await self.claim(leadership)
        if holder is None or holder == leadership:
            return holder
        if holder.token < leadership.token:
            # This term was claimed without the table service, or the row is that of an
            # earlier incarnation of this member.
            return await self.claim(leadership)
        return holder

    def _observe(self, row: Row) -> RowView:
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
            self._changed_at = now
        if now - self._changed_at >= ROW_STALE_S:
            state = RowState.STALE
        elif self._renewed:
            state = RowState.RENEWED
        else:
            state = RowState.YOUNG
        return RowView(state=state, leadership=leadership)


async def _call_with_timeout(
    call: Awaitable[ReplyT], timeout_s: float = CALL_TIMEOUT_S
) -> ReplyT | None:
    """Return the result of a call, or None if it times out."""
    try:
        async with asyncio.timeout(timeout_s):
            return await call
    except TimeoutError:
        return None
