"""Asks other members about a lost leader, and announces a new one to them.

Load pattern: a fleet of a hundred members loses its leader, and all members notice at
the same time. If each asked all others, every host would answer a hundred calls while
the next leader takes over the targets; most calls would time out, and members would
find the new leader only after most callers have given up. So the members that may claim
first also ask first, and only a bounded number of others; the rest wait for the new
leader's announcement.
"""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from cassiaturn.entities import Address
from cassiaturn.fleet._leader_stream import LOOK_TIMEOUT_S, ask_peer
from cassiaturn.fleet._leadership import NO_TOKEN, Leadership, Look, LookFailure
from cassiaturn.fleet._roster import Roster
from cassiaturn.settings import FleetSettings
from cassiaturn.sharing import FitnessOrder, FitnessRank, HostCapacity

MAX_KNOWN_ADDRESSES = 64
"""Addresses of past followers to remember: several times those of a small site."""

EARLIER_ASKED_AT_ONCE = 12
"""Number of members asked at the same time, of those that precede this one in claim
order: more than the hosts with high link bandwidth in a site of a hundred members."""

LATER_ASKED = 12
"""Number of members asked, of those that follow this one in claim order: enough to tell
the larger side of a network partition, and whether any member still hears the
leader."""

EARLY_CLAIMANTS = 8
"""Number of members, the first in claim order of the whole fleet, that ask their peers
without waiting for an announcement."""

EARLY_CLAIMANTS_PER_DOMAIN = 2
"""Number of such members in each failure domain: a domain that is partitioned from the
rest needs a leader, too."""


