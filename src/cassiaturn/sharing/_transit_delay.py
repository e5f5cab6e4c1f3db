"""How long messages of one sender lie unread before they are taken in.

Load pattern: a leader whose process is full reads submissions seconds after they were
sent. Taken for new, jobs whose callers have waited that long go before others that
could still be in time, and everybody is late.

Grounds: the clocks of two hosts have nothing in common but their rate. The difference
between the time of sending and that of reading is least for a message that did not
wait, so what it exceeds the least of the last seconds by is the wait.
"""

WINDOW_S = 2.0
"""How long a least difference counts, in seconds, twice that at the most: a host that
stood still has another one from then on."""

LONGEST_S = 5.0
"""Longest wait that is told, in seconds."""


class TransitDelay:
    """Learns from the messages of one sender how long each lay unread."""

    def __init__(self) -> None:
        """Know nothing."""
        self._least_s = float("inf")
        self._least_before_s = float("inf")
        self._window_ends_at = float("-inf")

    def observe(self, sent_s: float, now: float) -> float:
        """Take in a message, and return how long it lay unread, in seconds.

        :param sent_s: when it was sent, by its sender's clock, in seconds.
        :param now: time in seconds, by the receiver's.
        """
        difference_s = now - sent_s
        if now >= self._window_ends_at:
            is_old = now >= self._window_ends_at + WINDOW_S
            self._least_before_s = float("inf") if is_old else self._least_s
            self._least_s = difference_s
            self._window_ends_at = now + WINDOW_S
        self._least_s = min(self._least_s, difference_s)
        return min(difference_s - min(self._least_s, self._least_before_s), LONGEST_S)
