"""Summarizes what a leader has learned, for the member that leads after it.

Load pattern: a change of leader while targets of different speeds are nearly full. A
successor without estimates places long tasks on slow targets for its first seconds,
and learns the speeds of all targets again.

Grounds: an estimate changes little from one second to the next. If only those are told
that differ by half a speed step from what was told last, a summary costs followers a
few bytes a second and a successor is never wrong by more than that.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from cassiaturn.sharing._speed_estimate import LOG_STEP, OWN_VARIANCE, SHARED_VARIANCE

MAX_EFFECT = 2.0
"""Bound of an effect, as a logarithm; a single run changes the sum of all effects by at
most half of it."""

MIN_RUN_S = 0.001
"""Lower bound of a route's mean run time, in seconds."""

MAX_RUN_S = 3_600.0
"""Upper bound of a route's mean run time, in seconds."""

VARIANCE_CHANGE = 0.5
"""Part of the variance told last at which an estimate is told again: by then it has
become much more certain."""

RAISE_FACTOR = 2.0
"""Factor by which the variance of an estimate is raised that another leader learned:
the change of leader may have come with a change of the targets."""

RAISE_PERIOD_S = 5.0
"""Age after which the variance is raised by once more its value, in seconds. After 10 s
without a leader, a target's own effect is learned anew nearly as from the start."""

RESTORED_RUNS = 10.0
"""Number of runs that the mean run time of another leader's route counts for: half of
those that a leader's own moving average spans."""

RESTORED_RUNS_PERIOD_S = 10.0
"""Age at which it counts for half of these runs, in seconds."""


class EstimateKind(StrEnum):
    """What an estimate is about."""

    TARGET = "target"
    """Effect of one target, beyond those of its labels."""

    LABEL = "label"
    """Effect that all targets with one label share."""

    ROUTE = "route"
    """Mean run time of a route."""


PRIOR_VARIANCE_BY_KIND: Mapping[EstimateKind, float] = {
    EstimateKind.TARGET: OWN_VARIANCE,
    EstimateKind.LABEL: SHARED_VARIANCE,
    EstimateKind.ROUTE: 0.0,
}
"""Variance of each kind without observations."""

MIN_CHANGE_BY_KIND: Mapping[EstimateKind, float] = {
    EstimateKind.TARGET: LOG_STEP / 2,
    EstimateKind.LABEL: LOG_STEP / 4,
    EstimateKind.ROUTE: LOG_STEP,
}
"""Change of each kind, as a logarithm, from which it is told again. All targets of a
label share its error. The moving average of a route varies by half a step at random."""


class EstimateKey(NamedTuple):
    """What one estimate is about."""

    kind: EstimateKind
    """Its kind."""

    name: str
    """Target id, label or route; the empty label stands for all targets."""

    service: str = ""
    """Service of the label; empty for other kinds."""


