"""Claims of caller-chosen ids, with a store that loses answers."""

import random
from collections.abc import Sequence
from enum import Enum

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiaturn.submission import (
    ClaimBatch,
    ClaimGranted,
    ClaimLedger,
    ClaimResolution,
    ClaimRow,
    ClaimSettings,
    ClaimTaken,
    ClaimUndetermined,
    InvariantError,
    StoreBudget,
    StoreSettings,
)

HOME = "osu-1~18c0000000011223344"
OTHER_HOME = "osu-2~18c0000000055667788"


class WriteResult(Enum):
    ANSWERED = 0
    LOST_AFTER = 1
    LOST_BEFORE = 2
    DELAYED = 3


class Store:
    """Inserts all rows of a batch or none; keeps batches that take effect late."""

    def __init__(self) -> None:
        self.rows_by_id: dict[str, ClaimRow] = {}
        self.delayed: list[ClaimBatch] = []

    def insert(self, batch: ClaimBatch) -> bool:
        if any(row.submission_id in self.rows_by_id for row in batch.rows):
            return False
        self.rows_by_id.update({row.submission_id: row for row in batch.rows})
        return True

    def find(self, batch: ClaimBatch) -> dict[str, ClaimRow]:
        ids = [row.submission_id for row in batch.rows]
        return {one: self.rows_by_id[one] for one in ids if one in self.rows_by_id}


def make_ledger(
    incarnation: str = HOME, *, seed: int = 1, max_rows: int = 8
) -> ClaimLedger:
    rng = random.Random(seed)
    unlimited = StoreSettings(
        writes_per_s=1e6, write_burst=10**6, reads_per_s=1e6, read_burst=10**6
    )
    return ClaimLedger(
        incarnation=incarnation,
        settings=ClaimSettings(max_rows=max_rows, give_up_s=2.0),
        budget=StoreBudget(settings=unlimited, rng=rng),
        rng=rng,
    )


def write_batch(
    ledger: ClaimLedger, store: Store, result: WriteResult, now: float
) -> None:
    batch = ledger.next_batch(now)
    if batch is None:
        return
    if result is WriteResult.DELAYED:
        store.delayed.append(batch)
    written = result in (WriteResult.ANSWERED, WriteResult.LOST_AFTER) and store.insert(
        batch
    )
    if result is not WriteResult.ANSWERED:
        ledger.answer_lost(batch, now)
        reread = ledger.next_reread(now)
        if reread is not None:
            ledger.reread(reread, store.find(reread))
    elif written:
        ledger.committed(batch)
    else:
        ledger.conflicted(batch, store.find(batch))


def test_waiting_claims_share_one_write() -> None:
    ledger = make_ledger()
    assert ledger.request("a", 0.0) is None
    first = ledger.next_batch(0.0)
    assert first is not None
    for submission_id in ("b", "c", "a"):
        ledger.request(submission_id, 0.0)

    assert ledger.next_batch(0.0) is None
    ledger.committed(first)
    second = ledger.next_batch(0.0)

    assert second is not None
    assert [row.submission_id for row in second.rows] == ["b", "c"]
    assert ledger.resolved() == [ClaimGranted(submission_id="a")]


def test_taken_id_does_not_delay_other_claims() -> None:
    """One taken id makes the store reject the batch; the other claims are retried."""
    store = Store()
    taken_row = ClaimRow(submission_id="b", home=OTHER_HOME, token="x")
    store.rows_by_id["b"] = taken_row
    ledger = make_ledger()
    for submission_id in ("a", "b", "c"):
        ledger.request(submission_id, 0.0)

    write_batch(ledger, store, WriteResult.ANSWERED, 0.0)
    assert ledger.request("b", 0.0) == ClaimTaken(submission_id="b", home=OTHER_HOME)
    write_batch(ledger, store, WriteResult.ANSWERED, 0.0)

    assert ledger.request("a", 0.0) == ClaimGranted(submission_id="a")
    assert ledger.request("c", 0.0) == ClaimGranted(submission_id="c")


@pytest.mark.parametrize(
    "result", [WriteResult.LOST_AFTER, WriteResult.LOST_BEFORE, WriteResult.DELAYED]
)
def test_lost_answer_is_resolved_by_the_token(result: WriteResult) -> None:
    """
    The answer to a claim is lost: the write took effect, did not, or takes effect
    only after the rows were read again. In each case the id is claimed once, and
    the claim is recognised by its token.
    """
    store = Store()
    ledger = make_ledger()
    ledger.request("a", 0.0)
    write_batch(ledger, store, result, 0.0)
    for batch in store.delayed:
        store.insert(batch)
    write_batch(ledger, store, WriteResult.ANSWERED, 0.1)

    assert ledger.resolved() == [ClaimGranted(submission_id="a")]
    assert store.rows_by_id["a"].home == HOME


