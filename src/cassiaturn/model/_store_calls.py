"""What a process asks of the store, with every answer that it can get."""

from collections.abc import Iterator

from cassiaturn.model._fakes import FakeStore, Reply
from cassiaturn.model._process import Process
from cassiaturn.recovery import TakeoverRow


def write_claims(process: Process, store: FakeStore, now: float) -> None:
    """Write the next claims, and read again those whose answer was lost."""
    ledger = process.ledger
    batch = ledger.next_batch(now)
    if batch is not None:
        match store.insert_claims(batch):
            case Reply.DONE:
                ledger.committed(batch)
            case Reply.CONFLICT:
                ledger.conflicted(batch, store.found(batch))
            case Reply.LOST:
                ledger.answer_lost(batch, now)
    lost = ledger.next_reread(now)
    if lost is not None:
        rows_by_id = store.claims_of(lost)
        if rows_by_id is None:
            ledger.answer_lost(lost, now)
        else:
            ledger.reread(lost, rows_by_id)
    process.take_claims(now)


def insert_takeovers(process: Process, store: FakeStore) -> Iterator[TakeoverRow]:
    """Insert the takeover rows that are due; yield those that stand."""
    for row in process.takeovers.rows_due():
        stands = store.insert_takeover(row)
        if stands is None:
            process.takeovers.insert_unanswered(row.dead)
            continue
        process.takeovers.row_confirmed(stands)
        yield stands
