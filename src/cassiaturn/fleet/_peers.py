"""Other members, wherever this one has heard of them.

Load pattern: a leader of a hundred members is gone, and all of them lose it in one
moment. If each asked all others, every host would answer a hundred calls while the next
leader takes its targets; most calls would time out, and members would find that leader
only after most callers have given up. So the members that may claim first ask first, a
bounded number of others, and the rest wait for the word of the one that leads.
"""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from cassiaturn.entities import Address
from cassiaturn.fleet._leader_stream import ask_peer
from cassiaturn.fleet._leadership import NO_TOKEN, Leadership, Look, NoLook
from cassiaturn.fleet._roster import Roster
from cassiaturn.settings import FleetSettings

MOST_MET = 64
"""Addresses of members that are remembered, several times those of a small site."""

ASKED_AT_ONCE = 12
"""Members that are asked at once, of those that claim before this one: more than the
hosts with wide links of a site of a hundred members."""

OTHERS_ASKED = 12
"""Members that are asked, of those that claim after this one: enough to tell the larger
side of a cut, and whether somebody still hears the leader."""

EARLY_MEMBERS = 8
"""Members that look around at once, of all, in the order in which they claim."""

EARLY_OF_DOMAIN = 2
"""The same of each failure domain: a domain that is cut off needs a leader, too."""


class ClaimPlace(NamedTuple):
    """Place of a member in the order in which members claim; the lowest goes first.

    The widest links come first. A leader sends the orders for all callers: a thousand
    jobs a second are 3 MB a second, twice what a link of 12.5 Mbit/s carries, and
    orders that wait for it time out for as long as that member leads.
    """

    negative_link_mbps: float
    """Width of its host's link, in megabits a second, negated."""

    address: str
    """Where it serves other members, ``host:port``."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerSurvey:
    """What other members say of the leader."""

    looks: Sequence[Look]
    """Answers of others than the lost leader, of those that gave one."""

    leader_answers: bool
    """Whether the lost leader itself says that it leads still."""

    asked: int
    """Members that were asked."""

    members_before: int
    """Members that answer and come before this one in the order in which members
    claim."""

    wider_is_silent: bool
    """Whether a member with a wider link than this one's gave no answer in time."""


class Peers:
    """The members that this one can ask or tell."""

    def __init__(self, *, settings: FleetSettings, roster: Roster) -> None:
        """Know the seeds, and what the leader tells.

        :param roster: kept up to date by whoever follows the leader.
        """
        self.last_leader_address = ""
        """Address of the leader that was followed last."""

        self.reach = 0
        """Members that this one reaches, as the answers to its last look tell."""

        self._met: OrderedDict[str, None] = OrderedDict()
        self._own = ClaimPlace(-settings.link_mbps, str(settings.members))
        self._failure_domain = settings.failure_domain
        self._seeds = frozenset(str(seed) for seed in settings.seeds)
        self._roster = roster

    @property
    def claims_early(self) -> bool:
        """Whether this member is among the first that look around and claim."""
        before = [
            member
            for member in self._roster.members
            if self._place(member.address, member.link_mbps) < self._own
        ]
        in_domain = [
            member for member in before if member.failure_domain == self._failure_domain
        ]
        return len(before) < EARLY_MEMBERS or len(in_domain) < EARLY_OF_DOMAIN

    def note(self, address: str) -> None:
        """Take in where a member serves others, also after a cut from it."""
        self._met[address] = None
        self._met.move_to_end(address)
        if len(self._met) > MOST_MET:
            self._met.popitem(last=False)

    async def look(self, lost: Leadership | None) -> PeerSurvey:
        """Ask other members what they know, and the lost leader.

        :param lost: the leader that was lost; None: there was none.
        """
        places = self._places(without=lost.address if lost is not None else "")
        before = [place.address for place in places if place < self._own]
        after = [place.address for place in places if place > self._own]
        others = random.sample(after, min(OTHERS_ASKED, len(after)))
        token = lost.token if lost is not None else NO_TOKEN
        looks_by_address, own_word = await asyncio.gather(
            _look_at_all([*before[:ASKED_AT_ONCE], *others], token),
            self._ask_lost(lost),
        )
        # Where the first ones are gone, somebody after them claims, and only one.
        asked = ASKED_AT_ONCE
        while asked < len(before) and not self._count_before(looks_by_address):
            wave = before[asked : asked + ASKED_AT_ONCE]
            looks_by_address |= await _look_at_all(wave, token)
            asked += ASKED_AT_ONCE
        answers = [look for look in looks_by_address.values() if isinstance(look, Look)]
        share = len(answers) / max(1, len(looks_by_address))
        self.reach = round(share * len(places))
        return PeerSurvey(
            looks=answers,
            leader_answers=_still_leads(own_word, lost),
            asked=len(looks_by_address),
            members_before=self._count_before(looks_by_address),
            wider_is_silent=self._is_wider_silent(looks_by_address),
        )

    def _count_before(self, looks_by_address: Mapping[str, Look | NoLook]) -> int:
        return sum(
            isinstance(look, Look) and self._place(address, look.link_mbps) < self._own
            for address, look in looks_by_address.items()
        )

    def _is_wider_silent(self, looks_by_address: Mapping[str, Look | NoLook]) -> bool:
        return any(
            looks_by_address.get(member.address) is NoLook.SILENT
            and -member.link_mbps < self._own.negative_link_mbps
            for member in self._roster.members
        )

    async def _ask_lost(self, lost: Leadership | None) -> Look | NoLook:
        if lost is None or lost.address == self._own.address:
            return NoLook.REFUSED
        return await ask_peer(to_address(lost.address), lost.token)

    async def announce(self, leadership: Leadership) -> Sequence[Look]:
        """Tell every member ever met that this one leads; returns what they know."""
        addresses = {place.address for place in self._places(without="")}
        addresses |= self._met.keys()
        looks = await asyncio.gather(
            *(
                ask_peer(to_address(address), leadership.token, announced=leadership)
                for address in sorted(addresses - {self._own.address})
            )
        )
        return [look for look in looks if isinstance(look, Look)]

    def _places(self, *, without: str) -> Sequence[ClaimPlace]:
        """Return the other members in the order in which they claim.

        Of seeds and of the last leader nothing is told; they come last.
        """
        links_by_address = dict.fromkeys(self._seeds | {self.last_leader_address}, 0.0)
        links_by_address |= {
            member.address: member.link_mbps for member in self._roster.members
        }
        for address in ("", self._own.address, without):
            links_by_address.pop(address, None)
        return sorted(
            self._place(address, link_mbps)
            for address, link_mbps in links_by_address.items()
        )

    @staticmethod
    def _place(address: str, link_mbps: float) -> ClaimPlace:
        return ClaimPlace(-link_mbps, address)


async def _look_at_all(
    addresses: Sequence[str], token: int
) -> dict[str, Look | NoLook]:
    looks = await asyncio.gather(
        *(ask_peer(to_address(address), token) for address in addresses)
    )
    return dict(zip(addresses, looks, strict=True))


def _still_leads(own_word: Look | NoLook, lost: Leadership | None) -> bool:
    """Return whether a member says of itself that it leads."""
    if not isinstance(own_word, Look) or own_word.highest is None or lost is None:
        return False
    return own_word.hears_leader and own_word.highest.member_id == lost.member_id


def to_address(text: str) -> Address:
    """Return the address of a ``host:port``."""
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))
