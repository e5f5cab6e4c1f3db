"""Claims of ids that callers choose, against a store that loses answers."""

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

ME = "osu-1~18c0000000011223344"
OTHER = "osu-2~18c0000000055667788"


class Fate(Enum):
    ANSWERED = 0
    LOST_AFTER = 1
    LOST_BEFORE = 2
    DELAYED = 3


class Store:
    """Inserts rows all or none; an answer may be lost, an effect be late."""

    def __init__(self) -> None:
        self.rows_by_id: dict[str, ClaimRow] = {}
        self.delayed: list[ClaimBatch] = []

    def insert(self, batch: ClaimBatch) -> bool:
        if any(row.submission_id in self.rows_by_id for row in batch.rows):
            return False
        self.rows_by_id.update({row.submission_id: row for row in batch.rows})
        return True

    def found(self, batch: ClaimBatch) -> dict[str, ClaimRow]:
        ids = [row.submission_id for row in batch.rows]
        return {one: self.rows_by_id[one] for one in ids if one in self.rows_by_id}


def ledger(incarnation: str = ME, *, seed: int = 1, max_rows: int = 8) -> ClaimLedger:
    rng = random.Random(seed)
    plenty = StoreSettings(
        writes_per_s=1e6, write_burst=10**6, reads_per_s=1e6, read_burst=10**6
    )
    return ClaimLedger(
        incarnation=incarnation,
        settings=ClaimSettings(max_rows=max_rows, give_up_s=2.0),
        budget=StoreBudget(settings=plenty, rng=rng),
        rng=rng,
    )


def write(claims: ClaimLedger, store: Store, fate: Fate, now: float) -> None:
    batch = claims.next_batch(now)
    if batch is None:
        return
    if fate is Fate.DELAYED:
        store.delayed.append(batch)
    written = fate in (Fate.ANSWERED, Fate.LOST_AFTER) and store.insert(batch)
    if fate is not Fate.ANSWERED:
        claims.answer_lost(batch, now)
        reread = claims.next_reread(now)
        if reread is not None:
            claims.reread(reread, store.found(reread))
    elif written:
        claims.committed(batch)
    else:
        claims.conflicted(batch, store.found(batch))


def test_claims_that_wait_share_a_write() -> None:
    claims = ledger()
    assert claims.request("a", 0.0) is None
    first = claims.next_batch(0.0)
    assert first is not None
    for submission_id in ("b", "c", "a"):
        claims.request(submission_id, 0.0)

    assert claims.next_batch(0.0) is None
    claims.committed(first)
    second = claims.next_batch(0.0)

    assert second is not None
    assert [row.submission_id for row in second.rows] == ["b", "c"]
    assert claims.resolved() == [ClaimGranted(submission_id="a")]


def test_one_taken_id_does_not_hold_up_the_rest() -> None:
    store = Store()
    theirs = ClaimRow(submission_id="b", home=OTHER, token="x")
    store.rows_by_id["b"] = theirs
    claims = ledger()
    for submission_id in ("a", "b", "c"):
        claims.request(submission_id, 0.0)

    write(claims, store, Fate.ANSWERED, 0.0)
    assert claims.request("b", 0.0) == ClaimTaken(submission_id="b", home=OTHER)
    write(claims, store, Fate.ANSWERED, 0.0)

    assert claims.request("a", 0.0) == ClaimGranted(submission_id="a")
    assert claims.request("c", 0.0) == ClaimGranted(submission_id="c")


@pytest.mark.parametrize("fate", [Fate.LOST_AFTER, Fate.LOST_BEFORE, Fate.DELAYED])
def test_a_lost_answer_is_settled_by_the_token(fate: Fate) -> None:
    """
    The store loses the answer to a claim: the write took effect, did not, or does
    so only after it was read again. Each time the caller's job is claimed once and
    is known to be ours.
    """
    store = Store()
    claims = ledger()
    claims.request("a", 0.0)
    write(claims, store, fate, 0.0)
    for batch in store.delayed:
        store.insert(batch)
    write(claims, store, Fate.ANSWERED, 0.1)

    assert claims.resolved() == [ClaimGranted(submission_id="a")]
    assert store.rows_by_id["a"].home == ME


