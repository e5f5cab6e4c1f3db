"""Detects pauses of this process and holds starts until its takeover row is read.

A process that was paused for longer than the suspicion timeout may have a successor
when it resumes. Fenced targets then refuse the starts that it has queued; holding
them saves these messages, and callers get a correct answer sooner. Safety does not
depend on the hold: targets refuse starts that are sent anyway, because of the fence
or because the start-by time has passed.
"""

from enum import Enum


class HoldState(Enum):
    """Whether starts may be sent."""

    FREE = "free"
    """Starts may be sent."""

    HELD = "held"
    """Starts are held until the takeover row of this incarnation is read."""

    BLIND = "blind"
    """The store is unreachable, and starts may be sent. A successor needs a row in the
    store; if there is one, it was written before the outage, and fenced targets
    refuse the starts of this incarnation."""

    SUPERSEDED = "superseded"
    """A successor exists. This incarnation must send no more starts, answer
    ``UNKNOWN`` for open submissions, and be replaced by a new incarnation."""


class PauseDetector:
    """Detects pauses from the monotonic time between ticks.

    Call :meth:`tick` at the start of every tick, before anything is sent.
    """

    def __init__(self, *, suspicion_timeout_s: float) -> None:
        self._suspicion_timeout_s = suspicion_timeout_s
        self._ticked_at: float | None = None
        self._state = HoldState.FREE

    @property
    def state(self) -> HoldState:
        """Current hold state."""
        return self._state

    @property
    def may_start(self) -> bool:
        """Whether starts may be sent now."""
        return self._state in _START_ALLOWED

    @property
    def must_read(self) -> bool:
        """Whether the takeover row of this incarnation must be read now."""
        return self._state in _READ_REQUIRED

    def tick(self, now: float) -> HoldState:
        """Record a tick; a late one starts a hold.

        :param now: monotonic time, in seconds. On Linux this clock keeps running
            during SIGSTOP, but not while the host is suspended.
        """
        last = self._ticked_at
        self._ticked_at = now
        late = last is not None and now - last > self._suspicion_timeout_s
        if late and self._state is not HoldState.SUPERSEDED:
            self._state = HoldState.HELD
        return self._state

    def own_row_read(self, *, present: bool) -> HoldState:
        """Record whether a takeover row of this incarnation exists.

        :param present: whether the store holds one.
        """
        if present:
            self._state = HoldState.SUPERSEDED
        elif self._state is not HoldState.SUPERSEDED:
            self._state = HoldState.FREE
        return self._state

    def store_unreachable(self) -> HoldState:
        """Record that the row could not be read; it must still be read later."""
        if self._state is HoldState.HELD:
            self._state = HoldState.BLIND
        return self._state


_START_ALLOWED = frozenset({HoldState.FREE, HoldState.BLIND})
_READ_REQUIRED = frozenset({HoldState.HELD, HoldState.BLIND})
