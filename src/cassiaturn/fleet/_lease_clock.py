"""Estimates a target's clock, to express lease ends in the target's own time."""

import time

from cassiaturn.fleet._pause import PAUSE_S
from cassiaturn.workload import WorkloadSettings

MS_PER_S = 1000


class LeaseClock:
    """A lower bound of a target's clock, and when its last lease has surely expired."""

    def __init__(self, *, settings: WorkloadSettings) -> None:
        """Start before the target has answered.

        An earlier leader may have granted it a lease just now.
        """
        self.leases_over_at = time.monotonic() + settings.lease_over_s
        """Monotonic time by which every lease granted to the target has expired, in
        seconds."""

        self._settings = settings
        self._clock_ms = 0
        self._read_at: float | None = None
        self._jump_ms = 0.0
        self._jumped_at = float("-inf")

    def observe(self, clock_ms: int, now: float) -> float:
        """Record the target's clock from one of its answers.

        :param clock_ms: the target's clock when it answered, in milliseconds.
        :param now: monotonic time at which the answer was read, in seconds.
        :returns: by how much it is ahead of what earlier answers foretold, in seconds;
            0 if it is not. This host's clock may stand still while the host is
            suspended, and the target's does not.
        """
        ahead_ms = 0.0
        if self._read_at is not None:
            ahead_ms = clock_ms - self._clock_ms - (now - self._read_at) * MS_PER_S
        if self._read_at is None or clock_ms > self._clock_ms:
            self._clock_ms = clock_ms
            self._read_at = now
        if ahead_ms >= PAUSE_S * MS_PER_S:
            self._jump_ms = ahead_ms
            self._jumped_at = now
        return max(0.0, ahead_ms / MS_PER_S)

    def lease_end(self, now: float) -> int | None:
        """Return the end of a lease that counts from a time, on the target's clock.

        :param now: monotonic time in seconds, at which the lease was decided on.
        :returns: the end in milliseconds; None if that clock is not known yet.
        """
        if self._read_at is None:
            return None
        # The clock was read before the answer travelled here, so this is a lower bound,
        # apart from the target's clock drift, which the margin in lease_over_s covers.
        lease_over_at = now + self._settings.lease_over_s
        self.leases_over_at = max(self.leases_over_at, lease_over_at)
        since_ms = (now - self._read_at + self._settings.lease_s) * MS_PER_S
        if now <= self._jumped_at:
            since_ms -= self._jump_ms
        return self._clock_ms + int(since_ms)
