"""Whether a leader's process has time to spare for precautions.

Load pattern: a leader near the limit of its processor, above all just after it began,
when every member joins and the callers of an outage come at once. A message more for
each job then costs all callers more than it saves those of the next fault.

Grounds: timers of a process that is mostly idle are on time, on a host of any size. A
burst is seen sooner by the processor time that it takes than by timers that are late.
"""

LATE_S = 0.004
"""Lateness of a timer from which the process counts as busy, in seconds."""

CALM_TIMERS = 20
"""Timers in a row that must be on time: a second of them."""


BUSY_SHARE = 0.4
"""Share of a core that the process uses from which it counts as busy."""

FOLLOW = 0.25
"""Weight of the last timer's share: about the last four count, a fifth of a second."""


class CpuHeadroom:
    """Learns from timers of the event loop whether there is time to spare."""

    def __init__(self) -> None:
        """Begin as busy: nothing is known yet."""
        self._in_time = 0
        self._share = 0.0

    @property
    def is_available(self) -> bool:
        """Whether there is time to spare."""
        return self._in_time >= CALM_TIMERS

    def observe(self, late_s: float, share: float) -> None:
        """Take in a timer.

        :param late_s: by how much it fired late, in seconds.
        :param share: of a core, that the process used since the timer before, 0 to 1.
        """
        self._share += FOLLOW * (share - self._share)
        is_busy = late_s >= LATE_S or self._share >= BUSY_SHARE
        self._in_time = 0 if is_busy else self._in_time + 1
