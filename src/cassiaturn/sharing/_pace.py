"""How fast a sound target works, compared with the others.

Load pattern: tasks that need nearly all of the time that their callers wait, on
workers whose speeds differ by half. Without it a third of these tasks land on slow
workers and end too late, while short tasks, which have time to spare, hold the fast
ones.

Grounds: run times are off by a third from what was expected, so some thirty of them
tell a speed to a twentieth, at ten runs a second within three seconds.
"""

import math

FOLLOW = 0.03
"""Weight of one run: about the last thirty count."""

PRIOR_RUNS = 10
"""Runs of usual speed that a target without any run counts as: the error of one run is
three times the spread of sound targets' speeds, and its square tells how many."""

STEP = 0.1
"""Width of a step of speed, as a difference of logarithms: smaller differences are
within the error and would only undo the packing."""

LARGEST = 1.0
"""Largest logarithm of one ratio that counts: a stalled run says nothing of speed."""

TIGHT_SHARE = 0.3
"""Share of a caller's time from which a task's expected run counts as tight: run
times spread so that one in ten takes 1.7 times as long, and waits come on top."""


class Pace:
    """Run times of one target over the expected ones."""

    __slots__ = ("_mean_log", "_runs")

    def __init__(self) -> None:
        self._mean_log = 0.0
        self._runs = 0

    def observe(self, ratio: float) -> None:
        """Take in a run's length over its expected one."""
        self._runs += 1
        weight = max(FOLLOW, 1.0 / (self._runs + PRIOR_RUNS))
        value = max(-LARGEST, min(LARGEST, math.log(max(ratio, 1e-3))))
        self._mean_log += weight * (value - self._mean_log)

    @property
    def ratio(self) -> float:
        """Its run times over the expected ones."""
        return math.exp(self._mean_log)

    @property
    def step(self) -> int:
        """How slow the target is, in steps; lower is faster."""
        return round(self._mean_log / STEP)


def needs_fast_target(*, expected_run_s: float, limit_s: float) -> bool:
    """Return whether a task should go to the fastest target that has room.

    :param expected_run_s: its expected length, in seconds.
    :param limit_s: how long its caller waits in all, in seconds.
    """
    return expected_run_s >= TIGHT_SHARE * limit_s
