"""Whether a task that came to nothing is started again, and when.

Load pattern: a store, a failure domain or every target fails at once, and each
failure asks for another start. Without a budget the load is multiplied by the
number of attempts just when least of it can be served (retry storm), and stays
up after the cause is gone.

Grounds: a budget of retries as a share of successes bounds the extra load to
that share in steady state (10% is the figure of the Google SRE book and of
Finagle); starts that never began cost no budget, since they did no work, but
are paced with exponential backoff and full jitter.
"""

import random
from dataclasses import dataclass
from enum import Enum, auto

from cassiaturn.entities import Reason
from cassiaturn.policy._settings import RetrySettings

_MAX_DOUBLINGS = 16


class PreviousRun(Enum):
    """What is known of the start that came to nothing."""

    NEVER_BEGUN = auto()
    """It was refused; nothing ran and nothing will."""

    OVER = auto()
    """It ran and is over."""

    UNKNOWN = auto()
    """It may have run and may still run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Start the task again."""

    delay_s: float
    """When, in seconds from now."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GiveUp:
    """Start it no more."""

    reason: Reason
    """Why."""


class RetryBudget:
    """Retries of one instance."""

    def __init__(self, *, settings: RetrySettings, seed: int = 0) -> None:
        """Make a budget that starts full.

        :param settings: the tunables.
        :param seed: of the jitter; differs between instances.
        """
        self._settings = settings
        self._random = random.Random(seed)
        self._tokens = settings.burst
        self._updated_at: float | None = None

    @property
    def tokens(self) -> float:
        """Retries left."""
        return self._tokens

    def succeeded(self, now: float) -> None:
        """Earn a share of a retry for a task that succeeded."""
        self._earn(self._settings.share, now)

    def reconfigure(self, settings: RetrySettings) -> None:
        """Put other tunables in force; what was learned is kept."""
        self._settings = settings

    def decide(
        self, *, attempt: int, repeatable: bool, previous_run: PreviousRun, now: float
    ) -> Retry | GiveUp:
        """Decide on a task whose start came to nothing.

        :param attempt: earlier starts of the task, this one included.
        :param repeatable: whether it may run again once a run is over.
        :param previous_run: what is known of this start.
        :param now: present time, in seconds.
        """
        settings = self._settings
        if previous_run is PreviousRun.NEVER_BEGUN:
            if attempt >= settings.max_refused:
                return GiveUp(reason=Reason.NO_TARGET)
            return Retry(delay_s=self._delay(attempt))
        # A second start beside a run that may still be going would run the task
        # twice, and its caller would see an order doubled. Being repeatable does
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
