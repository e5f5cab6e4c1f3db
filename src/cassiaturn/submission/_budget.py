"""One instance's use of the platform's store: rates, backoff, circuit breaker.

Load pattern: the store serves several hundred writes a second for everybody, has
outages, and every instance notices their end at the same moment. Without a
client-side limit a fleet that comes back together keeps the store down; without
the breaker each claim waits out a timeout in a long outage.

Grounds: token buckets bound the sum over all instances whatever their number of
jobs; full jitter spreads n returning clients over the whole backoff window.
"""

import random
from enum import Enum

from cassiaturn.submission._settings import StoreSettings


class StoreState(Enum):
    """What the budget believes of the store."""

    CLOSED = "closed"
    """Usable."""

    BACKOFF = "backoff"
    """Failed a moment ago; the next attempt waits."""

    OPEN = "open"
    """Failed repeatedly; callers are told so at once."""

    HALF_OPEN = "half_open"
    """One probe is on its way; nothing else is sent."""


class _Bucket:
    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    def __init__(self, *, rate: float, burst: int) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._filled_at: float | None = None

    def take(self, now: float) -> bool:
        if self._filled_at is not None:
            gained = max(0.0, now - self._filled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class StoreBudget:
    """Says when this instance may use the store.

    Ask directly before each operation and report its end with
    :meth:`succeeded` or :meth:`failed`; a refusal by condition is a success.
    """

    def __init__(self, *, settings: StoreSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._writes = _Bucket(rate=settings.writes_per_s, burst=settings.write_burst)
        self._reads = _Bucket(rate=settings.reads_per_s, burst=settings.read_burst)
        self._failures = 0
        self._retry_at = 0.0
        self._probed_at = 0.0
        self._state = StoreState.CLOSED

    @property
    def state(self) -> StoreState:
        """What is believed of the store now."""
        return self._state

    @property
    def is_down(self) -> bool:
        """Whether the store failed repeatedly and has not answered since."""
        return self._failures >= self._settings.open_after_failures

    def write_wait_s(self, writes: int) -> float:
        """Return how long a number of writes takes at the sustained rate.

        :param writes: writes to be made, one after the other.
        :returns: seconds.
        """
        return writes / self._settings.writes_per_s

    def may_write(self, now: float) -> bool:
        """Take the right to one write, if there is one.

        :param now: monotonic time, in seconds.
        """
        return self._may(self._writes, now)

    def may_read(self, now: float) -> bool:
        """Take the right to one read, if there is one.

        :param now: monotonic time, in seconds.
        """
        return self._may(self._reads, now)

    def succeeded(self, now: float) -> None:
        """Report an operation that the store answered."""
        self._failures = 0
        self._state = StoreState.CLOSED

    def failed(self, now: float) -> None:
        """Report an operation without an answer, or with an error.

        :param now: monotonic time, in seconds.
        """
        longest_s = min(
            self._settings.backoff_max_s,
            self._settings.backoff_first_s * 2.0 ** min(self._failures, 32),
        )
        self._failures += 1
        self._retry_at = now + self._rng.uniform(0, longest_s)
        if self._failures >= self._settings.open_after_failures:
            self._state = StoreState.OPEN
        else:
            self._state = StoreState.BACKOFF

    def _may(self, bucket: _Bucket, now: float) -> bool:
        if self._state is StoreState.CLOSED:
            return bucket.take(now)
        if now < self._retry_at or self._is_probing(now):
            return False
        if not bucket.take(now):
            return False
        self._state = StoreState.HALF_OPEN
        self._probed_at = now
        return True

    def _is_probing(self, now: float) -> bool:
        # A probe whose caller was cancelled never ends. Taken for under way, it
        # would shut the store off for good, so the longest backoff ends it.
        if self._state is not StoreState.HALF_OPEN:
            return False
        return now - self._probed_at < self._settings.backoff_max_s
