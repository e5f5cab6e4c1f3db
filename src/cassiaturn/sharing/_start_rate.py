"""Estimates how many starts a second a leader can make by what a start costs.

Load pattern: a leader that has not been behind yet, so that no backlog has shown what
its processor makes.

Grounds: the processor time per start includes all other work of the process, so that
the rate that follows from it is a lower bound.
"""

DEFAULT_START_COST_S = 0.0005
"""Processor time per start assumed before any was measured, in seconds of one core."""

DEFAULT_WEIGHT_STARTS = 50.0
"""Number of starts that the default counts for; a tick at full load makes about 100."""

MAX_PLANNED_SHARE = 0.85
"""Share of the processor capacity that starts may use. The rest keeps timers and
heartbeats on time."""

MIN_STARTS_PER_SAMPLE = 10
"""Starts in a sample below which it does not count: the processor time of timers and
heartbeats would weigh too much."""

SAMPLE_DECAY = 0.9
"""Part of the weight of earlier samples that remains after one sample; the average
spans about ten of them, half a second."""

USED_WEIGHT = 0.6
"""Weight of the latest sample in the moving average of the processor share."""

LATE_S = 0.025
"""Lateness of a timer from which the processor may be the limit, in seconds: half a
tick."""

LATE_TIMERS = 3
"""Consecutive timers that must be late for that: one indicates a pause."""

LEARNED_WEIGHT = 0.5
"""Weight of what the process uses while its timers are late in its capacity."""

PROBED_SHARE = 0.8
"""Share of the capacity in use from which a higher one is tried."""

PROBE_FACTOR = 1.005
"""Factor by which it is raised at a timer on time: a tenth in a second."""


class StartRate:
    """Learns from samples of the event loop how many starts a second it can make."""

    def __init__(self, *, cpu_cores: float = 0.0) -> None:
        """Start with the default processor time per start.

        :param cpu_cores: processor capacity of the host, in cores; 0: not known.
        """
        self._nominal_cores = cpu_cores
        self._capacity_cores = cpu_cores
        self._late_timers = 0
        self._cpu_s = DEFAULT_START_COST_S * DEFAULT_WEIGHT_STARTS
        self._starts = DEFAULT_WEIGHT_STARTS
        self._used_cores = 0.0

    @property
    def capacity_cores(self) -> float:
        """Processor capacity that the process can use, in cores; 0: not known.

        Time that the system takes for the process may not count as the process's own,
        and a host may be slowed down, so that it can be less than the host's capacity.
        """
        return self._capacity_cores

    @property
    def start_cost_s(self) -> float:
        """Processor time per start, in seconds of one core."""
        return self._cpu_s / self._starts

    @property
    def starts_per_s(self) -> float:
        """Starts per second that can be made at least; infinite: not known."""
        if not self._capacity_cores:
            return float("inf")
        return MAX_PLANNED_SHARE * self._capacity_cores / self.start_cost_s

    def observe(
        self, *, cpu_s: float, starts: int, elapsed_s: float, late_s: float = 0.0
    ) -> None:
        """Add the sample of one tick.

        :param cpu_s: processor time used since the previous sample, in seconds of one
            core.
        :param starts: starts made since then.
        :param elapsed_s: time since then, in seconds.
        :param late_s: by how much the timer of this sample fired late, in seconds.
        """
        if elapsed_s <= 0.0:
            return
        used_cores = cpu_s / elapsed_s
        self._used_cores += USED_WEIGHT * (used_cores - self._used_cores)
        self._late_timers = self._late_timers + 1 if late_s >= LATE_S else 0
        self._learn_capacity()
        if starts >= MIN_STARTS_PER_SAMPLE:
            self._cpu_s = SAMPLE_DECAY * self._cpu_s + cpu_s
            self._starts = SAMPLE_DECAY * self._starts + starts

    def _learn_capacity(self) -> None:
        """Update the capacity by what the process gets while its timers are late."""
        if self._late_timers >= LATE_TIMERS:
            learned = min(self._nominal_cores, self._used_cores)
            self._capacity_cores += LEARNED_WEIGHT * (learned - self._capacity_cores)
        elif self._used_cores >= PROBED_SHARE * self._capacity_cores:
            raised = max(PROBE_FACTOR * self._capacity_cores, self._used_cores)
            self._capacity_cores = min(self._nominal_cores, raised)
