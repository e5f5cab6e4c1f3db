"""Writes the claims of callers' own ids to the table service, in groups."""

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
"""Pause while the budget or a backoff allows no operation, in seconds."""

SWEEP_S = 60.0
"""Mean time between two pages of the search for old claims: 6 reads a second at
350 instances."""

PAGE_ROWS = 200
"""Rows of one page."""

ABSENT = 0
"""Expected version of a row that must not exist."""

_ROWS = TypeAdapter(ClaimRow)


class NoClaimReason(Enum):
    """Why no home is known for a caller's own id."""

    ABSENT = auto()
    """The table holds no claim of it."""

    UNKNOWN = auto()
    """The table did not answer, or may not be asked now."""


class ClaimWriter:
    """Runs the ledger of claims against the table service."""

    def __init__(
        self,
        *,
        ledger: ClaimLedger,
        budget: StoreBudget,
        table: TableService | None,
        retention_ms: int,
        rng: random.Random,
    ) -> None:
        """Write for one instance.

        :param table: None where the settings name no table service; no id of a
            caller's own can be claimed then.
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
        """Return whose an id is, claiming it if it is nobody's."""
        if self._table is None:
            return ClaimUndetermined(submission_id=submission_id)
        future = self._futures_by_id.get(submission_id)
        if future is None:
            resolution = self._ledger.want(submission_id, time.monotonic())
            if resolution is not None:
                return resolution
            future = asyncio.get_running_loop().create_future()
            self._futures_by_id[submission_id] = future
            self._wake.set()
        # A caller that hangs up must not cancel the claim for those who wait too.
        return await asyncio.shield(future)

    async def delete_old(self) -> None:
        """Delete claims that are past their retention, page by page, for ever.

        Rows of homes that are gone have nobody else to delete them. A row is
        deleted only in the version that was read, so of two instances that find
        the same page one is told of a conflict and goes on.
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
        """Return the home in the claim row of an id, or why there is none."""
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
                # Whatever the error says, the rows may have been written: a
                # refusal taken at its word could leave a claim that nobody owns.
                self._budget.failed(now)
                self._ledger.lost(batch, now)

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
                self._ledger.lost(batch, now)


def wall_ms() -> int:
    """Return the wall clock, in milliseconds."""
    return time.time_ns() // 1_000_000


def _is_older(row: Row, oldest_ms: int) -> bool:
    claims = claims_of([row])
    return any(0 < claim.claimed_ms < oldest_ms for claim in claims.values())


def claims_of(rows: Iterable[Row]) -> dict[str, ClaimRow]:
    """Return the claims in rows of the table, by submission id.

    A row that cannot be read is left out: its id stays undetermined.
    """
    claims: dict[str, ClaimRow] = {}
    for row in rows:
        try:
            claim = _ROWS.validate_json(row.value)
        except ValidationError:
            continue
        claims[claim.submission_id] = claim
    return claims
