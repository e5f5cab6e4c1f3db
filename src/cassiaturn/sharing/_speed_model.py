"""Estimates the speeds of all targets of a service from the runs of whole jobs.

Load pattern: tasks that need nearly all of the time that their callers wait, on workers
whose speeds differ by half. Declared run times are off by half as well, in the same
direction for all tasks of a job, so a single run says little about its target. Without
the comparison below, a job declared too short makes all its targets look slow.

Grounds: comparing the run times of a job's tasks on different targets cancels the error
of the declared time. It tells the targets apart after several times fewer runs.
"""

from collections.abc import Iterable, Mapping, Sequence

from cassiaturn.sharing._speed_estimate import (
    LOG_STEP,
    SHARED_VARIANCE,
    SpeedEffect,
    SpeedEstimate,
    clamped_log,
    shared_effect,
)

SMOOTHING_WEIGHT = 0.02
"""Weight of one job in the moving variances: they span about the last 50 jobs."""

WITHIN_VARIANCE = 0.03
"""Initial variance of the logarithm of run times within a job."""

BETWEEN_VARIANCE = 0.1
"""Initial variance, between jobs, of the logarithm of the mean run time over the
expected one."""

MIN_VARIANCE = 0.003
"""Minimum of either variance."""

ALL_TARGETS = ""
"""Stands for the label of the effect that all targets of the service share."""

MAX_LABELS = 8
"""Number of a target's labels that are used. A directory entry may have thousands of
them, and each costs time at each run."""

SHARED_CHANGE = LOG_STEP / 4
"""Change of a shared effect, as a logarithm, above which all targets of the service are
indexed again."""


class SpeedModel:
    """Speed estimates of the targets of one service."""

    def __init__(self) -> None:
        """Start without observations."""
        self._effects_by_label: dict[str, SpeedEffect] = {}
        self._all = shared_effect()
        self._within = WITHIN_VARIANCE
        self._between = BETWEEN_VARIANCE
        self._reported_by_label: dict[str, float] = {}

    def new_estimate(
        self, labels: Iterable[str], *, own: SpeedEffect | None = None
    ) -> SpeedEstimate:
        """Return the speed estimate of a new target.

        :param labels: properties that it shares with other targets.
        :param own: its own effect as an earlier leader learned it; None: not known.
        """
        shared = [
            self._effects_by_label.setdefault(label, shared_effect())
            for label in sorted(labels)[:MAX_LABELS]
        ]
        return SpeedEstimate(shared=(self._all, *shared), own=own)

    def observe_job(self, runs: Sequence[tuple[SpeedEstimate, float]]) -> None:
        """Add the runs of a job's tasks.

        :param runs: for each task that ran exactly once, the speed estimate of its
            target and its run time over the expected one.
        """
        count = len(runs)
        differences = [clamped_log(ratio) - speed.log_ratio for speed, ratio in runs]
        mean = sum(differences) / count
        self._between = _smoothed(self._between, mean**2 - self._within / count)
        if count > 1:
            squares = sum((difference - mean) ** 2 for difference in differences)
            self._within = _smoothed(self._within, squares / (count - 1))
            self._compare(runs, differences)
        # All tasks share the error of the mean, so together they count as one sample.
        variance = count * self._between + self._within
        for speed, _ in runs:
            total = variance + speed.variance
            for effect in speed.effects:
                effect.learn(mean, total)

    @property
    def effects_by_label(self) -> Mapping[str, SpeedEffect]:
        """Shared effects; the one of all targets stands under the empty label."""
        return {**self._effects_by_label, ALL_TARGETS: self._all}

    def restore_label(self, label: str, mean: float, variance: float) -> bool:
        """Use the effect of a label that was learned earlier.

        :param label: the label, or :data:`ALL_TARGETS`.
        :param variance: its variance, raised for what may have changed since.
        :returns: False if the effect has been learned from runs already.
        """
        if label == ALL_TARGETS:
            effect = self._all
        else:
            effect = self._effects_by_label.setdefault(label, shared_effect())
        if effect.variance < SHARED_VARIANCE:
            return False
        effect.restore(mean, variance)
        return True

    def shared_effects_changed(self) -> bool:
        """Return whether a label's effect has changed since this last returned true."""
        means_by_label = {
            label: effect.mean for label, effect in self._effects_by_label.items()
        }
        changed = any(
            abs(mean - self._reported_by_label.get(label, 0.0)) > SHARED_CHANGE
            for label, mean in means_by_label.items()
        )
        if changed:
            self._reported_by_label = means_by_label
        return changed

    def _compare(
        self,
        runs: Sequence[tuple[SpeedEstimate, float]],
        differences: Sequence[float],
    ) -> None:
        """Compare the tasks that an effect applies to with the job's other tasks."""
        count = len(runs)
        total = sum(differences)
        indexes_by_effect: dict[SpeedEffect, list[int]] = {}
        for index, (speed, _) in enumerate(runs):
            for effect in speed.effects:
                indexes_by_effect.setdefault(effect, []).append(index)
        variances = [speed.variance for speed, _ in runs]
        updates: list[tuple[SpeedEffect, float, float]] = []
        for effect, indexes in indexes_by_effect.items():
            other_count = count - len(indexes)
            if not other_count:
                continue
            own_sum = sum(differences[index] for index in indexes)
            difference = own_sum / len(indexes) - (total - own_sum) / other_count
            run_variance = self._within * (1 / len(indexes) + 1 / other_count)
            speed_variance = 2 * max(variances[index] for index in indexes)
            updates.append((effect, difference, run_variance + speed_variance))
        for effect, difference, variance in updates:
            effect.learn(difference, variance)


def _smoothed(variance: float, observed: float) -> float:
    return max(MIN_VARIANCE, variance + SMOOTHING_WEIGHT * (observed - variance))
