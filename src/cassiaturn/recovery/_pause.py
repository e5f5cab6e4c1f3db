"""Notices that this process stood still, and holds its starts until it knows.

A process that was stopped longer than the suspicion timeout may have a successor
by the time that it wakes. Its queued starts are then refused by every fenced
target; held, they cost no message, and its callers hear the truth sooner. Safety
does not rest on the hold: fences and start-by times refuse what slips through.
"""

from enum import Enum


class HoldState(Enum):
    """Whether starts may be sent."""

    FREE = "free"
    """Yes."""

    HELD = "held"
    """No: our own takeover row must be read first."""

    BLIND = "blind"
    """The store is unreachable. Starts go on: a successor needs a row there, so
    one that exists was written before the outage, and its fences refuse us."""

    SUPERSEDED = "superseded"
    """Never again as this incarnation: answer ``UNKNOWN`` for what is open, and
    begin a new incarnation."""


class PauseDetector:
    """Compares the times of ticks on the monotonic clock.

    Call :meth:`tick` at the head of every tick, before anything is sent.
    """

    def __init__(self, *, suspicion_timeout_s: float) -> None:
        self._suspicion_timeout_s = suspicion_timeout_s
        self._ticked_at: float | None = None
        self._state = HoldState.FREE

    @property
    def state(self) -> HoldState:
        """Whether starts may be sent."""
        return self._state

    @property
    def may_start(self) -> bool:
        """Whether starts may be sent now."""
        return self._state in _STARTING

    @property
    def must_read(self) -> bool:
        """Whether our own takeover row is to be read now."""
        return self._state in _READING

    def tick(self, now: float) -> HoldState:
        """Note a tick; one that comes too late begins a hold.

        :param now: monotonic time, in seconds. On Linux it goes on through
            SIGSTOP, but not while the host itself sleeps.
        """
        last = self._ticked_at
        self._ticked_at = now
        late = last is not None and now - last > self._suspicion_timeout_s
        if late and self._state is not HoldState.SUPERSEDED:
            self._state = HoldState.HELD
        return self._state

    def own_row_read(self, *, present: bool) -> HoldState:
        """Report whether a takeover row of this incarnation exists.

        :param present: whether the store holds one.
        """
        if present:
            self._state = HoldState.SUPERSEDED
        elif self._state is not HoldState.SUPERSEDED:
            self._state = HoldState.FREE
        return self._state

    def store_unreachable(self) -> HoldState:
        """Report that the row could not be read; it is still to be read."""
        if self._state is HoldState.HELD:
            self._state = HoldState.BLIND
        return self._state


_STARTING = frozenset({HoldState.FREE, HoldState.BLIND})
_READING = frozenset({HoldState.HELD, HoldState.BLIND})
