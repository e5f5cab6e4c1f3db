"""Rate limits, backoff and circuit breaker of the store budget."""

import random

import pytest

from cassiaturn.submission import StoreBudget, StoreSettings, StoreState

SETTINGS = StoreSettings(
    writes_per_s=2.0,
    write_burst=3,
    reads_per_s=10.0,
    read_burst=5,
    backoff_first_s=0.1,
    backoff_max_s=1.0,
    open_after_failures=3,
)


def make_budget(seed: int = 1) -> StoreBudget:
    return StoreBudget(settings=SETTINGS, rng=random.Random(seed))


def states_of(*budgets: StoreBudget) -> list[StoreState]:
    return [one.state for one in budgets]


@pytest.mark.parametrize(
    ("operation", "rate", "burst"), [("may_write", 2.0, 3), ("may_read", 10.0, 5)]
)
def test_operations_stay_within_rate_and_burst(
    operation: str, rate: float, burst: int
) -> None:
    budget = make_budget()
    seconds = 20
    allowed = sum(
        getattr(budget, operation)(tick / 100) for tick in range(seconds * 100)
    )

    assert allowed == pytest.approx(rate * seconds + burst, abs=1)


def test_store_is_probed_rarely_in_an_outage() -> None:
    """
    The store is down for a minute. Operations are refused at once, one probe at a
    time is sent, and the first probe that succeeds closes the circuit breaker.
    """
    budget = make_budget()
    probes = []
    for tick in range(6000):
        now = tick / 100
        if budget.may_read(now):
            probes.append(now)
            budget.failed(now)
    assert states_of(budget) == [StoreState.OPEN]
    assert len(probes) < 60 / SETTINGS.backoff_max_s * 4

    assert budget.may_read(70.0)
    assert states_of(budget) == [StoreState.HALF_OPEN]
    assert not budget.may_read(70.0)
    budget.succeeded(70.0)
    assert states_of(budget) == [StoreState.CLOSED]
    assert budget.may_read(70.0)


def test_first_retries_of_instances_are_spread() -> None:
    """300 instances that see the store fail at once must not retry together."""
    first_tries = set()
    for seed in range(300):
        budget = make_budget(seed)
        for _ in range(10):
            budget.failed(0.0)
        tick = next(tick for tick in range(101) if budget.may_write(tick / 100))
        first_tries.add(tick)

    assert len(first_tries) > 80


def test_unreported_probe_does_not_block_the_store() -> None:
    """
    The caller of a probe is cancelled and never reports its end. Without a time
    limit the probe would block the store for good, and every claim would be
    undetermined.
    """
    budget = make_budget()
    budget.failed(0.0)
    assert budget.may_read(10.0)

    assert not budget.may_read(10.5)
    assert budget.may_read(12.0)