class Learned(NamedTuple):
    """An estimate as the tables hold it."""

    key: EstimateKey
    """What it is about."""

    mean: float
    """Logarithm of the effect, or of the run time in seconds."""

    variance: float
    """Variance of the mean; 0 for a route."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """An estimate that one member passes on to another."""

    key: EstimateKey
    """What it is about."""

    mean: float
    """Logarithm of the effect, or of the run time in seconds."""

    variance: float
    """Variance of the mean; 0 for a route."""

    learned_at: float
    """When the last run ended that it was learned from, in seconds."""

    @property
    def is_plausible(self) -> bool:
        """Whether a leader could have learned these values.

        Another version of the program, or whoever can write to the table service, may
        have sent others.
        """
        if not (math.isfinite(self.mean) and math.isfinite(self.learned_at)):
            return False
        if self.key.kind is EstimateKind.ROUTE:
            return math.log(MIN_RUN_S) <= self.mean <= math.log(MAX_RUN_S)
        prior = PRIOR_VARIANCE_BY_KIND[self.key.kind]
        return abs(self.mean) <= MAX_EFFECT and 0.0 < self.variance <= prior

    def raised_variance(self, now: float) -> float:
        """Return the variance with which another leader starts from this estimate.

        :param now: time in seconds.
        """
        age_s = max(0.0, now - self.learned_at)
        raised = self.variance * (RAISE_FACTOR + age_s / RAISE_PERIOD_S)
        return min(PRIOR_VARIANCE_BY_KIND[self.key.kind], raised)

    def restored_runs(self, now: float) -> int:
        """Return for how many runs a route's mean counts with another leader.

        :param now: time in seconds.
        """
        age_s = max(0.0, now - self.learned_at)
        return max(1, round(RESTORED_RUNS / (1.0 + age_s / RESTORED_RUNS_PERIOD_S)))


class _Observed(NamedTuple):
    """An estimate as of the last update."""

    learned: Learned
    """Its values."""

    at: float
    """When they last changed, in seconds."""


class EstimateSummary:
    """What a leader tells of its estimates, updated about once a second."""

    def __init__(self) -> None:
        """Start without estimates."""
        self._told_by_key: dict[EstimateKey, Learned] = {}
        self._observed_by_key: dict[EstimateKey, _Observed] = {}

    @property
    def keys(self) -> Collection[EstimateKey]:
        """Keys of all estimates that it tells."""
        return self._told_by_key.keys()

    @property
    def estimates(self) -> Sequence[Estimate]:
        """All estimates that it tells."""
        return [self._to_estimate(told) for told in self._told_by_key.values()]

    def estimate(self, key: EstimateKey) -> Estimate | None:
        """Return an estimate as it is told; None if it is gone."""
        told = self._told_by_key.get(key)
        return self._to_estimate(told) if told is not None else None

    def begin(self, inherited: Iterable[Estimate], learned: Iterable[Learned]) -> None:
        """Start from the estimates of an earlier leader.

        :param inherited: those estimates; they keep their age until a run changes them.
        :param learned: the estimates as the tables hold them after taking these over.
        """
        learned_by_key = {entry.key: entry for entry in learned}
        for estimate in inherited:
            key = estimate.key
            if key in learned_by_key:
                self._told_by_key[key] = Learned(key, estimate.mean, estimate.variance)
                self._observed_by_key[key] = _Observed(
                    learned_by_key[key], estimate.learned_at
                )

    def update(self, learned: Iterable[Learned], now: float) -> Sequence[EstimateKey]:
        """Update the summary.

        :param learned: all estimates as the tables hold them.
        :param now: time in seconds.
        :returns: the keys of estimates that changed by a step, or that are gone.
        """
        before_by_key = self._observed_by_key
        observed_by_key: dict[EstimateKey, _Observed] = {}
        changed: list[EstimateKey] = []
        for entry in learned:
            key = entry.key
            before = before_by_key.get(key)
            if before is not None and before.learned == entry:
                observed_by_key[key] = before
                continue
            observed_by_key[key] = _Observed(entry, now)
            if _differs(entry, self._told_by_key.get(key)):
                self._told_by_key[key] = entry
                changed.append(key)
        self._observed_by_key = observed_by_key
        gone = [key for key in self._told_by_key if key not in observed_by_key]
        for key in gone:
            del self._told_by_key[key]
        return changed + gone

    def _to_estimate(self, told: Learned) -> Estimate:
        return Estimate(
            key=told.key,
            mean=told.mean,
            variance=told.variance,
            learned_at=self._observed_by_key[told.key].at,
        )


def _differs(learned: Learned, told: Learned | None) -> bool:
    """Return whether an estimate differs by a step from the one that was told."""
    kind = learned.key.kind
    if told is None and kind is EstimateKind.ROUTE:
        return True
    mean = told.mean if told is not None else 0.0
    variance = told.variance if told is not None else PRIOR_VARIANCE_BY_KIND[kind]
    return (
        abs(learned.mean - mean) >= MIN_CHANGE_BY_KIND[kind]
        or learned.variance < variance * VARIANCE_CHANGE
    )
