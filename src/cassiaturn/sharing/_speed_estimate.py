"""How fast a sound target works, compared with the others.

Load pattern: tasks that need nearly all of the time that their callers wait, on
workers whose speeds differ by half. Without it a third of these tasks land on slow
workers and end too late, while short tasks, which have time to spare, hold the fast
ones. A new leader knows no speed, and its first seconds follow a fault.

Grounds: run times are off by a third from what was expected, so some thirty of them
tell the speed of one target to a twentieth. Targets of one kind, or in one rack, have
their speed in common, and all their runs tell it; what one target deviates by comes
on top.
"""

import math
from collections.abc import Sequence

STEP = 0.1
"""Width of a step of speed, as a difference of logarithms: smaller differences are
within the error and would only undo the packing."""

LARGEST = 1.0
"""Largest logarithm of one ratio that counts: a stalled run says nothing of speed."""

TIGHT_SHARE = 0.3
"""Share of a caller's time from which a task's expected run counts as tight: run
times spread so that one in ten takes 1.7 times as long, and waits come on top."""

RUN_VARIANCE = 0.1
"""Variance of the logarithm of one run's length over the expected one."""

OWN_VARIANCE = 0.01
"""Variance, between sound targets of one kind, of the logarithm of their speed."""

OWN_VARIANCE_FLOOR = 0.003
"""Least uncertainty of a target's own deviation: about the last thirty runs count."""

SHARED_VARIANCE = 0.04
"""Variance, between kinds of targets, of the logarithm of their speed."""

SHARED_VARIANCE_FLOOR = 0.0003
"""Least uncertainty of what targets have in common: some hundreds of runs count."""


class SpeedEffect:
    """By how much the run times of some targets deviate, as a logarithm."""

    __slots__ = ("_floor", "mean", "variance")

    def __init__(self, *, variance: float, floor: float) -> None:
        """Know nothing.

        :param variance: how far it may be from zero.
        :param floor: least variance, so that changes are followed.
        """
        self.mean = 0.0
        self.variance = variance
        self._floor = floor

    def learn(self, difference: float, total_variance: float) -> None:
        """Take its part of a difference between what was seen and expected.

        :param total_variance: of the difference, of which this effect's is a part.
        """
        gain = self.variance / total_variance
        self.mean += gain * difference
        self.variance = max(self._floor, self.variance * (1.0 - gain))


def shared_effect() -> SpeedEffect:
    """Return the effect of something that targets have in common."""
    return SpeedEffect(variance=SHARED_VARIANCE, floor=SHARED_VARIANCE_FLOOR)


class SpeedEstimate:
    """Run times of one target over the expected ones."""

    __slots__ = ("effects",)

    def __init__(self, *, shared: Sequence[SpeedEffect] = ()) -> None:
        """Know only what the target has in common with others.

        :param shared: the effects of that.
        """
        own = SpeedEffect(variance=OWN_VARIANCE, floor=OWN_VARIANCE_FLOOR)
        self.effects = (own, *shared)
        """Its own deviation, and those that it shares."""

    def observe(self, ratio: float, *, variance: float = RUN_VARIANCE) -> None:
        """Take in a run's length over its expected one.

        :param variance: of the logarithm of the ratio, were the speed known.
        """
        difference = clamped_log(ratio) - self.log_ratio
        total = variance + self.variance
        for effect in self.effects:
            effect.learn(difference, total)

    @property
    def log_ratio(self) -> float:
        """Logarithm of its run times over the expected ones."""
        return sum(effect.mean for effect in self.effects)

    @property
    def variance(self) -> float:
        """How uncertain that is."""
        return sum(effect.variance for effect in self.effects)

    @property
    def ratio(self) -> float:
        """Its run times over the expected ones."""
        return math.exp(self.log_ratio)

    @property
    def step(self) -> int:
        """How slow the target is, in steps; lower is faster."""
        return round(self.log_ratio / STEP)


def clamped_log(ratio: float) -> float:
    """Return the logarithm of a run's length over its expected one, within bounds."""
    return max(-LARGEST, min(LARGEST, math.log(max(ratio, 1e-3))))


def needs_fast_target(*, expected_run_s: float, limit_s: float) -> bool:
    """Return whether a task should go to the fastest target that has room.

    :param expected_run_s: its expected length, in seconds.
    :param limit_s: how long its caller waits in all, in seconds.
    """
    return expected_run_s >= TIGHT_SHARE * limit_s