def test_earlier_claim_of_same_incarnation_is_not_granted() -> None:
    """
    An instance claimed an id, ran its job and removed the record; the caller submits
    it again. The claim row names this instance, but a second run would be a
    duplicate.
    """
    store = Store()
    ledger = make_ledger()
    ledger.request("a", 0.0)
    write_batch(ledger, store, WriteResult.ANSWERED, 0.0)
    assert ledger.request("a", 0.0) == ClaimGranted(submission_id="a")

    ledger.request("a", 500.0)
    write_batch(ledger, store, WriteResult.LOST_AFTER, 500.0)

    assert ledger.resolved() == [ClaimTaken(submission_id="a", home=HOME)]


def test_claim_is_undetermined_during_a_store_outage() -> None:
    """
    The store is down. Within the configured time the claim is undetermined, and not
    refused, since the write may still take effect. After it did, a resubmission is
    granted the claim by its token.
    """
    store = Store()
    ledger = make_ledger()
    ledger.request("a", 0.0)
    batch = ledger.next_batch(0.0)
    assert batch is not None
    ledger.answer_lost(batch, 0.5)
    assert ledger.resolved() == []

    assert ledger.next_reread(2.0) is not None
    assert ledger.resolved() == [ClaimUndetermined(submission_id="a")]
    store.insert(batch)
    ledger.reread(batch, {})
    ledger.request("a", 3.0)
    write_batch(ledger, store, WriteResult.ANSWERED, 3.0)

    assert ledger.resolved() == [ClaimGranted(submission_id="a")]


def test_claim_that_would_time_out_is_undetermined_at_once() -> None:
    """
    Ids arrive faster than the instance's share of the store can claim them. Claims
    that would wait past the limit are undetermined at once.
    """
    rng = random.Random(1)
    settings = StoreSettings(writes_per_s=1.0, write_burst=1)
    ledger = ClaimLedger(
        incarnation=HOME,
        settings=ClaimSettings(max_rows=4, give_up_s=2.0),
        budget=StoreBudget(settings=settings, rng=rng),
        rng=rng,
    )
    resolutions = [ledger.request(f"order-{number}", 0.0) for number in range(20)]

    assert resolutions[:12] == [None] * 12
    assert all(isinstance(one, ClaimUndetermined) for one in resolutions[12:])


def test_single_claim_probes_a_store_that_is_down() -> None:
    """Without a queued claim as the probe, the recovery would go unnoticed."""
    rng = random.Random(1)
    budget = StoreBudget(settings=StoreSettings(), rng=rng)
    ledger = ClaimLedger(
        incarnation=HOME, settings=ClaimSettings(), budget=budget, rng=rng
    )
    for _ in range(5):
        budget.failed(0.0)

    assert ledger.request("a", 0.0) is None
    assert ledger.request("b", 0.0) == ClaimUndetermined(submission_id="b")
    batch = ledger.next_batch(1.0)
    assert batch is not None
    ledger.committed(batch)
    budget.succeeded(1.0)
    assert ledger.request("b", 1.0) is None


def test_answer_to_a_finished_batch_raises() -> None:
    """A second report could grant a claim that was requested again since."""
    ledger = make_ledger()
    ledger.request("a", 0.0)
    batch = ledger.next_batch(0.0)
    assert batch is not None
    ledger.committed(batch)

    with pytest.raises(InvariantError):
        ledger.committed(batch)


@given(
    steps=st.lists(st.tuples(st.booleans(), st.sampled_from(WriteResult)), max_size=30),
    ids=st.lists(st.sampled_from("abcde"), max_size=12),
)
def test_id_is_granted_at_most_once(
    steps: Sequence[tuple[bool, WriteResult]], ids: Sequence[str]
) -> None:
    """Two instances claim the same ids while writes are lost or delayed."""
    store = Store()
    ledgers = [
        make_ledger(HOME, seed=1, max_rows=3),
        make_ledger(OTHER_HOME, seed=2, max_rows=3),
    ]
    granted: list[str] = []
    for number, (second, result) in enumerate(steps):
        ledger = ledgers[second]
        if number < len(ids):
            add_granted(granted, [ledger.request(ids[number], 0.0)])
        write_batch(ledger, store, result, 0.0)
        if store.delayed and number % 3 == 0:
            store.insert(store.delayed.pop())
        add_granted(granted, ledger.resolved())

    assert len(granted) == len(set(granted))


def add_granted(
    granted: list[str], resolutions: Sequence[ClaimResolution | None]
) -> None:
    granted.extend(
        one.submission_id for one in resolutions if isinstance(one, ClaimGranted)
    )
