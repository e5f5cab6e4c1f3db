"""Detection of a leader whose processor is full."""

import pytest

from cassiaturn.sharing import SAMPLE_PERIOD_S, CpuLoad, is_cpu_full


@pytest.mark.parametrize(
    ("samples", "late_s", "busy_share", "expected"),
    [
        (20, 0.0, 0.8, True),
        (20, 0.0, 0.5, False),
        (20, 0.05, 0.0, True),  # its host gives the process a part of the time only
        (20, 0.02, 0.0, False),
        (1, 60.0, 0.0, False),  # a pause
    ],
)
def test_late_or_busy_process_counts_as_full(
    samples: int, late_s: float, busy_share: float, expected: bool
) -> None:
    """Guards against a leader that goes on although all of its orders are late."""
    load = CpuLoad()
    elapsed_s = SAMPLE_PERIOD_S + late_s
    for _ in range(samples):
        load.observe(late_s=late_s, busy_s=busy_share * elapsed_s, elapsed_s=elapsed_s)
    assert is_cpu_full(busy_share=load.busy_share, late_s=load.late_s) is expected
