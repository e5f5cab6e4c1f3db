"""Whether single answers of targets get lost at present.

Load pattern: a part of all orders to targets gets no answer, while the targets live
and work on. Each order waits for a timeout before it is sent again, and a request that
waits for ends hears of none: with three orders in twenty lost, three of four callers
are late.

Grounds: a target that leaves an order unanswered and answers the next one lives, so
what was lost was the answer. One cut off or dead answers none of them and says nothing
here, so that a cut costs no further requests.
"""

LOSSY_S = 2.0
"""How long answers count as being lost after one, in seconds: at one in twenty, some
ten requests a second lose the next within it."""


class Losses:
    """What a leader's links to targets have seen lost; share one."""

    __slots__ = ("_last_at",)

    def __init__(self) -> None:
        self._last_at = float("-inf")

    def note(self, now: float) -> None:
        """Take in that a target answered after it had left an order unanswered.

        :param now: time in seconds.
        """
        self._last_at = now

    def are_frequent(self, now: float) -> bool:
        """Return whether further answers are likely to be lost.

        :param now: time in seconds.
        """
        return now - self._last_at < LOSSY_S