def test_an_earlier_claim_of_ours_is_not_a_new_one() -> None:
    """
    We claimed an id, ran it and forgot its record; the caller submits it again.
    The row names us, yet running it again would double the order.
    """
    store = Store()
    claims = ledger()
    claims.request("a", 0.0)
    write(claims, store, Fate.ANSWERED, 0.0)
    assert claims.request("a", 0.0) == ClaimGranted(submission_id="a")

    claims.request("a", 500.0)
    write(claims, store, Fate.LOST_AFTER, 500.0)

    assert claims.resolved() == [ClaimTaken(submission_id="a", home=ME)]


def test_a_store_outage_ends_the_wait() -> None:
    """
    The store is down. Callers are told within the set time that nobody can say,
    and not that the job did not run: the write may still take effect. When it
    did, a resubmission finds the claim to be ours and runs the job.
    """
    store = Store()
    claims = ledger()
    claims.request("a", 0.0)
    batch = claims.next_batch(0.0)
    assert batch is not None
    claims.answer_lost(batch, 0.5)
    assert claims.resolved() == []

    assert claims.next_reread(2.0) is not None
    assert claims.resolved() == [ClaimUndetermined(submission_id="a")]
    store.insert(batch)
    claims.reread(batch, {})
    claims.request("a", 3.0)
    write(claims, store, Fate.ANSWERED, 3.0)

    assert claims.resolved() == [ClaimGranted(submission_id="a")]


def test_a_claim_that_would_be_given_up_is_not_kept_waiting() -> None:
    """
    Own ids arrive faster than the instance's share of the store can claim them.
    Those that would wait past the limit are told at once that nobody can say.
    """
    rng = random.Random(1)
    settings = StoreSettings(writes_per_s=1.0, write_burst=1)
    claims = ClaimLedger(
        incarnation=ME,
        settings=ClaimSettings(max_rows=4, give_up_s=2.0),
        budget=StoreBudget(settings=settings, rng=rng),
        rng=rng,
    )
    told = [claims.request(f"order-{number}", 0.0) for number in range(20)]

    assert told[:12] == [None] * 12
    assert all(isinstance(one, ClaimUndetermined) for one in told[12:])


def test_one_claim_probes_a_store_that_is_down() -> None:
    rng = random.Random(1)
    budget = StoreBudget(settings=StoreSettings(), rng=rng)
    claims = ClaimLedger(
        incarnation=ME, settings=ClaimSettings(), budget=budget, rng=rng
    )
    for _ in range(5):
        budget.failed(0.0)

    assert claims.request("a", 0.0) is None
    assert claims.request("b", 0.0) == ClaimUndetermined(submission_id="b")
    batch = claims.next_batch(1.0)
    assert batch is not None
    claims.committed(batch)
    budget.succeeded(1.0)
    assert claims.request("b", 1.0) is None


def test_an_answer_to_another_batch_stops_the_process() -> None:
    claims = ledger()
    claims.request("a", 0.0)
    batch = claims.next_batch(0.0)
    assert batch is not None
    claims.committed(batch)

    with pytest.raises(InvariantError):
        claims.committed(batch)


@given(
    fates=st.lists(st.tuples(st.booleans(), st.sampled_from(Fate)), max_size=30),
    ids=st.lists(st.sampled_from("abcde"), max_size=12),
)
def test_no_id_is_claimed_by_two(
    fates: Sequence[tuple[bool, Fate]], ids: Sequence[str]
) -> None:
    store = Store()
    ledgers = [ledger(ME, seed=1, max_rows=3), ledger(OTHER, seed=2, max_rows=3)]
    mine: list[str] = []
    for number, (second, fate) in enumerate(fates):
        claims = ledgers[second]
        if number < len(ids):
            take(mine, [claims.request(ids[number], 0.0)])
        write(claims, store, fate, 0.0)
        if store.delayed and number % 3 == 0:
            store.insert(store.delayed.pop())
        take(mine, claims.resolved())

    assert len(mine) == len(set(mine))


def take(mine: list[str], resolutions: Sequence[ClaimResolution | None]) -> None:
    mine.extend(
        one.submission_id for one in resolutions if isinstance(one, ClaimGranted)
    )
