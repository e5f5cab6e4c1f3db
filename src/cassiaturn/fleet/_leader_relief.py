"""Asks another member to lead where this leader's host carries the load badly.

Load pattern: after a restart of all members the first process that is back leads, and
later the load grows beyond the link or the processor of the leader's host, while other
hosts have several times its capacity.
"""

import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from cassiaturn.fleet._follower import Follower
from cassiaturn.fleet._leader import Leader
from cassiaturn.fleet._service import FleetService
from cassiaturn.observability import Event, log_event
from cassiaturn.settings import FleetSettings
from cassiaturn.sharing import (
    CpuLoad,
    HostCapacity,
    is_cpu_full,
    is_unfit,
    relieves_cpu,
    relieves_link,
    should_hand_over,
)

HAND_OVER_PAUSE_S = 5.0
"""Minimum pause before another member is asked to lead, in seconds: the member that is
asked drops its stream, and its callers lose their running tasks if it does not lead in
time."""

MILLISECONDS = 1000


class RelievedMember(Protocol):
    """The leading member, as its relief uses it."""

    settings: FleetSettings
    service: FleetService
    leader: Leader | None

    @property
    def is_stopping(self) -> bool:
        """Whether it is stopping, and hands over for that reason."""


class LeaderRelief:
    """Decides when this member, while it leads, asks another one to lead, and which."""

    def __init__(self, *, member: RelievedMember, cpu_load: CpuLoad) -> None:
        """Start without a request.

        :param member: the member that may lead.
        :param cpu_load: how busy its process is.
        """
        self.requests_by_reason: Counter[str] = Counter()
        """Requests to lead since the process started."""

        self._member = member
        self._cpu_load = cpu_load
        self._asked_at = float("-inf")

    def check_load(self, sent_mbps: float) -> None:
        """Ask another member to lead if this host's link or processor is full.

        :param sent_mbps: traffic that this member sends as the leader, in megabits per
            second.
        """
        own = self._own_host
        cpu_load = self._cpu_load
        if is_cpu_full(busy_share=cpu_load.busy_share, late_s=cpu_load.late_s):
            successor = self._choose(lambda other: relieves_cpu(own, other.host))
            if successor is not None:
                self._ask(successor, "processor_full")
        successor = self._choose(lambda other: relieves_link(own, other.host))
        if successor is not None and should_hand_over(
            own_mbps=own.link_mbps,
            used_mbps=sent_mbps,
            widest_mbps=successor.host.link_mbps,
        ):
            self._ask(successor, "link_full", sent_mbps=round(sent_mbps, 2))

    def check_fitness(self) -> None:
        """Ask a much fitter member to lead as soon as it knows what this one knows.

        After a restart of all members, the first process that is back leads, whatever
        its host. Until its processor counts as full, callers have waited for a second
        or more. A successor that was not sent the lists could not tell what runs on the
        targets, and jobs that this leader itself inherited would be held back again.
        """
        own = self._own_host
        leader = self._member.leader
        strongest = HostCapacity(cpu_cores=self._member.service.most_cpu_cores)
        if leader is None or not strongest.has_much_more_cpu_than(own):
            return
        if self._is_pausing or not leader.reports_by_id:
            return
        successor = self._choose(
            lambda other: other.is_informed and is_unfit(own, other.host)
        )
        if successor is not None and not leader.holds_inherited_jobs:
            self._ask(successor, "unfit")

    @property
    def _own_host(self) -> HostCapacity:
        return HostCapacity.reported(self._member.settings)

    @property
    def _is_pausing(self) -> bool:
        return time.monotonic() - self._asked_at < HAND_OVER_PAUSE_S

    def _choose(self, suits: Callable[[Follower], bool]) -> Follower | None:
        """Return the fittest of the members that suit; None if there is none.

        A member whose own processor is full is not asked.
        """
        return self._member.service.choose_successor(
            suits=lambda other: not other.is_cpu_full and suits(other)
        )

    def _ask(self, successor: Follower, reason: str, **details: float) -> None:
        """Ask a member to lead, unless one was asked recently."""
        leader = self._member.leader
        if leader is None or self._member.is_stopping or self._is_pausing:
            return
        self._asked_at = time.monotonic()
        self.requests_by_reason[reason] += 1
        own = self._own_host
        log_event(
            Event.HAND_OVER_ASKED,
            reason=reason,
            member=successor.hello.member_id,
            link_mbps=own.link_mbps,
            cpu_cores=own.cpu_cores,
            busy_share=round(self._cpu_load.busy_share, 3),
            late_ms=round(self._cpu_load.late_s * MILLISECONDS),
            member_mbps=successor.host.link_mbps,
            member_cores=successor.host.cpu_cores,
            **details,
        )
        successor.ask_to_lead(leader.leadership)
