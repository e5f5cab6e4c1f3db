"""Estimates how long a sender's messages stay unread before they are processed.

Load pattern: a leader whose process is saturated reads submissions seconds after they
were sent. If it treats them as new, jobs whose callers have already waited that long go
before others that could still be in time, and all of them are late.

Grounds: the clocks of two hosts share no origin, only their rate. The difference
between receive time and send time is smallest for a message that did not wait. The
excess over the smallest difference of the last seconds is therefore the wait.
"""

WINDOW_S = 2.0
"""Length of the window over which a minimum is kept, in seconds. A minimum counts for
at most two windows: a host that was suspended has a different clock offset afterwards.
"""

MAX_DELAY_S = 5.0
"""Longest delay that is reported, in seconds."""


class TransitDelay:
    """Learns from the messages of one sender how long each stayed unread."""

    def __init__(self) -> None:
        """Start without observations."""
        self._min_s = float("inf")
        self._previous_min_s = float("inf")
        self._window_ends_at = float("-inf")

    def observe(self, sent_s: float, now: float) -> float:
        """Add a message and return how long it stayed unread, in seconds.

        :param sent_s: when it was sent, by its sender's clock, in seconds.
        :param now: current time by the receiver's clock, in seconds.
        """
        difference_s = now - sent_s
        if now >= self._window_ends_at:
            is_old = now >= self._window_ends_at + WINDOW_S
            self._previous_min_s = float("inf") if is_old else self._min_s
            self._min_s = difference_s
            self._window_ends_at = now + WINDOW_S
        self._min_s = min(self._min_s, difference_s)
        return min(difference_s - min(self._min_s, self._previous_min_s), MAX_DELAY_S)
