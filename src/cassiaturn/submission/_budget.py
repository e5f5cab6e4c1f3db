"""Limits one instance's use of the store: rates, backoff and a circuit breaker.

Load pattern: the store (the platform's table service) serves several hundred
writes a second for all its clients and has outages, whose end every instance notices
at the same moment. Without a client-side limit, the instances that return together
keep the store overloaded; without the circuit breaker, each claim waits for a timeout
during a long outage.

Grounds: a token bucket per instance bounds the sum over all instances whatever
their number of jobs; full jitter spreads returning clients over the whole backoff
window.
"""

import random
from enum import Enum

from cassiaturn.submission._settings import StoreSettings


class StoreState(Enum):
    """State of the circuit breaker."""

    CLOSED = "closed"
    """The store is used normally."""

    BACKOFF = "backoff"
    """The last operation failed; the next one waits for the backoff."""

    OPEN = "open"
    """Operations failed repeatedly; requests fail without waiting."""

    HALF_OPEN = "half_open"
    """One probe is in flight; nothing else is sent."""


class _TokenBucket:
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
    """Decides when this instance may use the store.

    Call :meth:`may_read` or :meth:`may_write` directly before each operation and
    report its end with :meth:`succeeded` or :meth:`failed`. A write that the store
    rejects because its condition does not hold counts as a success.
    """

    def __init__(self, *, settings: StoreSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._writes = _TokenBucket(
            rate=settings.writes_per_s, burst=settings.write_burst
        )
        self._reads = _TokenBucket(rate=settings.reads_per_s, burst=settings.read_burst)
        self._failures = 0
        self._retry_at = 0.0
        self._probed_at = 0.0
        self._state = StoreState.CLOSED

    @property
    def state(self) -> StoreState:
        """State of the circuit breaker now."""
        return self._state

    @property
    def is_down(self) -> bool:
        """Whether operations failed repeatedly and none has succeeded since."""
        return self._failures >= self._settings.open_after_failures

    def write_wait_s(self, writes: int) -> float:
        """Return the time that a number of writes takes at the sustained rate.

        :param writes: number of writes, made one after the other.
        :returns: duration in seconds.
        """
        return writes / self._settings.writes_per_s

    def may_write(self, now: float) -> bool:
        """Reserve one write if the rate and the circuit breaker allow it.

        :param now: monotonic time, in seconds.
        :returns: whether the caller may send one write.
        """
        return self._may(self._writes, now)

    def may_read(self, now: float) -> bool:
        """Reserve one read if the rate and the circuit breaker allow it.

        :param now: monotonic time, in seconds.
        :returns: whether the caller may send one read.
        """
        return self._may(self._reads, now)

    def succeeded(self, now: float) -> None:
        """Report an operation that the store answered; close the circuit breaker."""
        self._failures = 0
        self._state = StoreState.CLOSED

    def failed(self, now: float) -> None:
        """Report an operation that got no answer or an error.

        :param now: monotonic time, in seconds.
        """
        max_wait_s = min(
            self._settings.backoff_max_s,
            self._settings.backoff_first_s * 2.0 ** min(self._failures, 32),
        )
        self._failures += 1
        self._retry_at = now + self._rng.uniform(0, max_wait_s)
        if self._failures >= self._settings.open_after_failures:
            self._state = StoreState.OPEN
        else:
            self._state = StoreState.BACKOFF

    def _may(self, bucket: _TokenBucket, now: float) -> bool:
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
        # A probe whose caller was cancelled never reports its end. It is ignored after
        # the longest backoff; otherwise no operation would ever be sent again.
        if self._state is not StoreState.HALF_OPEN:
            return False
        return now - self._probed_at < self._settings.backoff_max_s
