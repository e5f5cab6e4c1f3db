"""Decides whether and when a failed task is started again.

Load pattern: a store, a failure domain or all targets fail at once, and each
failed task is due to be started again. Without a budget the load is multiplied by
the number of attempts just when capacity is lowest (retry storm), and it stays high
after the cause is gone.

Grounds: a retry budget as a ratio of the successes bounds the extra load to that
ratio in steady state (the Google SRE book and Finagle use 10%). Refused starts cost
no budget, because they did no work, but are delayed with exponential backoff and
equal jitter.
"""

import random
from dataclasses import dataclass
from enum import Enum, auto

from cassiaturn.entities import Reason
from cassiaturn.policy._settings import RetrySettings

_MAX_DOUBLINGS = 16


class PreviousRun(Enum):
    """What is known about the last start of a task that has no result."""

    NEVER_BEGUN = auto()
    """It was refused; the task did not run and will not."""

    OVER = auto()
    """The run has ended."""

    UNKNOWN = auto()
    """The task may have run and may still be running."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Start the task again."""

    delay_s: float
    """Delay until the start, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GiveUp:
    """Do not start the task again."""

    reason: Reason
    """Cause of failure to report."""


class RetryBudget:
    """Token bucket that limits the retries of one instance."""

    def __init__(self, *, settings: RetrySettings, seed: int = 0) -> None:
        """Make a full budget.

        :param settings: retry settings.
        :param seed: seed of the jitter; must differ between instances.
        """
        self._settings = settings
        self._random = random.Random(seed)
        self._tokens = settings.burst
        self._updated_at: float | None = None

    @property
    def tokens(self) -> float:
        """Retries left in the budget."""
        return self._tokens

    def succeeded(self, now: float) -> None:
        """Add the share of a retry that one successful task earns."""
        self._earn(self._settings.share, now)

    def reconfigure(self, settings: RetrySettings) -> None:
        """Replace the settings; the retries left are kept."""
        self._settings = settings

    def decide(
        self, *, attempt: int, repeatable: bool, previous_run: PreviousRun, now: float
    ) -> Retry | GiveUp:
        """Decide on a task whose last start brought no result.

        :param attempt: number of starts so far, the last one included.
        :param repeatable: whether the task may run again after a run has ended.
        :param previous_run: what is known about the last start.
        :param now: present time, in seconds.
        """
        settings = self._settings
        if previous_run is PreviousRun.NEVER_BEGUN:
            if attempt >= settings.max_refused:
                return GiveUp(reason=Reason.NO_TARGET)
            return Retry(delay_s=self._delay(attempt))
        # A second start while the first run may still continue would run the task
        # twice, with a duplicate effect such as a second order. Being repeatable does
        # not help: it only permits runs one after another.
        if previous_run is PreviousRun.UNKNOWN:
            return GiveUp(reason=Reason.TARGET_LOST)
        if not repeatable or attempt >= settings.max_attempts:
            return GiveUp(reason=Reason.TASK_FAILED)
        self._earn(0.0, now)
        if self._tokens < 1.0:
            return GiveUp(reason=Reason.TASK_FAILED)
        self._tokens -= 1.0
        return Retry(delay_s=self._delay(attempt))

    def _earn(self, tokens: float, now: float) -> None:
        settings = self._settings
        if self._updated_at is not None:
            tokens += max(now - self._updated_at, 0.0) * settings.trickle_per_s
        self._updated_at = now
        self._tokens = min(self._tokens + tokens, settings.burst)

    def _delay(self, attempt: int) -> float:
        settings = self._settings
        doublings = min(max(attempt - 1, 0), _MAX_DOUBLINGS)
        ceiling_s = min(
            settings.first_delay_s * float(1 << doublings), settings.max_delay_s
        )
        return ceiling_s * self._random.uniform(0.5, 1.0)
