"""Detection of a leader whose processor is full."""

import pytest

from cassiaturn.sharing import SAMPLE_PERIOD_S, CpuLoad, is_cpu_full


def _is_full_after(
    samples: int, *, late_s: float = 0.0, busy_share: float = 0.0
) -> bool:
    load = CpuLoad()
    elapsed_s = SAMPLE_PERIOD_S + late_s
    for _ in range(samples):
        load.observe(late_s=late_s, busy_s=busy_share * elapsed_s, elapsed_s=elapsed_s)
    return is_cpu_full(busy_share=load.busy_share, late_s=load.late_s)


@pytest.mark.parametrize(("busy_share", "expected"), [(0.8, True), (0.5, False)])
def test_busy_process_counts_as_full(busy_share: float, expected: bool) -> None:
    """Guards against a weak leader of which all orders are late."""
    assert _is_full_after(20, busy_share=busy_share) is expected


@pytest.mark.parametrize(("late_s", "expected"), [(0.05, True), (0.02, False)])
def test_late_timers_count_as_full(late_s: float, expected: bool) -> None:
    """Guards against a leader whose host gives its process a part of the time only."""
    assert _is_full_after(20, late_s=late_s) is expected


def test_a_pause_of_the_process_does_not_count_as_full() -> None:
    """Guards against a change of leader after each suspension of its host."""
    assert not _is_full_after(1, late_s=60.0)
