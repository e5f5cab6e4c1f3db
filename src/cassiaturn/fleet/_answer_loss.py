"""Detects whether single answers of targets are being lost, and adapts timeouts.

Load pattern: a fraction of the requests to targets gets no answer although the targets
are up and working. Each request waits for a timeout before it is sent again, and a lost
long poll reports no completions: when 15 % of the requests are lost, three of four
callers get their results late.

Grounds: a target that leaves one request unanswered and answers the next is alive, so
only the answer was lost. A target that is dead or behind a network partition answers
neither and is not counted here, so a partition causes no additional requests.
"""

LOSS_WINDOW_S = 2.0
"""Time after a lost answer during which further losses are expected, in seconds: at a
loss of one in twenty, ten requests a second see the next one within this time."""


TIMEOUT_FACTOR = 4.0
"""Timeout while answers are lost, as a multiple of the mean answer time: one in a
hundred of the answers that arrive takes longer."""

MIN_TIMEOUT_S = 0.012
"""Shortest such timeout, in seconds: twice as long as the leader's event loop is busy
when it starts a large job."""

ESTIMATE_WEIGHT = 0.1
"""Weight of one answer in the moving average: it spans about the last ten answers."""


class AnswerTimeEstimate:
    """Moving average of the time that a target takes to answer immediately."""

    __slots__ = ("_mean_s",)

    def __init__(self) -> None:
        # Until the first answer: the answer time of a target in another region.
        self._mean_s = 0.02

    def observe(self, answer_s: float) -> None:
        """Record the time of an answer to a request that was no long poll, in seconds.

        :param answer_s: time from the request to its answer, in seconds.
        """
        self._mean_s += ESTIMATE_WEIGHT * (answer_s - self._mean_s)

    def timeout_s(self, longest_s: float) -> float:
        """Return the timeout to use while answers are lost, in seconds.

        :param longest_s: the timeout while no answers are lost, in seconds; an upper
            bound.
        """
        return min(longest_s, max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * self._mean_s))


class AnswerLossMonitor:
    """Lost answers, as seen by all links of one leader, which share one instance."""

    __slots__ = ("_last_at",)

    def __init__(self) -> None:
        self._last_at = float("-inf")

    def record_loss(self, now: float) -> None:
        """Record that a target answered after it had left a request unanswered.

        :param now: monotonic time in seconds.
        """
        self._last_at = now

    def is_lossy(self, now: float) -> bool:
        """Return whether further answers are likely to be lost.

        :param now: monotonic time in seconds.
        """
        return now - self._last_at < LOSS_WINDOW_S
