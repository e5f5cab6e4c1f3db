"""The limit of a service's calls a second."""


class RateLimit:
    """A token bucket that holds a tenth of a second's calls."""

    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    _BURST_S = 0.1

    def __init__(self, *, rate: float) -> None:
        """Start full.

        :param rate: calls a second.
        """
        self._rate = rate
        self._burst = max(1.0, rate * self._BURST_S)
        self._tokens = self._burst
        self._filled_at = 0.0

    def wait_s(self, now: float) -> float:
        """Take a token, or return when there will be one.

        :param now: monotonic time, in seconds.
        :returns: 0 if the call may go on, else the seconds until it may.
        """
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self._rate