class ClaimRank(NamedTuple):
    """A member's rank in the order in which members claim; the lowest claims first.

    The members on the fittest hosts come first. A leader sends the orders for all
    callers: a thousand jobs a second take 3 MB a second, twice what a link of 12.5
    Mbit/s carries, and their starts take half a core or more. Orders delayed by a full
    link or processor time out as long as that member leads.
    """

    fitness: FitnessRank
    """Rank of its host among those that are known."""

    address: str
    """Its address for other members, ``host:port``."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerSurvey:
    """What the other members answered about the leader."""

    looks: Sequence[Look]
    """Answers of the members other than the lost leader."""

    leader_answers: bool
    """Whether the lost leader itself answers that it still leads."""

    asked: int
    """Number of members that were asked."""

    members_before: int
    """Number of members that answered and precede this one in claim order."""

    fitter_is_silent: bool
    """Whether a member on a fitter host did not answer in time."""


class Peers:
    """The other members that this one can ask, or announce a leadership to."""

    def __init__(self, *, settings: FleetSettings, roster: Roster) -> None:
        """Start with the seeds from the settings and the members in the roster.

        :param roster: the leader's list of members, updated elsewhere.
        """
        self.last_leader_address = ""
        """Address of the leader that this member last followed; empty if none."""

        self.reachable_members = 0
        """Estimated number of members that this one reaches, by the last answers."""

        self._known_addresses: OrderedDict[str, None] = OrderedDict()
        self._own_address = str(settings.members)
        self._configured_host = HostCapacity.reported(settings)
        self._failure_domain = settings.failure_domain
        self._seeds = frozenset(str(seed) for seed in settings.seeds)
        self._roster = roster

    @property
    def claims_early(self) -> bool:
        """Whether this member is among the first that ask their peers and claim."""
        hosts_by_address = self._hosts_by_address(without=self.last_leader_address)
        order = self._order(hosts_by_address.values())
        own_rank = self._own_rank(order)
        before = [
            member
            for member in self._roster.members
            if _rank(order, member.address, HostCapacity.reported(member)) < own_rank
        ]
        in_domain = [
            member for member in before if member.failure_domain == self._failure_domain
        ]
        return (
            len(before) < EARLY_CLAIMANTS or len(in_domain) < EARLY_CLAIMANTS_PER_DOMAIN
        )

    def note_address(self, address: str) -> None:
        """Remember a member's address, also for when it is no longer reachable."""
        self._known_addresses[address] = None
        self._known_addresses.move_to_end(address)
        if len(self._known_addresses) > MAX_KNOWN_ADDRESSES:
            self._known_addresses.popitem(last=False)

    async def look(
        self, lost: Leadership | None, *, timeout_s: float = LOOK_TIMEOUT_S
    ) -> PeerSurvey:
        """Ask other members, and the lost leader, about the leadership.

        :param lost: the leader that was lost; None if there was none.
        :param timeout_s: longest wait for an answer, in seconds.
        """
        hosts_by_address = self._hosts_by_address(
            without=lost.address if lost is not None else ""
        )
        order = self._order(hosts_by_address.values())
        own_rank = self._own_rank(order)
        ranks = sorted(
            _rank(order, address, host) for address, host in hosts_by_address.items()
        )
        before = [rank.address for rank in ranks if rank < own_rank]
        after = [rank.address for rank in ranks if rank > own_rank]
        others = random.sample(after, min(LATER_ASKED, len(after)))
        token = lost.token if lost is not None else NO_TOKEN
        looks_by_address, lost_answer = await asyncio.gather(
            _ask_all([*before[:EARLIER_ASKED_AT_ONCE], *others], token, timeout_s),
            self._ask_lost_leader(lost, timeout_s),
        )
        # If none of the first members answers, ask the next ones: otherwise each later
        # member would claim as the first.
        asked = EARLIER_ASKED_AT_ONCE
        while asked < len(before) and not self._count_before(
            looks_by_address, hosts_by_address
        ):
            batch = before[asked : asked + EARLIER_ASKED_AT_ONCE]
            looks_by_address |= await _ask_all(batch, token, timeout_s)
            asked += EARLIER_ASKED_AT_ONCE
        answers = [look for look in looks_by_address.values() if isinstance(look, Look)]
        share = len(answers) / max(1, len(looks_by_address))
        self.reachable_members = round(share * len(ranks))
        return PeerSurvey(
            looks=answers,
            leader_answers=_still_leads(lost_answer, lost),
            asked=len(looks_by_address),
            members_before=self._count_before(looks_by_address, hosts_by_address),
            fitter_is_silent=self._is_fitter_silent(looks_by_address, order),
        )

    def _count_before(
        self,
        looks_by_address: Mapping[str, Look | LookFailure],
        hosts_by_address: Mapping[str, HostCapacity],
    ) -> int:
        """Return the number of members that answer and precede this one.

        What a member answers of its host counts only if the leader's lists do not name
        it: every member has got the same lists.
        """
        answered_by_address = {
            address: HostCapacity.reported(look)
            for address, look in looks_by_address.items()
            if isinstance(look, Look)
        }
        known_by_address = answered_by_address | {
            address: host
            for address, host in hosts_by_address.items()
            if host != HostCapacity()
        }
        order = self._order(known_by_address.values())
        own_rank = self._own_rank(order)
        return sum(
            _rank(order, address, known_by_address[address]) < own_rank
            for address in answered_by_address
        )

    def _is_fitter_silent(
        self, looks_by_address: Mapping[str, Look | LookFailure], order: FitnessOrder
    ) -> bool:
        """Return whether a member on a fitter host did not answer in time.

        Less than a factor of two in processor capacity does not justify a wait while
        nobody leads.
        """
        own_fitness = order.rank(self._own_host)
        return any(
            looks_by_address.get(member.address) is LookFailure.SILENT
            and order.rank(HostCapacity.reported(member)).is_ahead_by_group_or_link(
                own_fitness
            )
            for member in self._roster.members
        )

    async def _ask_lost_leader(
        self, lost: Leadership | None, timeout_s: float
    ) -> Look | LookFailure:
        if lost is None or lost.address == self._own_address:
            return LookFailure.REFUSED
        address = to_address(lost.address)
        return await ask_peer(address, lost.token, timeout_s=timeout_s)

    async def announce(self, leadership: Leadership) -> Sequence[Look]:
        """Announce a leadership to every known member; returns their answers."""
        addresses = set(self._hosts_by_address(without=""))
        addresses |= self._known_addresses.keys()
        looks = await asyncio.gather(
            *(
                ask_peer(to_address(address), leadership.token, announced=leadership)
                for address in sorted(addresses - {self._own_address})
            )
        )
        return [look for look in looks if isinstance(look, Look)]

    def _hosts_by_address(self, *, without: str) -> dict[str, HostCapacity]:
        """Return the hosts of the other members by address.

        Those of seeds and of the last leader may be unknown; then they come last.
        """
        hosts_by_address = dict.fromkeys(
            self._seeds | {self.last_leader_address}, HostCapacity()
        )
        hosts_by_address |= {
            member.address: HostCapacity.reported(member)
            for member in self._roster.members
        }
        for address in ("", self._own_address, without):
            hosts_by_address.pop(address, None)
        return hosts_by_address

    @property
    def _own_host(self) -> HostCapacity:
        """The host of this member, as the leader has told all others of it.

        A leader of the previous version tells no processor capacities. A member that
        counted its own alone would precede all others in its own view only.
        """
        for member in self._roster.members:
            if member.address == self._own_address:
                return HostCapacity.reported(member)
        return self._configured_host

    def _order(self, hosts: Iterable[HostCapacity]) -> FitnessOrder:
        """Return the order among other hosts and this member's own."""
        return FitnessOrder.among(hosts).including(self._own_host)

    def _own_rank(self, order: FitnessOrder) -> ClaimRank:
        return _rank(order, self._own_address, self._own_host)


def _rank(order: FitnessOrder, address: str, host: HostCapacity) -> ClaimRank:
    return ClaimRank(order.rank(host), address)


async def _ask_all(
    addresses: Sequence[str], token: int, timeout_s: float
) -> dict[str, Look | LookFailure]:
    looks = await asyncio.gather(
        *(
            ask_peer(to_address(address), token, timeout_s=timeout_s)
            for address in addresses
        )
    )
    return dict(zip(addresses, looks, strict=True))


def _still_leads(lost_answer: Look | LookFailure, lost: Leadership | None) -> bool:
    """Return whether the lost leader answers that it still leads."""
    if not isinstance(lost_answer, Look) or lost_answer.highest is None or lost is None:
        return False
    return lost_answer.hears_leader and lost_answer.highest.member_id == lost.member_id


def to_address(text: str) -> Address:
    """Parse an address from ``host:port``."""
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))
