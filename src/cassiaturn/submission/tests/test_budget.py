"""The store is used within its rate, and left alone while it is down."""

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


def budget(seed: int = 1) -> StoreBudget:
    return StoreBudget(settings=SETTINGS, rng=random.Random(seed))


def states_of(*budgets: StoreBudget) -> list[StoreState]:
    return [one.state for one in budgets]


@pytest.mark.parametrize(
    ("operation", "rate", "burst"), [("may_write", 2.0, 3), ("may_read", 10.0, 5)]
)
def test_the_rate_holds_whatever_is_asked(
    operation: str, rate: float, burst: int
) -> None:
    asked = budget()
    seconds = 20
    allowed = sum(
        getattr(asked, operation)(tick / 100) for tick in range(seconds * 100)
    )

    assert allowed == pytest.approx(rate * seconds + burst, abs=1)


def test_an_outage_is_probed_ever_more_rarely() -> None:
    """
    The store is down for a minute. Callers are told at once that it is, one probe
    at a time goes out, and when it is back the next probe frees everything.
    """
    asked = budget()
    probes = []
    for tick in range(6000):
        now = tick / 100
        if asked.may_read(now):
            probes.append(now)
            asked.failed(now)
    assert states_of(asked) == [StoreState.OPEN]
    assert len(probes) < 60 / SETTINGS.backoff_max_s * 4

    assert asked.may_read(70.0)
    assert states_of(asked) == [StoreState.HALF_OPEN]
    assert not asked.may_read(70.0)
    asked.succeeded(70.0)
    assert states_of(asked) == [StoreState.CLOSED]
    assert asked.may_read(70.0)


def test_instances_do_not_return_together() -> None:
    """Three hundred instances see the store fail at the same moment."""
    first_tries = set()
    for seed in range(300):
        asked = budget(seed)
        for _ in range(10):
            asked.failed(0.0)
        tick = next(tick for tick in range(101) if asked.may_write(tick / 100))
        first_tries.add(tick)

    assert len(first_tries) > 80


def test_a_probe_without_an_end_does_not_block_for_good() -> None:
    """
    A probe's caller is cancelled and reports nothing. Without a limit the store
    would count as probed for ever, and every claim would be undetermined.
    """
    asked = budget()
    asked.failed(0.0)
    assert asked.may_read(10.0)

    assert not asked.may_read(10.5)
    assert asked.may_read(12.0)
