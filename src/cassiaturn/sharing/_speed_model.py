"""Speeds of all targets of one service, from the runs of whole jobs.

Load pattern: as for one target's pace. Declared run times are off by half, for all
tasks of a job alike: what its tasks on different targets took, set against each other,
tells the targets apart several times sooner than each run by itself.
"""

from collections.abc import Iterable, Sequence

from cassiaturn.sharing._speed_estimate import (
    STEP,
    SpeedEffect,
    SpeedEstimate,
    clamped_log,
    shared_effect,
)

FOLLOW = 0.02
"""Weight of one job in the spreads: about the last fifty count."""

WITHIN_VARIANCE = 0.03
"""Variance of the logarithm of run times within a job, while nothing is known."""

BETWEEN_VARIANCE = 0.1
"""Variance of the logarithm of a job's mean run time over the expected one, while
nothing is known."""

LEAST_VARIANCE = 0.003
"""Least variance of either kind that is believed."""

MOST_LABELS = 8
"""Labels of a target that count: others may write entries with thousands of them, and
each costs time at each run."""

SHARED_MOVE = STEP / 4
"""By how much a shared effect has to move before all targets are looked at again."""


class SpeedModel:
    """What is known of the speeds of one service's targets."""

    def __init__(self) -> None:
        """Know nothing."""
        self._effects_by_label: dict[str, SpeedEffect] = {}
        self._all = shared_effect()
        self._within = WITHIN_VARIANCE
        self._between = BETWEEN_VARIANCE
        self._told_by_label: dict[str, float] = {}

    def new_estimate(self, labels: Iterable[str]) -> SpeedEstimate:
        """Return the pace of a target that was not seen yet.

        :param labels: what it has in common with others.
        """
        shared = [
            self._effects_by_label.setdefault(label, shared_effect())
            for label in sorted(labels)[:MOST_LABELS]
        ]
        return SpeedEstimate(shared=(self._all, *shared))

    def observe_job(self, runs: Sequence[tuple[SpeedEstimate, float]]) -> None:
        """Take in the runs of a job's tasks.

        :param runs: the target's pace and the run's length over the expected one, of
            each task that ran once.
        """
        count = len(runs)
        differences = [clamped_log(ratio) - speed.log_ratio for speed, ratio in runs]
        mean = sum(differences) / count
        self._between = _followed(self._between, mean**2 - self._within / count)
        if count > 1:
            squares = sum((difference - mean) ** 2 for difference in differences)
            self._within = _followed(self._within, squares / (count - 1))
            self._compare(runs, differences)
        # The error of the mean is the same for all tasks: together they count once.
        variance = count * self._between + self._within
        for speed, _ in runs:
            total = variance + speed.variance
            for effect in speed.effects:
                effect.learn(mean, total)

    def shared_effects_changed(self) -> bool:
        """Return whether what targets have in common moved since this was last true."""
        means_by_label = {
            label: effect.mean for label, effect in self._effects_by_label.items()
        }
        moved = any(
            abs(mean - self._told_by_label.get(label, 0.0)) > SHARED_MOVE
            for label, mean in means_by_label.items()
        )
        if moved:
            self._told_by_label = means_by_label
        return moved

    def _compare(
        self, runs: Sequence[tuple[SpeedEstimate, float]], differences: Sequence[float]
    ) -> None:
        """Set the tasks that ran where an effect is against the job's other tasks."""
        count = len(runs)
        total = sum(differences)
        here: dict[SpeedEffect, list[int]] = {}
        for index, (speed, _) in enumerate(runs):
            for effect in speed.effects:
                here.setdefault(effect, []).append(index)
        variances = [speed.variance for speed, _ in runs]
        learnt: list[tuple[SpeedEffect, float, float]] = []
        for effect, indexes in here.items():
            others = count - len(indexes)
            if not others:
                continue
            part = sum(differences[index] for index in indexes)
            difference = part / len(indexes) - (total - part) / others
            error = self._within * (1 / len(indexes) + 1 / others)
            uncertain = 2 * max(variances[index] for index in indexes)
            learnt.append((effect, difference, error + uncertain))
        for effect, difference, variance in learnt:
            effect.learn(difference, variance)


def _followed(variance: float, seen: float) -> float:
    return max(LEAST_VARIANCE, variance + FOLLOW * (seen - variance))
