"""Times of recovery."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class RecoverySettings:
    """Times that bound how long a dead home's submissions stay open."""

    fence_retry_s: float = 0.5
    """Pause before a target that did not answer a fence is asked again."""

    poll_running_s: float = 0.25
    """Pause before a target with a running task is asked again."""

    max_start_within_s: float = 2.0
    """Longest start-by time that any home gives, in seconds."""

    max_lease_s: float = 5.0
    """Longest lease that any home gives, in seconds."""

    keep_s: float = 900.0
    """How long a takeover that nobody asks about is kept, in seconds."""

    @property
    def over_after_s(self) -> float:
        """Time after a home's end in which its last run must have ended."""
        return self.max_start_within_s + self.max_lease_s
