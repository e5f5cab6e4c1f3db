"""Estimates the run times of tasks from declared and observed run times.

Load pattern: declared run times are off by half in either direction, on routes whose
tasks resemble each other. Ordering and admission that trust the declared times refuse
jobs that would have been in time, and start jobs that cannot be.

Grounds: the geometric mean of the declared time and of the route's recent mean halves
the error of either in the logarithm if both have errors of similar size.
"""

import math

SMOOTHING_WEIGHT = 0.05
"""Weight of one run in a route's moving average: it spans about the last 20 runs."""


class ExpectedRuns:
    """Moving average of the run times of each route."""

    def __init__(self) -> None:
        self._mean_log_by_route: dict[str, float] = {}

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
            self._mean_log_by_route[route] = mean + SMOOTHING_WEIGHT * (value - mean)

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
