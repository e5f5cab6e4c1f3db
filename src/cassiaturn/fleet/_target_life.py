"""What a link knows of one process of its target.

Failure: a target starts again under its id. Its clock, the numbers of its ends and the
reports in the directory begin anew, so that a value of the earlier process says nothing
of the new one: an order whose lease ends by the earlier clock stays valid for as long
as the earlier process had been up, and an acknowledgement with an earlier number has
the target forget ends that nobody has read. Here all that compares within one process
only is kept in one place, and replaced with it.
"""

import time
from collections import deque
from dataclasses import dataclass, field

from cassiaturn.fleet._lease_clock import MS_PER_S, LeaseClock
from cassiaturn.fleet._told_ends import ToldEnds
from cassiaturn.workload import CLOCK_DRIFT_RATIO, WorkloadSettings

MAX_EARLIER = 8
"""Number of earlier processes of a target whose late answers are recognized."""


@dataclass(slots=True, kw_only=True, eq=False)
class Grant:
    """A lease that one request grants."""

    until_ms: int
    """Its end by the clock that the target had when the request was made, in
    milliseconds."""

    sent_at: float
    """When the request was sent, on the monotonic clock, in seconds."""

    is_answered: bool = False
    """Whether the request was answered, so that it is not carried out later."""


@dataclass(slots=True, kw_only=True, eq=False)
class TargetLife:
    """State of a link that holds for one process of its target."""

    clock: LeaseClock
    """The target's clock."""

    incarnation: int = 0
    """Tells the process apart from others with the same id; 0: not told."""

    told_ends: ToldEnds = field(default_factory=ToldEnds)
    """Ended runs that may be acknowledged."""

    grants: deque[Grant] = field(default_factory=deque)
    """Leases of the requests sent since the last list that was answered."""

    earlier: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_EARLIER))
    """Incarnations of the processes before it."""

    def grant(self, decided_at: float) -> Grant | None:
        """Return the lease of a request that is sent now.

        :param decided_at: monotonic time from which it counts, in seconds.
        :returns: None if the target's clock is not known yet.
        """
        until_ms = self.clock.lease_end(decided_at)
        if until_ms is None:
            return None
        grant = Grant(until_ms=until_ms, sent_at=time.monotonic())
        self.grants.append(grant)
        return grant

    def note_list(self, asked_at: float) -> None:
        """Record a list of this process: what was sent earlier ends with it.

        :param asked_at: when the list was requested, in seconds.
        """
        while self.grants and self.grants[0].sent_at < asked_at:
            self.grants.popleft()

    def successor(
        self, incarnation: int, clock_ms: int, settings: WorkloadSettings
    ) -> "TargetLife":
        """Return the state for a process that has answered in place of this one.

        A request without an answer that was sent since the new process began may still
        be carried out by it, and is in time until the new clock passes the lease.

        :param clock_ms: the new process's clock, in milliseconds.
        """
        now = time.monotonic()
        slowest = 1.0 - CLOCK_DRIFT_RATIO
        earliest_start = now - clock_ms / MS_PER_S / slowest
        open_until_ms = [
            grant.until_ms
            for grant in self.grants
            if not grant.is_answered and grant.sent_at >= earliest_start
        ]
        clock = LeaseClock(settings=settings)
        left_ms = max(open_until_ms, default=0) - clock_ms
        if left_ms > 0:
            clock.leases_over_at += left_ms / MS_PER_S / slowest
        earlier = deque(self.earlier, maxlen=MAX_EARLIER)
        earlier.append(self.incarnation)
        return TargetLife(clock=clock, incarnation=incarnation, earlier=earlier)
