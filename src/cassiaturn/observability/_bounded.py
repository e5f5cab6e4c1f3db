"""A log output that bounds its volume and never blocks.

Failure that it answers: a burst or an outage in which each request logs several
lines, or a reader of the log that stands still. Without a bound the log takes the
processor time that requests need; a full pipe stops the event loop, and with it
every lease and heartbeat.
"""

import io
import os
import stat
import time
from collections.abc import Callable

LINES_PER_S = 600.0
"""Lines a second that are written on average: twice what a leader of 100 jobs a second
writes, and below 3% of a core."""

BURST_LINES = 1_200.0
"""Lines that may be written at once, after quiet seconds: a change of leader logs
some hundreds."""

RESERVED_SHARE = 0.4
"""Part of the burst that ordinary lines leave for others: the ends of all jobs of a
second of outage fit into it."""

NOTICE_EVERY_S = 1.0
"""Least time between two notices of dropped lines, in seconds. Before each line that is
written they would be every second line of a leader's log, and take the place of what
they tell of."""

ORDINARY = (" event=job_queued ", " event=job_started ", " verdict=completed ")
"""What the lines of jobs hold that end well. They are dropped first: a person who asks
why a job failed needs the line that says so."""


class BoundedOutput(io.TextIOBase):
    """Writes lines to a descriptor; what is over the bound is counted and dropped."""

    def __init__(
        self,
        *,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Write to a descriptor that another owner closes.

        :param descriptor: of a pipe, a file or a terminal.
        :param lines_per_s: lines a second on average.
        :param burst: lines at once.
        :param clock: returns the time in seconds.
        """
        self.dropped = 0
        """Lines that were not written since the process began."""

        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._filled_at = clock()
        self._untold = 0
        self._untold_ordinary = 0
        self._told_at = float("-inf")
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def writable(self) -> bool:
        """Return that lines can be written."""
        return True

    def drop_if_full(self, *, is_ordinary: bool) -> bool:
        """Count a line as dropped if the bound leaves no room for it now.

        A busy leader drops up to half of its lines: those need not be formatted.

        :param is_ordinary: whether it is a line of a job that ends well.
        """
        self._refill()
        reserved = self._burst * RESERVED_SHARE if is_ordinary else 0.0
        if self._tokens >= 1.0 + reserved:
            return False
        self._drop(is_ordinary)
        return True

    def write(self, text: str) -> int:
        """Write a line, or count it as dropped."""
        if not text.strip():
            return len(text)
        is_ordinary = any(part in text for part in ORDINARY)
        if self.drop_if_full(is_ordinary=is_ordinary):
            return len(text)
        self._tokens -= 1.0
        if not self._tell_dropped():
            self._drop(is_ordinary)
            return len(text)
        if not self._put(text if text.endswith("\n") else text + "\n"):
            self._drop(is_ordinary)
        return len(text)

    def _refill(self) -> None:
        now = self._clock()
        earned = (now - self._filled_at) * self._lines_per_s
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at = now

    def _drop(self, is_ordinary: bool) -> None:
        self.dropped += 1
        self._untold += 1
        self._untold_ordinary += is_ordinary

    def _tell_dropped(self) -> bool:
        """Write how many lines are missing, if it is time; False: nobody reads."""
        if not self._untold or self._clock() - self._told_at < NOTICE_EVERY_S:
            return True
        if not self._put(self._notice()):
            return False
        self._told_at = self._clock()
        self._untold = 0
        self._untold_ordinary = 0
        return True

    def _notice(self) -> str:
        return (
            f"level=warning event=lines_dropped count={self._untold}"
            f" ordinary={self._untold_ordinary}\n"
        )

    def _put(self, text: str) -> bool:
        try:
            os.write(self._descriptor, text.encode(errors="replace"))
        except BlockingIOError:
            # The reader stands still: losing a line harms nobody who waits.
            return False
        except OSError:
            # Nobody reads any more; there is no other place to say so.
            return False
        return True
