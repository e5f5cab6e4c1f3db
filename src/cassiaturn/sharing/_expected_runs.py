"""Estimates the run times of tasks from declared and observed run times.

Load pattern: declared run times are off by half in either direction, on routes whose
tasks resemble each other. Ordering and admission that trust the declared times refuse
jobs that would have been in time, and start jobs that cannot be.

Grounds: the geometric mean of the declared time and of the route's recent mean halves
the error of either in the logarithm if both have errors of similar size.
"""

import math
from collections.abc import Mapping

SMOOTHING_WEIGHT = 0.05
"""Weight of one run in a route's moving average: it spans about the last 20 runs."""


class ExpectedRuns:
    """Moving average of the run times of each route."""

    def __init__(self) -> None:
        self._mean_log_by_route: dict[str, float] = {}
        self._restored_runs_by_route: dict[str, int] = {}
        """Number of runs that the mean of an earlier leader's route counts for, with
        those since; absent: the mean is this leader's own, or settled."""

    @property
    def mean_log_by_route(self) -> Mapping[str, float]:
        """Logarithm of each route's mean run time in seconds."""
        return self._mean_log_by_route

    def restore(self, route: str, mean_log: float, runs: int) -> bool:
        """Use the mean run time of a route that was learned earlier.

        :param mean_log: logarithm of the mean run time in seconds.
        :param runs: number of runs that it counts for; at least 1.
        :returns: False if runs of the route were observed already.
        """
        if route in self._mean_log_by_route:
            return False
        self._mean_log_by_route[route] = mean_log
        self._restored_runs_by_route[route] = runs
        return True

    def observe(self, route: str, run_s: float) -> None:
        """Add the run time of a run that ended successfully.

        :param route: name of the route.
        :param run_s: run time in seconds.
        """
        value = math.log(max(run_s, 1e-3))
        mean = self._mean_log_by_route.get(route)
        if mean is None:
            self._mean_log_by_route[route] = value
        else:
            weight = self._weight(route)
            self._mean_log_by_route[route] = mean + weight * (value - mean)

    def _weight(self, route: str) -> float:
        """Return the weight of one more run; higher while a restored mean counts."""
        runs = self._restored_runs_by_route.pop(route, None)
        if runs is None or 1 / (runs + 1) <= SMOOTHING_WEIGHT:
            return SMOOTHING_WEIGHT
        self._restored_runs_by_route[route] = runs + 1
        return 1 / (runs + 1)

    def expected_s(self, route: str, declared_s: float) -> float:
        """Return the expected run time of a task, in seconds.

        :param route: name of the route.
        :param declared_s: run time that the caller declared, in seconds; 0: none.
        """
        mean = self._mean_log_by_route.get(route)
        if mean is None:
            return declared_s or DEFAULT_RUN_S
        if declared_s <= 0.0:
            return math.exp(mean)
        return math.exp((mean + math.log(declared_s)) / 2.0)


DEFAULT_RUN_S = 0.3
"""Run time if nothing is known, in seconds: the middle of 50 ms to 1 s."""
