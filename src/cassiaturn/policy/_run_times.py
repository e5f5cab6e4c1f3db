"""Run times by method and class, learned from observed runs.

Load pattern: declared run times that are ten times too long or too short. Without
learning, a method declared too long is refused on an idle system, and one declared
too short is admitted and misses its deadline.

Grounds: the declared time has the weight of ``prior_runs`` runs, so a few observed
runs outweigh it. After that the estimate is a moving average over about
``1 / learning_rate`` runs.
"""

from cassiaturn.entities import RequestClass
from cassiaturn.policy._settings import AdmissionSettings


class _Mean:
    __slots__ = ("runs", "value_s")

    def __init__(self) -> None:
        self.runs = 0
        self.value_s = 0.0

    def add(self, run_s: float, rate: float) -> None:
        self.runs += 1
        self.value_s += max(rate, 1.0 / self.runs) * (run_s - self.value_s)


class RunTimes:
    """Mean run times of the tasks that this instance has seen finish."""

    def __init__(self, *, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._means_by_method: dict[str, _Mean] = {}
        self._means_by_class: dict[RequestClass, _Mean] = {}
        self.mean_s_by_class: dict[RequestClass, float] = {}

    def observe(self, method: str, request_class: RequestClass, run_s: float) -> None:
        """Record one run.

        :param method: full method name.
        :param request_class: class of the task.
        :param run_s: time for which the task ran, in seconds.
        """
        rate = self._settings.learning_rate
        self._means_by_method.setdefault(method, _Mean()).add(run_s, rate)
        class_mean = self._means_by_class.setdefault(request_class, _Mean())
        class_mean.add(run_s, rate)
        self.mean_s_by_class[request_class] = class_mean.value_s

    def expected_s(self, method: str, declared_s: float) -> float:
        """Return the expected run time of a method, in seconds.

        :param method: full method name.
        :param declared_s: declared run time, in seconds.
        """
        mean = self._means_by_method.get(method)
        if mean is None:
            return declared_s
        prior_weight = self._settings.prior_runs / (
            self._settings.prior_runs + mean.runs
        )
        return prior_weight * declared_s + (1.0 - prior_weight) * mean.value_s
