"""How long messages lay unread, told from when they were sent and read."""

import pytest

from cassiaturn.sharing import TransitDelay

OFFSET_S = 5_000.0
"""By how much the sender's clock is ahead, in seconds."""


def _observe(delay: TransitDelay, sent_at: float, wait_s: float) -> float:
    return delay.observe(sent_at + OFFSET_S, sent_at + wait_s)


def test_the_first_message_tells_nothing() -> None:
    assert _observe(TransitDelay(), 1.0, 3.0) == 0.0


def test_messages_that_lie_unread_are_told() -> None:
    """Jobs whose callers had waited for a second at a full leader counted as new."""
    delay = TransitDelay()
    for number in range(10):
        _observe(delay, number / 10, 0.001)
    assert _observe(delay, 1.0, 0.8) == pytest.approx(0.799)


def test_a_clock_that_stood_still_is_learnt_anew() -> None:
    """A host froze for a second, and all its later jobs counted as old."""
    delay = TransitDelay()
    _observe(delay, 0.0, 0.001)
    waits = [_observe(delay, number / 10, 1.001) for number in range(1, 60)]
    assert waits[0] == pytest.approx(1.0)
    assert waits[-1] == pytest.approx(0.0)


def test_a_sender_that_was_idle_is_learnt_anew() -> None:
    delay = TransitDelay()
    _observe(delay, 0.0, 0.001)
    assert _observe(delay, 60.0, 0.5) == 0.0
