"""Estimates a target's clock, to express lease ends in the target's own time."""

import time

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

    def observe(self, clock_ms: int, now: float) -> None:
        """Record the target's clock from one of its answers.

        :param clock_ms: the target's clock when it answered, in milliseconds.
        :param now: monotonic time at which the answer was read, in seconds.
        """
        if self._read_at is None or clock_ms > self._clock_ms:
            self._clock_ms = clock_ms
            self._read_at = now

    def lease_end(self, now: float) -> int | None:
        """Return the end of a lease granted now, on the target's clock.

        :param now: monotonic time in seconds.
        :returns: the end in milliseconds; None if that clock is not known yet.
        """
        if self._read_at is None:
            return None
        # The clock was read before the answer travelled here, so this is a lower bound,
        # apart from the target's clock drift, which the margin in lease_over_s covers.
        self.leases_over_at = now + self._settings.lease_over_s
        since_ms = (now - self._read_at + self._settings.lease_s) * MS_PER_S
        return self._clock_ms + int(since_ms)
