"""Leases on a target's own clock, as far as its leader can tell that clock."""

import time

from cassiaturn.workload import WorkloadSettings

MILLISECONDS = 1000


class LeaseClock:
    """What a target's clock shows at least, and when its last lease is surely over."""

    def __init__(self, *, settings: WorkloadSettings) -> None:
        """Begin without a word of the target, which may hold a lease just given."""
        self.over_at = time.monotonic() + settings.lease_over_s
        """When every lease that was given has ended there, in seconds."""

        self._settings = settings
        self._clock_ms = 0
        self._read_at: float | None = None

    def note(self, clock_ms: int, now: float) -> None:
        """Take in what the target's clock showed when it answered.

        :param now: time in seconds, when the answer was read.
        """
        if self._read_at is None or clock_ms > self._clock_ms:
            self._clock_ms = clock_ms
            self._read_at = now

    def lease_end(self, now: float) -> int | None:
        """Return the end of a lease given now, on the target's clock.

        :returns: milliseconds; None: that clock is not known yet.
        """
        if self._read_at is None:
            return None
        # The answer was on its way when the clock was read, so this is a lower
        # bound but for the target's drift, which the margin of the end covers.
        self.over_at = now + self._settings.lease_over_s
        since_ms = (now - self._read_at + self._settings.lease_s) * MILLISECONDS
        return self._clock_ms + int(since_ms)
