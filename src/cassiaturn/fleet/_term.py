"""Maintains one term of a member's leadership.

It renews the leader's row, detects a later leader, and raises the token where targets
obey one that no reachable leader holds.
"""

import asyncio
from collections.abc import Coroutine
from collections.abc import Set as AbstractSet
from typing import Any, Protocol, TypeVar

from cassiaturn.fleet._leader import Leader
from cassiaturn.fleet._leader_row import ROW_RENEW_PERIOD_S, LeaderRow
from cassiaturn.fleet._leader_stream import ask_peer
from cassiaturn.fleet._leadership import Leadership, Look
from cassiaturn.fleet._peers import Peers, to_address
from cassiaturn.fleet._service import FleetService
from cassiaturn.fleet._superseded_signal import SupersededSignal
from cassiaturn.observability import Event, log_event

ResultT = TypeVar("ResultT")

PARTITION_SETTLE_S = 0.3
"""Time in which a leader collects silent followers before it decides on which side of
a network partition most of them are, in seconds: two heartbeats."""

CHECKS_BEFORE_RAISE = 1
"""Number of checks after which a leader whose token targets refuse raises it, if no
later leader is found: the second check finds a successor whose claim was in flight."""


class TermMember(Protocol):
    """The leading member, as its term uses it."""

    known_leadership: Leadership | None
    """The latest leadership that it knows of."""

    service: FleetService
    """Serves the members that follow it."""

    @property
    def asked_to_lead(self) -> AbstractSet[str]:
        """Members that it has asked to lead in its place."""

    def next_leadership(self, *, reach: int, terms: int = 1) -> Leadership:
        """Return the leadership that the member would claim now.

        :param reach: number of members that it reaches.
        :param terms: by how many terms to advance.
        """

    def note_reachable_leader(self, leadership: Leadership) -> None:
        """Record the leadership of a member that can be reached."""


class LeaderTerm:
    """Renews the leader's row, and ends when another member leads."""

    def __init__(
        self,
        *,
        leader: Leader,
        member: TermMember,
        row: LeaderRow,
        peers: Peers,
        superseded_signal: SupersededSignal,
    ) -> None:
        """Prepare a claimed term; :meth:`run` maintains it.

        :param superseded_signal: hints that a later leader may exist.
        """
        self._leader = leader
        self._member = member
        self._row = row
        self._peers = peers
        self._superseded_signal = superseded_signal
        self._later_leader_known = asyncio.Event()
        self._silent_members = 0

    def note_silent_member(self) -> None:
        """Record that a follower does not answer."""
        self._silent_members += 1
        self._superseded_signal.signal()

    def note_later_leader(self) -> None:
        """Record that this member has heard of a later leader that it reaches."""
        self._later_leader_known.set()

    async def run(self) -> Leadership:
        """Maintain the term until another member leads.

        :returns: the leadership of that member.
        """
        announcing = asyncio.ensure_future(self._announce(self._leader.leadership))
        try:
            return await self._renew_until_superseded()
        finally:
            announcing.cancel()

    async def _renew_until_superseded(self) -> Leadership:
        """Renew the row until another member leads.

        :returns: the leadership of that member.
        """
        checks = 0
        while True:
            leadership = self._leader.leadership
            holder = await self._unless_superseded(self._row.renew(leadership))
            later_leadership = self._later_leadership
            if later_leadership is not None:
                return later_leadership
            # A later leader that cannot be reached is on the other side of a network
            # partition. It serves that side, and this member goes on to serve this one.
            is_later = holder is not None and holder.token > leadership.token
            # One that was asked to lead is on this side, however late it answers.
            if holder is not None and is_later:
                was_asked = holder.member_id in self._member.asked_to_lead
                if was_asked or await self._is_reachable(holder):
                    return holder
            # Targets refuse this leader, but no later one was read from the row.
            blocked = holder in (leadership, None) and bool(self._leader.superseded_ids)
            checks = checks + 1 if blocked else 0
            if checks > CHECKS_BEFORE_RAISE:
                await self._raise_token(terms=1 << (checks - 2))
            elif blocked and await self._announce(leadership):
                # Check again at once: the row is written only twice a second, and
                # callers wait for targets that obey another leader.
                continue
            if self._silent_members:
                await self._outrank_partition()
            await self._unless_superseded(
                self._superseded_signal.wait(ROW_RENEW_PERIOD_S)
            )

    @property
    def _later_leadership(self) -> Leadership | None:
        """The leadership of a later leader that this member reaches; None: no other."""
        known = self._member.known_leadership
        if known is None or known.token <= self._leader.leadership.token:
            return None
        return known

    async def _unless_superseded(
        self, work: Coroutine[None, None, ResultT]
    ) -> ResultT | None:
        """Wait for something, or until a later leader is known.

        While the table service is silent a renewal takes until its timeout. The jobs of
        all followers would wait for that, since a leader that does not step down still
        has what they need to go on.

        :returns: its result; None if a later leader is known.
        """
        working = asyncio.ensure_future(work)
        told: asyncio.Future[Any] | None = None
        try:
            while not working.done() and self._later_leadership is None:
                self._later_leader_known.clear()
                told = asyncio.ensure_future(self._later_leader_known.wait())
                await asyncio.wait([working, told], return_when=asyncio.FIRST_COMPLETED)
                told.cancel()
            return working.result() if working.done() else None
        finally:
            working.cancel()
            if told is not None:
                told.cancel()

    async def _raise_token(self, terms: int) -> None:
        """Claim a higher token than the one that targets obey and no leader holds.

        A leader that claimed without the table service may have ended before it could
        write the row. Targets would then refuse every order of the next leader forever,
        and no job would run.

        :param terms: by how many terms to advance.
        """
        reach = len(self._member.service.followers)
        claim = self._member.next_leadership(reach=reach, terms=terms)
        holder = await self._row.claim(claim)
        if holder is not None and holder != claim:
            return
        if holder is None and await self._announce(claim):
            # A member leads with a higher token, as the announcement has just shown.
            return
        self._continue_as(claim)

    async def _outrank_partition(self) -> None:
        """Raise the token if some followers are silent but most still answer.

        Followers behind a network partition claim the next term. When the partition
        heals, their leader would take every target away from this one, although this
        one serves more callers.
        """
        await self._unless_superseded(asyncio.sleep(PARTITION_SETTLE_S))
        silent, self._silent_members = self._silent_members, 0
        if self._later_leadership is not None:
            # A claim made now would outrank the successor that was asked to lead.
            return
        remaining = len(self._member.service.followers)
        if remaining > silent:
            self._continue_as(self._member.next_leadership(reach=remaining))

    def _continue_as(self, claim: Leadership) -> None:
        self._member.known_leadership = claim
        self._leader.raise_token(claim)
        self._member.service.send_leadership(claim)
        log_event(Event.LEADER_ELECTED, token=claim.token, term=claim.term, raised=True)

    async def _announce(self, leadership: Leadership) -> bool:
        """Announce a leadership to every known member.

        :returns: whether one of them knows a later leader.
        """
        looks = await self._peers.announce(leadership)
        later = [look.highest for look in looks if look.highest is not None]
        later = [known for known in later if known.token > leadership.token]
        for known in later:
            self._member.note_reachable_leader(known)
        return bool(later)

    async def _is_reachable(self, leadership: Leadership) -> bool:
        look = await ask_peer(to_address(leadership.address), leadership.token)
        return isinstance(look, Look) and look.highest is not None
