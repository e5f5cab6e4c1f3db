"""Time limits of recovery."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class RecoverySettings:
    """Time limits that bound how long a dead home's submissions stay open."""

    fence_retry_s: float = 0.5
    """Delay before a fence is sent again to a target that did not answer, in
    seconds."""

    poll_running_s: float = 0.25
    """Delay before a fence is sent again to a target with a running task, in
    seconds."""

    max_start_within_s: float = 2.0
    """Longest start-by time that any home sets, in seconds after sending."""

    max_lease_s: float = 5.0
    """Longest lease that any home grants, in seconds."""

    keep_s: float = 900.0
    """How long an unused takeover is kept, in seconds."""

    @property
    def latest_end_after_s(self) -> float:
        """Seconds after the end of a home until its last run must have ended."""
        return self.max_start_within_s + self.max_lease_s
