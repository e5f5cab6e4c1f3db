"""Claims the ids that callers choose, in batches (group commit).

Load pattern: many thousand small jobs a second against a store that takes several
hundred writes a second for all its clients. One write for each job would admit only
a few hundred jobs a second. Here all waiting claims go into the next write, so the
number of writes per job falls as the load rises, and a claim that arrives at an idle
ledger is written at once.

Each attempt writes its own token. Without it, a lost answer could not be resolved:
the row that is found afterwards might be an earlier claim of the same incarnation,
whose tasks already ran.
"""

import random
from collections import OrderedDict
from collections.abc import Sequence
from typing import TypeVar

from cassiaturn.submission._budget import StoreBudget
from cassiaturn.submission._claim_rows import (
    BatchPhase,
    ClaimBatch,
    ClaimGranted,
    ClaimResolution,
    ClaimRow,
    ClaimTaken,
    ClaimUndetermined,
    RowsById,
)
from cassiaturn.submission._invariant import InvariantError
from cassiaturn.submission._settings import ClaimSettings

_TOKEN_BITS = 64
_Value = TypeVar("_Value")


class ClaimLedger:
    """Batches claims and resolves each of them; uses no clock and no network.

    Look into the submission table first: a submission with a record there needs no
    claim. Each resolution is returned once, by :meth:`request` or by
    :meth:`resolved`, whichever is called first.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        settings: ClaimSettings,
        budget: StoreBudget,
        rng: random.Random,
    ) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._budget = budget
        self._rng = rng
        self._requested_at_by_id: dict[str, float] = {}
        self._waiting_by_id: OrderedDict[str, None] = OrderedDict()
        self._tokens_by_id: OrderedDict[str, str] = OrderedDict()
        self._taken_by_id: OrderedDict[str, ClaimTaken] = OrderedDict()
        self._resolved_by_id: dict[str, ClaimResolution] = {}
        self._batch: ClaimBatch | None = None
        self._phase = BatchPhase.WRITING
        self._batch_number = 0

    @property
    def waiting(self) -> int:
        """Number of claims without a resolution."""
        return len(self._requested_at_by_id)

    def request(
        self, submission_id: str, now: float
    ) -> ClaimGranted | ClaimTaken | ClaimUndetermined | None:
        """Claim an id if nobody holds it yet.

        :param submission_id: an id that a caller chose.
        :param now: monotonic time, in seconds.
        :returns: the resolution, or None while it is pending.
        """
        resolution = self._resolved_by_id.pop(submission_id, None)
        if resolution is not None:
            return resolution
        taken = self._taken_by_id.get(submission_id)
        if taken is not None:
            return taken
        if submission_id not in self._requested_at_by_id:
            if self._would_time_out():
                return ClaimUndetermined(submission_id=submission_id)
            self._requested_at_by_id[submission_id] = now
            self._waiting_by_id[submission_id] = None
        return None

    def next_batch(self, now: float) -> ClaimBatch | None:
        """Return the claims to insert now, if the budget allows a write.

        One batch is in flight at a time, so that claims which arrive meanwhile share
        the next one. Report its end with :meth:`committed`, :meth:`conflicted` or
        :meth:`answer_lost`.

        :param now: monotonic time, in seconds.
        :returns: None if nothing is to be written now.
        """
        self._give_up(now)
        if self._batch is not None or not self._waiting_by_id:
            return None
        if not self._budget.may_write(now):
            return None
        rows: list[ClaimRow] = []
        while self._waiting_by_id and len(rows) < self._settings.max_rows:
            submission_id, _ = self._waiting_by_id.popitem(last=False)
            rows.append(self._row(submission_id))
        self._batch_number += 1
        self._batch = ClaimBatch(number=self._batch_number, rows=rows)
        self._phase = BatchPhase.WRITING
        return self._batch

    def committed(self, batch: ClaimBatch) -> None:
        """Report that the store inserted every row of a batch.

        :raises InvariantError: the batch is not in flight.
        """
        self._end(batch)
        for row in batch.rows:
            self._resolve_row(row, row)

    def conflicted(self, batch: ClaimBatch, owners_by_id: RowsById) -> None:
        """Report that the store inserted nothing because some rows exist already.

        :param owners_by_id: the rows that exist.
        :raises InvariantError: the batch is not in flight.
        """
        self._end(batch)
        self._resolve_batch(batch, owners_by_id)

    def answer_lost(self, batch: ClaimBatch, now: float) -> None:
        """Report that the store gave no answer; the insert may have happened.

        :param now: monotonic time, in seconds.
        :raises InvariantError: the batch is not in flight.
        """
        self._check_current(batch)
        self._phase = BatchPhase.REREAD_DUE
        self._give_up(now)

    def next_reread(self, now: float) -> ClaimBatch | None:
        """Return the batch whose rows are to be read again, if the budget allows.

        Report the end of the read with :meth:`reread`, or with :meth:`answer_lost`
        if the read failed too.

        :param now: monotonic time, in seconds.
        :returns: None if nothing is to be read now.
        """
        self._give_up(now)
        if self._batch is None or self._phase is not BatchPhase.REREAD_DUE:
            return None
        if not self._budget.may_read(now):
            return None
        self._phase = BatchPhase.REREADING
        return self._batch

    def reread(self, batch: ClaimBatch, rows_by_id: RowsById) -> None:
        """Resolve a batch whose answer was lost, by the rows that exist now.

        Ids without a row are written again with the same token: the first write may
        still take effect, and its row is then recognised by the token.

        :param rows_by_id: the rows that exist.
        :raises InvariantError: the batch is not in flight.
        """
        self._end(batch)
        self._resolve_batch(batch, rows_by_id)

    def resolved(self) -> Sequence[ClaimResolution]:
        """Return the resolutions that were not returned before."""
        resolutions = list(self._resolved_by_id.values())
        self._resolved_by_id.clear()
        return resolutions

    def _would_time_out(self) -> bool:
        """Return whether a claim requested now would be given up before its write.

        Such a claim is refused at once: queued, it would only make its caller wait
        and take the place of others. While the store is down, one claim is queued
        as the probe that notices its recovery.
        """
        if self._budget.is_down and self._requested_at_by_id:
            return True
        batches = len(self._requested_at_by_id) // self._settings.max_rows
        return self._budget.write_wait_s(batches) > self._settings.give_up_s

    def _row(self, submission_id: str) -> ClaimRow:
        token = self._tokens_by_id.get(submission_id)
        if token is None:
            token = f"{self._rng.getrandbits(_TOKEN_BITS):016x}"
            self._tokens_by_id[submission_id] = token
        return ClaimRow(
            submission_id=submission_id, home=self._incarnation, token=token
        )

    def _end(self, batch: ClaimBatch) -> None:
        self._check_current(batch)
        self._batch = None

    def _check_current(self, batch: ClaimBatch) -> None:
        if self._batch is None or self._batch.number != batch.number:
            raise InvariantError(f"claim batch {batch.number} is not in flight")

    def _resolve_batch(self, batch: ClaimBatch, rows_by_id: RowsById) -> None:
        for written in reversed(batch.rows):
            found = rows_by_id.get(written.submission_id)
            if found is not None:
                self._resolve_row(written, found)
            elif written.submission_id in self._requested_at_by_id:
                self._waiting_by_id[written.submission_id] = None
                self._waiting_by_id.move_to_end(written.submission_id, last=False)

    def _resolve_row(self, written: ClaimRow, found: ClaimRow) -> None:
        submission_id = written.submission_id
        if submission_id not in self._requested_at_by_id:
            return
        # The row may be from an earlier claim of this incarnation whose record was
        # removed. Only the token of this attempt proves that the id was never opened.
        if found.token == written.token:
            del self._tokens_by_id[submission_id]
            self._resolve(ClaimGranted(submission_id=submission_id))
            return
        self._tokens_by_id.pop(submission_id, None)
        taken = ClaimTaken(submission_id=submission_id, home=found.home)
        self._taken_by_id[submission_id] = taken
        self._evict_oldest(self._taken_by_id)
        self._resolve(taken)

    def _resolve(self, resolution: ClaimResolution) -> None:
        del self._requested_at_by_id[resolution.submission_id]
        self._resolved_by_id[resolution.submission_id] = resolution

    def _give_up(self, now: float) -> None:
        oldest = now - self._settings.give_up_s
        while self._requested_at_by_id:
            submission_id, requested_at = next(iter(self._requested_at_by_id.items()))
            if requested_at > oldest:
                return
            self._waiting_by_id.pop(submission_id, None)
            self._resolve(ClaimUndetermined(submission_id=submission_id))
            self._evict_oldest(self._tokens_by_id)

    def _evict_oldest(self, remembered_by_id: "OrderedDict[str, _Value]") -> None:
        while len(remembered_by_id) > self._settings.max_remembered:
            remembered_by_id.popitem(last=False)
