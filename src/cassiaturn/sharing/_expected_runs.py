"""Expected run times of tasks, from what was declared and what was seen.

Load pattern: declared run times that are off by half in either direction, on
routes whose tasks resemble each other. Orders and refusals that trust them refuse
jobs that would have been in time, and start ones that cannot be.

Grounds: the geometric mean of the declared time and of the route's recent mean
halves the error of either in the logarithm where both err alike.
"""

import math

FOLLOW = 0.05
"""Weight of one run in a route's mean: about the last twenty count."""


class ExpectedRuns:
    """Run times of each route."""

    def __init__(self) -> None:
        self._mean_log_by_route: dict[str, float] = {}

    def observe(self, route: str, run_s: float) -> None:
        """Take in the length of a run that ended well.

        :param route: name of the route.
        :param run_s: in seconds.
        """
        value = math.log(max(run_s, 1e-3))
        mean = self._mean_log_by_route.get(route)
        if mean is None:
            self._mean_log_by_route[route] = value
        else:
            self._mean_log_by_route[route] = mean + FOLLOW * (value - mean)

    def expected_s(self, route: str, declared_s: float) -> float:
        """Return the expected length of a run, in seconds.

        :param route: name of the route.
        :param declared_s: what the caller declared; 0: nothing.
        """
        mean = self._mean_log_by_route.get(route)
        if mean is None:
            return declared_s or DEFAULT_RUN_S
        if declared_s <= 0.0:
            return math.exp(mean)
        return math.exp((mean + math.log(declared_s)) / 2.0)


DEFAULT_RUN_S = 0.3
"""Length of a run of which nothing is known: the middle of 50 ms to 1 s."""
