"""Detection of spare processor time from event loop timers."""

import pytest

from cassiaturn.sharing import CpuHeadroom
from cassiaturn.sharing._cpu_headroom import LATE_S, MIN_PUNCTUAL_TIMERS


@pytest.mark.parametrize(
    ("late_s", "is_available"),
    [
        ([0.001] * MIN_PUNCTUAL_TIMERS, True),
        ([0.001] * (MIN_PUNCTUAL_TIMERS - 1), False),
        ([0.001] * MIN_PUNCTUAL_TIMERS + [LATE_S], False),
        ([0.06] + [0.001] * MIN_PUNCTUAL_TIMERS, True),
        ([], False),
    ],
)
def test_headroom_is_available_after_one_second_of_punctual_timers(
    late_s: list[float], is_available: bool
) -> None:
    """Otherwise a busy leader after an outage spends its time on confirmations."""
    headroom = CpuHeadroom()
    for late in late_s:
        headroom.observe(late, 0.1)
    assert headroom.is_available is is_available


def test_burst_removes_headroom_before_timers_are_late() -> None:
    """By late timers alone, a burst is noticed after callers were late for a second."""
    headroom = CpuHeadroom()
    for _ in range(MIN_PUNCTUAL_TIMERS):
        headroom.observe(0.0, 0.3)
    assert headroom.is_available
    for _ in range(4):
        headroom.observe(0.001, 0.7)
    assert not headroom.is_available
