"""Tests of the processor time of this process."""

import time

import pytest

from cassiaturn.fleet._cpu_clock import cpu_time_s


def test_a_sleep_takes_no_processor_time_where_the_clock_is_virtual(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an idle leader that counts as saturated on some hosts.

    There, the clock of a process advances with elapsed time, also in a sleep.
    """
    monkeypatch.setattr(time, "process_time", time.monotonic)
    monkeypatch.setattr(time, "process_time_ns", time.monotonic_ns)
    monkeypatch.setattr(time, "clock_gettime", lambda clock: time.monotonic())
    before_s = cpu_time_s()
    time.sleep(0.5)
    assert cpu_time_s() - before_s < 0.25
