"""Run times by method and class, learnt from what is seen.

Load pattern: declarations off by ten times both ways. Without learning, a
method declared too long is refused on an idle system and one declared too short
is admitted to miss its deadline.

Grounds: the declared time counts for as much as ``prior_runs`` runs, so it is
outvoted after a few; then a moving average with a memory of about
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
    """Mean run times of everything this instance has seen end."""

    def __init__(self, *, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._means_by_method: dict[str, _Mean] = {}
        self._means_by_class: dict[RequestClass, _Mean] = {}
        self.mean_s_by_class: dict[RequestClass, float] = {}

    def observe(self, method: str, request_class: RequestClass, run_s: float) -> None:
        """Take in one run.

        :param run_s: time that the task ran, in seconds.
        """
        rate = self._settings.learning_rate
        self._means_by_method.setdefault(method, _Mean()).add(run_s, rate)
        of_class = self._means_by_class.setdefault(request_class, _Mean())
        of_class.add(run_s, rate)
        self.mean_s_by_class[request_class] = of_class.value_s

    def expected_s(self, method: str, declared_s: float) -> float:
        """Return the mean of a method, the declaration counting as some runs.

        :param declared_s: declared run time, in seconds.
        """
        mean = self._means_by_method.get(method)
        if mean is None:
            return declared_s
        prior = self._settings.prior_runs / (self._settings.prior_runs + mean.runs)
        return prior * declared_s + (1.0 - prior) * mean.value_s
