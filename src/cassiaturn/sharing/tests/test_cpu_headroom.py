"""Time to spare of a leader's process, as its timers tell it."""

import pytest

from cassiaturn.sharing import CpuHeadroom
from cassiaturn.sharing._cpu_headroom import CALM_TIMERS, LATE_S


@pytest.mark.parametrize(
    ("late_s", "is_available"),
    [
        ([0.001] * CALM_TIMERS, True),
        ([0.001] * (CALM_TIMERS - 1), False),
        ([0.001] * CALM_TIMERS + [LATE_S], False),
        ([0.06] + [0.001] * CALM_TIMERS, True),
        ([], False),
    ],
)
def test_there_is_time_after_a_second_of_timers_in_time(
    late_s: list[float], is_available: bool
) -> None:
    """A leader of the callers of an outage spent its time on confirmations."""
    spare_time = CpuHeadroom()
    for late in late_s:
        spare_time.observe(late, 0.1)
    assert spare_time.is_available is is_available


def test_a_burst_is_seen_before_timers_are_late() -> None:
    """Callers of a burst were late for a second before the leader had no time."""
    spare_time = CpuHeadroom()
    for _ in range(CALM_TIMERS):
        spare_time.observe(0.0, 0.3)
    assert spare_time.is_available
    for _ in range(4):
        spare_time.observe(0.001, 0.7)
    assert not spare_time.is_available
