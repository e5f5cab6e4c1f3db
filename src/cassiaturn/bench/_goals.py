"""The goals that the decisions are held to, against what was measured."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from cassiaturn.bench._check import CLASSES
from cassiaturn.bench._scenario import scenarios_by_name

P50_OVER_EXACT = 1.05
P99_OVER_EXACT = 1.25
URGENT_IN_TIME = 0.999
USEFUL = 0.95
WITHIN_QUOTA_P99 = 1.2
SLOW_TARGET_P99 = 1.15
WASTED = 0.02
WASTED_WITH_FAULTS = 0.10

STEADY = "steady-80"
OVERLOAD = "overload-3"


@dataclass(frozen=True, slots=True, kw_only=True)
class Goal:
    """A bound on one ratio of one scenario."""

    scenario: str
    """Name of the scenario."""

    figure: str
    """Name of the ratio, as the check compares it."""

    at_most: float | None = None
    """Highest value that meets the goal."""

    at_least: float | None = None
    """Lowest value that meets the goal."""

    def is_met(self, value: float) -> bool:
        """Return whether a measured value meets the goal."""
        if self.at_most is not None and not value <= self.at_most:
            return False
        return self.at_least is None or value >= self.at_least


@dataclass(frozen=True, slots=True, kw_only=True)
class GoalResult:
    """A goal and what was measured at one user's site."""

    goal: Goal
    """The goal."""

    user: str
    """The user."""

    measured: float
    """The value."""

    def line(self) -> str:
        """Return it as one line of key=value pairs."""
        goal = self.goal
        bound = (
            f"at_most={goal.at_most:g}"
            if goal.at_most is not None
            else f"at_least={goal.at_least:g}"
        )
        met = "yes" if goal.is_met(self.measured) else "no"
        return (
            f"event=bench_goal user={self.user} scenario={goal.scenario}"
            f" figure={goal.figure} {bound} measured={self.measured:g} met={met}"
        )


def goals() -> Sequence[Goal]:
    """Return every goal."""
    return [*_response_goals(), *_isolation_goals(), *_waste_goals()]


def judge(ratios_by_run: Mapping[str, Mapping[str, float]]) -> Sequence[GoalResult]:
    """Return how each goal fared at each user's site.

    :param ratios_by_run: ratios by user/scenario.
    """
    # A user whose targets are shared only has no loads on slots.
    runs = (run.partition("/") for run in ratios_by_run)
    users = [user for user, _, scenario in runs if scenario == STEADY]
    return [
        GoalResult(
            goal=goal,
            user=user,
            measured=ratios_by_run[f"{user}/{goal.scenario}"][goal.figure],
        )
        for goal in goals()
        for user in users
    ]


def _response_goals() -> Iterable[Goal]:
    for name in CLASSES:
        yield Goal(
            scenario=STEADY, figure=f"{name}_p50_over_exact", at_most=P50_OVER_EXACT
        )
        yield Goal(
            scenario=STEADY, figure=f"{name}_p99_over_exact", at_most=P99_OVER_EXACT
        )
    yield Goal(
        scenario=OVERLOAD, figure="urgent_admitted_in_time", at_least=URGENT_IN_TIME
    )
    yield Goal(scenario=OVERLOAD, figure="useful", at_least=USEFUL)


def _isolation_goals() -> Iterable[Goal]:
    for scenario in (OVERLOAD, "hot-tenant"):
        yield Goal(
            scenario=scenario,
            figure="within_quota_p99_over_reference",
            at_most=WITHIN_QUOTA_P99,
        )
    yield Goal(
        scenario="slow-target",
        figure="watched_p99_over_reference",
        at_most=SLOW_TARGET_P99,
    )


def _waste_goals() -> Iterable[Goal]:
    for name, scenario in scenarios_by_name().items():
        yield Goal(
            scenario=name,
            figure="wasted",
            at_most=WASTED_WITH_FAULTS if scenario.faults else WASTED,
        )
        yield Goal(scenario=name, figure="started_twice", at_most=0.0)
