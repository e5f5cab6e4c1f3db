"""Writes claims of caller-chosen submission ids to the table service in batches."""

import asyncio
import random
import time
from collections.abc import Iterable, Sequence
from dataclasses import replace
from enum import Enum, auto

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Success

from cassiaturn.observability import Event, log_event
from cassiaturn.services import Conflict, Delete, Put, Row, TableService
from cassiaturn.submission import (
    CLAIM_PREFIX,
    ClaimBatch,
    ClaimLedger,
    ClaimResolution,
    ClaimRow,
    ClaimUndetermined,
    StoreBudget,
    claim_key,
)

WAIT_S = 0.01
"""Pause while the store budget or a backoff allows no operation, in seconds."""

SWEEP_S = 60.0
"""Mean time between page reads of the scan for expired claims, in seconds; 350
instances make 6 reads a second."""

PAGE_ROWS = 200
"""Rows per page of the scan for expired claims."""

ABSENT = 0
"""Expected version of a row that must not exist yet."""

_ROWS = TypeAdapter(ClaimRow)


class NoClaimReason(Enum):
    """Why no home is known for a caller-chosen id."""

    ABSENT = auto()
    """The table holds no claim of the id."""

    UNKNOWN = auto()
    """The table did not answer, or the budget allows no read now."""


class ClaimWriter:
    """Executes the operations of the claim ledger on the table service."""

    def __init__(
        self,
        *,
        ledger: ClaimLedger,
        budget: StoreBudget,
        table: TableService | None,
        retention_ms: int,
        rng: random.Random,
    ) -> None:
        """Create the writer of one instance.

        :param table: None if the settings name no table service; caller-chosen
            ids cannot be claimed then.
        :param retention_ms: how long a claim row is kept, in milliseconds.
        :param rng: source of the jitter.
        """
        self._ledger = ledger
        self._budget = budget
        self._table = table
        self._retention_ms = retention_ms
        self._rng = rng
        self._futures_by_id: dict[str, asyncio.Future[ClaimResolution]] = {}
        self._wake = asyncio.Event()

    async def claim(self, submission_id: str) -> ClaimResolution:
        """Return the owner of an id, claiming the id if it has none."""
        if self._table is None:
            return ClaimUndetermined(submission_id=submission_id)
        future = self._futures_by_id.get(submission_id)
        if future is None:
            resolution = self._ledger.request(submission_id, time.monotonic())
            if resolution is not None:
                return resolution
            future = asyncio.get_running_loop().create_future()
            self._futures_by_id[submission_id] = future
            self._wake.set()
        # A caller that hangs up must not cancel the claim for other waiting callers.
        return await asyncio.shield(future)

    async def delete_old(self) -> None:
        """Delete expired claims page by page until cancelled.

        Every instance deletes the rows of any home, because a home that is gone
        cannot delete its own. A row is deleted only in the version that was read,
        so if two instances process the same page, one of them gets a conflict and
        goes on.
        """
        after = ""
        while self._table is not None:
            await asyncio.sleep(SWEEP_S * self._rng.uniform(0.5, 1.5))
            rows = await self._read_page(self._table, after)
            after = rows[-1].key if len(rows) == PAGE_ROWS else ""
            oldest_ms = wall_ms() - self._retention_ms
            old = [
                Delete(key=row.key, expected_version=row.version)
                for row in rows
                if _is_older(row, oldest_ms)
            ]
            if old and self._budget.may_write(time.monotonic()):
                await self._table.transact(old)

    async def _read_page(self, table: TableService, after: str) -> Sequence[Row]:
        if not self._budget.may_read(time.monotonic()):
            return ()
        match await table.scan(CLAIM_PREFIX, PAGE_ROWS, after=after):
            case Success(rows):
                self._budget.succeeded(time.monotonic())
                return tuple(rows)
            case _:
                self._budget.failed(time.monotonic())
                return ()

    async def find_home(self, submission_id: str) -> str | NoClaimReason:
        """Return the home in the claim row of an id, or why none is known."""
        if self._table is None or not self._budget.may_read(time.monotonic()):
            return NoClaimReason.UNKNOWN
        key = claim_key(submission_id)
        match await self._table.read([key]):
            case Success(rows):
                self._budget.succeeded(time.monotonic())
                claims = claims_of(rows.values())
                found = claims.get(submission_id)
                return found.home if found else NoClaimReason.ABSENT
            case _:
                self._budget.failed(time.monotonic())
                return NoClaimReason.UNKNOWN

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            if not self._ledger.waiting:
                self._wake.clear()
                await self._wake.wait()
            now = time.monotonic()
            batch = self._ledger.next_batch(now)
            if batch is not None:
                await self._write(batch)
            elif (lost := self._ledger.next_reread(now)) is not None:
                await self._reread(lost)
            else:
                await asyncio.sleep(WAIT_S)
            self._resolve_futures()

    def _resolve_futures(self) -> None:
        for resolution in self._ledger.resolved():
            if isinstance(resolution, ClaimUndetermined):
                log_event(
                    Event.CLAIM_UNDETERMINED, submission_id=resolution.submission_id
                )
            future = self._futures_by_id.pop(resolution.submission_id, None)
            if future is not None and not future.done():
                future.set_result(resolution)

    async def _write(self, batch: ClaimBatch) -> None:
        assert self._table is not None
        puts = [
            Put(
                key=row.key,
                value=_ROWS.dump_json(replace(row, claimed_ms=wall_ms())).decode(),
                expected_version=ABSENT,
            )
            for row in batch.rows
        ]
        result = await self._table.transact(puts)
        now = time.monotonic()
        match result:
            case Success(_):
                self._budget.succeeded(now)
                self._ledger.committed(batch)
            case Failure(Conflict(rows_by_key=rows_by_key)):
                self._budget.succeeded(now)
                self._ledger.conflicted(batch, claims_of(rows_by_key.values()))
            case Failure(_):
                # The rows may have been written whatever the error says. Treating
                # them as not written could leave a claim that nobody owns.
                self._budget.failed(now)
                self._ledger.answer_lost(batch, now)

    async def _reread(self, batch: ClaimBatch) -> None:
        assert self._table is not None
        result = await self._table.read([row.key for row in batch.rows])
        now = time.monotonic()
        match result:
            case Success(rows_by_key):
                self._budget.succeeded(now)
                self._ledger.reread(batch, claims_of(rows_by_key.values()))
            case _:
                self._budget.failed(now)
                self._ledger.answer_lost(batch, now)


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


def _is_older(row: Row, oldest_ms: int) -> bool:
    claims = claims_of([row])
    return any(0 < claim.claimed_ms < oldest_ms for claim in claims.values())


def claims_of(rows: Iterable[Row]) -> dict[str, ClaimRow]:
    """Return the claims in table rows, by submission id.

    Rows that cannot be parsed are left out, so their ids stay undetermined.
    """
    claims: dict[str, ClaimRow] = {}
    for row in rows:
        try:
            claim = _ROWS.validate_json(row.value)
        except ValidationError:
            continue
        claims[claim.submission_id] = claim
    return claims
