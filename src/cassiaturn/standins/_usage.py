"""Usage as a runner reports it: true, but of some time ago."""

from collections import deque
from dataclasses import dataclass

from cassiaturn.v1 import runner_pb2 as pb

CPU_MILLIS_PER_TASK = 1000
"""Processor time that a running task takes, in thousandths of a core."""

MEMORY_MIB_PER_TASK = 256
"""Memory that a running task takes, in MiB."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Sample:
    """How many tasks ran at a moment."""

    at_ms: int
    """Runner's clock."""

    running: int
    """Tasks that ran."""


class UsageReport:
    """Samples of the usage, given out once they are as old as the lag."""

    __slots__ = ("_lag_ms", "_samples")

    def __init__(self, *, lag_ms: int) -> None:
        """Start without samples.

        :param lag_ms: age of the usage that is reported, in milliseconds.
        """
        self._lag_ms = lag_ms
        self._samples: deque[_Sample] = deque()

    def note(self, *, running: int, now_ms: int) -> None:
        """Take a sample.

        :param running: tasks that run now.
        :param now_ms: the runner's clock.
        """
        self._samples.append(_Sample(at_ms=now_ms, running=running))

    def latest(self, *, now_ms: int) -> pb.Usage:
        """Return the latest sample that the lag lets through.

        :param now_ms: the runner's clock.
        """
        while len(self._samples) > 1 and self._is_through(self._samples[1], now_ms):
            self._samples.popleft()
        if not self._samples or not self._is_through(self._samples[0], now_ms):
            return pb.Usage(age_ms=self._lag_ms)
        sample = self._samples[0]
        return pb.Usage(
            cpu_millis=sample.running * CPU_MILLIS_PER_TASK,
            memory_mib=sample.running * MEMORY_MIB_PER_TASK,
            age_ms=now_ms - sample.at_ms,
        )

    def _is_through(self, sample: _Sample, now_ms: int) -> bool:
        return now_ms - sample.at_ms >= self._lag_ms
