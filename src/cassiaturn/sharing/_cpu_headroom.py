"""Detects whether a leader's process has processor time left for confirming jobs.

Before a confirmed job starts, the member that passed it on records that the job may
have begun. After a change of leader, a job that never began then need not wait for the
leases of its runs to expire.

Load pattern: a leader near its processor limit, above all just after it took over, when
every member joins and the callers that waited through an outage arrive together. One
extra message per job then delays all callers by more than it saves those affected by
the next fault.

Grounds: the timers of a mostly idle process fire on time, whatever the size of its
host. The processor time used shows a burst earlier than late timers do.
"""

LATE_S = 0.004
"""Lateness of a timer from which the process counts as busy, in seconds."""

MIN_PUNCTUAL_TIMERS = 20
"""Consecutive timers that must be on time: one second at 20 timers a second."""

BUSY_SHARE = 0.4
"""Share of a core, or of the host's capacity if that is less, from which the process
counts as busy."""

SMOOTHING_WEIGHT = 0.25
"""Weight of the latest sample in the moving average of the processor share: it spans
about four timers, a fifth of a second."""


class CpuHeadroom:
    """Learns from event loop timers whether the process has processor time left."""

    def __init__(self) -> None:
        """Start as busy, since nothing has been observed."""
        self._punctual_timers = 0
        self._cpu_share = 0.0

    @property
    def is_available(self) -> bool:
        """Whether there is processor time left."""
        return self._punctual_timers >= MIN_PUNCTUAL_TIMERS

    def observe(self, late_s: float, cpu_share: float) -> None:
        """Add the sample of one timer.

        :param late_s: by how much it fired late, in seconds.
        :param cpu_share: processor time used since the previous timer over the time
            that one core of the host could give.
        """
        self._cpu_share += SMOOTHING_WEIGHT * (cpu_share - self._cpu_share)
        is_busy = late_s >= LATE_S or self._cpu_share >= BUSY_SHARE
        self._punctual_timers = 0 if is_busy else self._punctual_timers + 1
