"""Whether a leader's process has time to spare for precautions.

Load pattern: a leader near the limit of its processor, above all just after it began,
when every member joins and the callers of an outage come at once. A message more for
each job then costs all callers more than it saves those of the next fault.

Grounds: timers of a process that is mostly idle are on time. One that is late by more
than a few milliseconds waited for other work, long before the process is full.
"""

LATE_S = 0.004
"""Lateness of a timer from which the process counts as busy, in seconds."""

CALM_TIMERS = 20
"""Timers in a row that must be on time: a second of them."""


class SpareTime:
    """Learns from timers of the event loop whether there is time to spare."""

    def __init__(self) -> None:
        """Begin as busy: nothing is known yet."""
        self._in_time = 0

    @property
    def is_there(self) -> bool:
        """Whether there is time to spare."""
        return self._in_time >= CALM_TIMERS

    def observe(self, late_s: float) -> None:
        """Take in a timer.

        :param late_s: by how much it fired late, in seconds.
        """
        self._in_time = 0 if late_s >= LATE_S else self._in_time + 1
