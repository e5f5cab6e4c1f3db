"""Estimate of how long messages stay unread, from their send and receive times."""

import pytest

from cassiaturn.sharing import TransitDelay

OFFSET_S = 5_000.0
"""By how much the sender's clock is ahead, in seconds."""


def _observe(delay: TransitDelay, sent_at: float, wait_s: float) -> float:
    return delay.observe(sent_at + OFFSET_S, sent_at + wait_s)


def test_first_message_has_no_delay() -> None:
    assert _observe(TransitDelay(), 1.0, 3.0) == 0.0


def test_delay_of_unread_message_is_reported() -> None:
    """Guards against treating jobs as new that stayed unread at a leader for 0.8 s."""
    delay = TransitDelay()
    for number in range(10):
        _observe(delay, number / 10, 0.001)
    assert _observe(delay, 1.0, 0.8) == pytest.approx(0.799)


def test_estimate_recovers_after_sender_clock_stood_still() -> None:
    """Guards against all jobs of a host counting as old after it froze for a second."""
    delay = TransitDelay()
    _observe(delay, 0.0, 0.001)
    waits = [_observe(delay, number / 10, 1.001) for number in range(1, 60)]
    assert waits[0] == pytest.approx(1.0)
    assert waits[-1] == pytest.approx(0.0)


def test_estimate_restarts_after_idle_sender() -> None:
    """Guards against comparing with a clock offset from before a long pause."""
    delay = TransitDelay()
    _observe(delay, 0.0, 0.001)
    assert _observe(delay, 60.0, 0.5) == 0.0
