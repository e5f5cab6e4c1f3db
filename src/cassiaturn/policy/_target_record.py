"""Health record of one target: its last results and its state."""

from collections import deque
from dataclasses import dataclass
from enum import Enum, auto

from cassiaturn.entities import TaskKey


class HealthState(Enum):
    """Health of a target, which determines how many slots it may use."""

    HEALTHY = auto()
    """All its slots."""

    PROBATION = auto()
    """One slot, until enough tasks have succeeded."""

    EJECTED = auto()
    """No slot."""


@dataclass(slots=True, kw_only=True)
class Running:
    """A task that was started on a target and has not ended."""

    method: str
    """Full method name."""

    started_at: float
    """When its start was sent, in seconds."""


class TargetRecord:
    """Last results of one target, its running tasks and its state."""

    __slots__ = (
        "bad_in_row",
        "ejected_until",
        "ejections",
        "failures",
        "good_in_row",
        "ratios",
        "running_by_key",
        "slots",
        "state",
    )

    def __init__(self, *, slots: int, window: int) -> None:
        self.slots = slots
        self.state = HealthState.HEALTHY
        self.running_by_key: dict[TaskKey, Running] = {}
        self.ratios: deque[float] = deque(maxlen=window)
        self.failures: deque[bool] = deque(maxlen=window)
        self.ejected_until = 0.0
        self.ejections = 0
        self.good_in_row = 0
        self.bad_in_row = 0

    @property
    def allowance(self) -> int:
        """Slots that the state permits."""
        if self.state is HealthState.HEALTHY:
            return self.slots
        return 1 if self.state is HealthState.PROBATION else 0

    def failure_share(self) -> float:
        """Return the share of failures among the last results."""
        if not self.failures:
            return 0.0
        return sum(self.failures) / len(self.failures)

    def record_result(self, is_good: bool) -> None:
        """Count consecutive good or bad results."""
        self.good_in_row = self.good_in_row + 1 if is_good else 0
        self.bad_in_row = 0 if is_good else self.bad_in_row + 1

    def forget_results(self) -> None:
        """Clear the results; those from before an ejection are out of date."""
        self.ratios.clear()
        self.failures.clear()
        self.good_in_row = 0
        self.bad_in_row = 0
