"""Estimates how fast a healthy target works, relative to the others.

Load pattern: tasks that need nearly all of the time that their callers wait, on workers
whose speeds differ by half. Without the estimate a third of these tasks are placed on
slow workers and end too late, while short tasks, which have time to spare, occupy the
fast ones. A new leader knows no speed, and its first seconds follow a fault.

Grounds: run times deviate from the expected ones by a third, so about 30 of them give
the speed of one target to within a twentieth. Targets of one kind or in one rack share
part of their deviation, and the runs of all of them contribute to that part. The
target's own deviation is added on top.
"""

import math
from collections.abc import Sequence

LOG_STEP = 0.1
"""Width of a speed step, as a difference of logarithms: smaller differences are within
the error of the estimate and would only worsen the packing."""

MAX_LOG_RATIO = 1.0
"""Bound of the logarithm of one ratio: a stalled run says nothing about speed."""

TIGHT_RUN_SHARE = 0.3
"""Share of its caller's wait from which a task's expected run time counts as tight: one
run in ten takes 1.7 times as long, and queueing comes on top."""

RUN_VARIANCE = 0.1
"""Variance of the logarithm of one run time over the expected one."""

OWN_VARIANCE = 0.01
"""Variance of the logarithm of speed between healthy targets of one kind."""

OWN_VARIANCE_FLOOR = 0.003
"""Minimum variance of a target's own deviation: about the last 30 runs count."""

SHARED_VARIANCE = 0.04
"""Variance of the logarithm of speed between kinds of targets."""

SHARED_VARIANCE_FLOOR = 0.0003
"""Minimum variance of a shared deviation: some hundreds of runs count."""


class SpeedEffect:
    """Estimated deviation of the run times of some targets, as a logarithm."""

    __slots__ = ("_floor", "mean", "variance")

    def __init__(self, *, variance: float, floor: float) -> None:
        """Start at a mean of zero.

        :param variance: prior variance around zero.
        :param floor: minimum variance, so that the estimate keeps following changes.
        """
        self.mean = 0.0
        self.variance = variance
        self._floor = floor

    def learn(self, difference: float, total_variance: float) -> None:
        """Update the estimate with its share of an observed deviation.

        :param difference: deviation of the observed logarithm from the expected one.
        :param total_variance: variance of the difference, including this effect's own.
        """
        gain = self.variance / total_variance
        self.mean += gain * difference
        self.variance = max(self._floor, self.variance * (1.0 - gain))

    def restore(self, mean: float, variance: float) -> None:
        """Replace the estimate by one that was learned earlier.

        :param variance: its variance, raised for what may have changed since.
        """
        self.mean = mean
        self.variance = max(self._floor, variance)


def own_effect() -> SpeedEffect:
    """Return an effect for what distinguishes one target from others of its kind."""
    return SpeedEffect(variance=OWN_VARIANCE, floor=OWN_VARIANCE_FLOOR)


def shared_effect() -> SpeedEffect:
    """Return an effect for a property that several targets share."""
    return SpeedEffect(variance=SHARED_VARIANCE, floor=SHARED_VARIANCE_FLOOR)


class SpeedEstimate:
    """Estimated ratio of a target's run times to the expected ones."""

    __slots__ = ("effects",)

    def __init__(
        self,
        *,
        shared: Sequence[SpeedEffect] = (),
        own: SpeedEffect | None = None,
    ) -> None:
        """Start from the effects that the target shares with others.

        :param shared: those effects.
        :param own: the target's own effect as an earlier leader learned it; None: not
            known.
        """
        self.effects = (own or own_effect(), *shared)
        """The target's own effect, followed by the shared ones."""

    def observe(self, ratio: float, *, variance: float = RUN_VARIANCE) -> None:
        """Add a run.

        :param ratio: its run time over the expected one.
        :param variance: variance of the logarithm of the ratio at a known speed.
        """
        difference = clamped_log(ratio) - self.log_ratio
        total = variance + self.variance
        for effect in self.effects:
            effect.learn(difference, total)

    @property
    def own(self) -> SpeedEffect:
        """The target's own effect."""
        return self.effects[0]

    @property
    def log_ratio(self) -> float:
        """Logarithm of the target's run times over the expected ones."""
        return sum(effect.mean for effect in self.effects)

    @property
    def variance(self) -> float:
        """Variance of `log_ratio`."""
        return sum(effect.variance for effect in self.effects)

    @property
    def ratio(self) -> float:
        """Target's run times over the expected ones; lower is faster."""
        return math.exp(self.log_ratio)

    @property
    def step(self) -> int:
        """`log_ratio` rounded to steps of :data:`LOG_STEP`; lower is faster."""
        return round(self.log_ratio / LOG_STEP)


def clamped_log(ratio: float) -> float:
    """Return the logarithm of a run time over the expected one, within bounds."""
    return max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, math.log(max(ratio, 1e-3))))


def needs_fast_target(*, expected_run_s: float, limit_s: float) -> bool:
    """Return whether a task should go to the fastest target with free resources.

    :param expected_run_s: expected run time of the task, in seconds.
    :param limit_s: how long its caller waits in total, in seconds.
    """
    return expected_run_s >= TIGHT_RUN_SHARE * limit_s
