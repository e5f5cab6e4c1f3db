"""One term of a member's leadership: its row, and signs of a later leader."""

import asyncio
from typing import Protocol

from cassiaturn.fleet._leader import Leader
from cassiaturn.fleet._leader_row import RENEW_ROW_S, LeaderRow
from cassiaturn.fleet._leader_stream import ask_peer
from cassiaturn.fleet._leadership import Leadership, Look
from cassiaturn.fleet._peers import Peers, to_address
from cassiaturn.fleet._service import FleetService
from cassiaturn.fleet._suspicion import Suspicion
from cassiaturn.observability import Event, log_event

CUT_SETTLE_S = 0.3
"""How long a leader waits for further silent followers before it concludes on which
side of a cut most of them are, in seconds: two heartbeats."""

SUPERSEDED_CHECKS = 1
"""Looks without a later leader after which a leader raises its token: a successor
whose claim is on its way is seen by the second one."""


class TermMember(Protocol):
    """What a term needs of the member that leads."""

    known_leadership: Leadership | None
    """The latest leadership that it knows of."""

    service: FleetService
    """Serves those that follow it."""

    def next_leadership(self, *, reach: int, terms: int = 1) -> Leadership:
        """Return the leadership that the member would claim now."""

    def note_reachable_leader(self, leadership: Leadership) -> None:
        """Take in that a member leads that can be reached."""


class LeaderTerm:
    """Keeps the leader's row, and ends when another member leads."""

    def __init__(
        self,
        *,
        leader: Leader,
        member: TermMember,
        row: LeaderRow,
        peers: Peers,
        suspicion: Suspicion,
    ) -> None:
        """Prepare a term that has been claimed; :meth:`run` keeps it.

        :param suspicion: signs that a later leader may be there.
        """
        self._leader = leader
        self._member = member
        self._row = row
        self._peers = peers
        self._suspicion = suspicion
        self._silent_members = 0

    def note_silent_member(self) -> None:
        """Take in that a follower does not answer."""
        self._silent_members += 1
        self._suspicion.signal()

    async def run(self) -> Leadership:
        """Keep the term until another member leads; returns its leadership."""
        announcing = asyncio.ensure_future(self._announce(self._leader.leadership))
        try:
            return await self._renew_until_superseded()
        finally:
            announcing.cancel()

    async def _renew_until_superseded(self) -> Leadership:
        """Write the row until another member leads; returns its leadership."""
        checks = 0
        while True:
            leadership = self._leader.leadership
            known = self._member.known_leadership
            if known is not None and known.token > leadership.token:
                return known
            holder = await self._row.renew(leadership)
            # A later leader that cannot be reached is on the far side of a cut: its
            # side is served by it, and this side by this member.
            is_later = holder is not None and holder.token > leadership.token
            if holder is not None and is_later and await self._is_reachable(holder):
                return holder
            stands = holder in (leadership, None) and bool(self._leader.superseded_ids)
            checks = checks + 1 if stands else 0
            if checks > SUPERSEDED_CHECKS:
                await self._raise_token(terms=1 << (checks - 2))
            elif stands and await self._announce(leadership):
                # The row is written twice a second only, and callers of this side
                # wait for targets that obey somebody else.
                continue
            if self._silent_members:
                await self._outrank_far_side()
            await self._suspicion.wait(RENEW_ROW_S)

    async def _raise_token(self, terms: int) -> None:
        """Overtake a token that targets obey and nobody leads by.

        A leader that claimed without the table service may have ended before it
        could write the row. Targets then refuse every order of the next leader, for
        ever, and callers get nothing.
        """
        reach = len(self._member.service.followers)
        claim = self._member.next_leadership(reach=reach, terms=terms)
        holder = await self._row.claim(claim)
        if holder is not None and holder != claim:
            return
        if holder is None and await self._announce(claim):
            # Somebody leads by a higher token; it was heard of just now.
            return
        self._go_on_as(claim)

    async def _outrank_far_side(self) -> None:
        """Raise the token if followers fell silent and most are still heard.

        Behind a cut they claim the next term. When it heals their leader would take
        every target away from this one, whose callers are more.
        """
        await asyncio.sleep(CUT_SETTLE_S)
        lost, self._silent_members = self._silent_members, 0
        left = len(self._member.service.followers)
        if left > lost:
            self._go_on_as(self._member.next_leadership(reach=left))

    def _go_on_as(self, claim: Leadership) -> None:
        self._member.known_leadership = claim
        self._leader.raise_token(claim)
        self._member.service.send_leadership(claim)
        log_event(Event.LEADER_ELECTED, token=claim.token, term=claim.term, raised=True)

    async def _announce(self, leadership: Leadership) -> bool:
        """Tell every member that is known; returns whether one knows a later leader."""
        looks = await self._peers.announce(leadership)
        later = [look.highest for look in looks if look.highest is not None]
        later = [known for known in later if known.token > leadership.token]
        for known in later:
            self._member.note_reachable_leader(known)
        return bool(later)

    async def _is_reachable(self, leadership: Leadership) -> bool:
        look = await ask_peer(to_address(leadership.address), leadership.token)
        return isinstance(look, Look) and look.highest is not None
