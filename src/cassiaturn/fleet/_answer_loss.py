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


USUAL_ANSWERS = 4.0
"""How many times the usual answer an order is waited for while answers get lost: of
those that come, one in a hundred takes longer."""

SHORTEST_WAIT_S = 0.012
"""Shortest such wait, in seconds: a turn of a leader's loop that starts a large job
takes half of it."""

FOLLOW = 0.1
"""Weight of one answer in the usual time: about the last ten count."""


class AnswerTimeEstimate:
    """How long a target takes to answer at once."""

    __slots__ = ("_mean_s",)

    def __init__(self) -> None:
        # Before the first answer: what a target of another region takes.
        self._mean_s = 0.02

    def observe(self, answer_s: float) -> None:
        """Take in how long an answer took that was not waited for, in seconds."""
        self._mean_s += FOLLOW * (answer_s - self._mean_s)

    def timeout_s(self, longest_s: float) -> float:
        """Return how long an answer is waited for while others get lost, in seconds.

        :param longest_s: how long it would be waited for otherwise, in seconds.
        """
        return min(longest_s, max(SHORTEST_WAIT_S, USUAL_ANSWERS * self._mean_s))


class AnswerLossMonitor:
    """What a leader's links to targets have seen lost; share one."""

    __slots__ = ("_last_at",)

    def __init__(self) -> None:
        self._last_at = float("-inf")

    def note(self, now: float) -> None:
        """Take in that a target answered after it had left an order unanswered.

        :param now: time in seconds.
        """
        self._last_at = now

    def is_lossy(self, now: float) -> bool:
        """Return whether further answers are likely to be lost.

        :param now: time in seconds.
        """
        return now - self._last_at < LOSSY_S
