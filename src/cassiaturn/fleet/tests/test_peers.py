"""Whom a member asks that lost its leader, in a fleet of a hundred members."""

import random
from collections.abc import Callable, Sequence

import pytest

from cassiaturn.entities import Address
from cassiaturn.fleet import _peers
from cassiaturn.fleet._leadership import Look, NoLook
from cassiaturn.fleet._peers import (
    ASKED_AT_ONCE,
    EARLY_MEMBERS,
    EARLY_OF_DOMAIN,
    OTHERS_ASKED,
    Peers,
)
from cassiaturn.fleet._roster import Roster
from cassiaturn.settings import FleetSettings
from cassiaturn.v1 import fleet_pb2 as pb

DOMAINS = ("a", "b", "c", "d", "e", "f")

WIDE = 12
"""Members with wide links, two in each failure domain."""

MEMBERS = [
    pb.Member(
        member_id=f"m{number}",
        address=f"10.0.0.{number}:1",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        link_mbps=100.0 if number < WIDE else 12.5,
    )
    for number in range(96)
]


def _neighbours_of(member: pb.Member) -> Peers:
    roster = Roster()
    others = [other for other in MEMBERS if other is not member]
    roster.take(pb.RosterPage(members=others, whole=True))
    host, _, port = member.address.partition(":")
    address = Address(host=host, port=int(port))
    settings = FleetSettings(
        kind="fleet",
        member_name=member.member_id,
        failure_domain=member.failure_domain,
        callers=address,
        readiness=address,
        members=address,
        metrics=address,
        table_service=address,
        link_mbps=member.link_mbps,
    )
    return Peers(settings=settings, roster=roster)


class _Asked:
    """Answers for every member that a test lets answer, and counts."""

    def __init__(self, answers: Callable[[pb.Member], bool]) -> None:
        self.count = 0
        self._answers = answers
        self._members_by_address = {member.address: member for member in MEMBERS}

    async def ask_peer(
        self, address: Address, token: int, announced: object = None
    ) -> Look | NoLook:
        self.count += 1
        member = self._members_by_address[str(address)]
        if not self._answers(member):
            return NoLook.SILENT
        return Look(hears_leader=False, highest=None, link_mbps=member.link_mbps)


@pytest.fixture
def ask(monkeypatch: pytest.MonkeyPatch) -> Callable[..., _Asked]:
    def patch(answers: Callable[[pb.Member], bool]) -> _Asked:
        asked = _Asked(answers)
        monkeypatch.setattr(_peers, "ask_peer", asked.ask_peer)
        return asked

    return patch


async def _first_to_claim(members: Sequence[pb.Member]) -> list[str]:
    return [
        member.member_id
        for member in members
        if not (await _neighbours_of(member).look(None)).members_before
    ]


@pytest.mark.parametrize("number", [0, 11, 12, 50, 95])
async def test_a_member_asks_a_bounded_number_of_others(
    ask: Callable[..., _Asked], number: int
) -> None:
    """A leader of a hundred members is gone, and each of them asks all others.

    Nine thousand calls in the moment in which the next leader takes its targets: most
    time out, and callers wait for half a second more.
    """
    asked = ask(lambda member: True)
    await _neighbours_of(MEMBERS[number]).look(None)
    assert asked.count <= ASKED_AT_ONCE + OTHERS_ASKED


def test_few_members_look_around_at_once() -> None:
    early = [member for member in MEMBERS if _neighbours_of(member).claims_early]
    assert len(early) <= EARLY_MEMBERS + EARLY_OF_DOMAIN * len(DOMAINS)
    assert {member.failure_domain for member in early} == set(DOMAINS)


async def test_one_member_claims_first_where_all_answer(
    ask: Callable[..., _Asked],
) -> None:
    ask(lambda member: True)
    assert len(await _first_to_claim(MEMBERS)) == 1


async def test_one_member_claims_first_where_every_wide_link_is_gone(
    ask: Callable[..., _Asked],
) -> None:
    """All hosts with wide links lose power; each narrow one takes itself for the first.

    Leaders of one moment take the targets from one another, and nobody is served.
    """
    alive = MEMBERS[2 * WIDE :]
    ask(lambda member: member in alive)
    assert len(await _first_to_claim(alive)) == 1


@pytest.mark.parametrize(("cut_off", "least_right"), [(("a",), 50), (("a", "b"), 45)])
async def test_the_answers_mostly_tell_the_larger_side_of_a_cut(
    ask: Callable[..., _Asked], cut_off: tuple[str, ...], least_right: int
) -> None:
    """Both sides of a cut claim, and at its heal targets obey the higher token.

    With the smaller side's above, most callers' leader would lose every target.
    """
    right = 0
    for seed in range(50):
        random.seed(seed)
        smaller, larger = [
            await _reach_of_first(ask, cut_off, inside) for inside in (True, False)
        ]
        right += smaller < larger
    assert right >= least_right


async def _reach_of_first(
    ask: Callable[..., _Asked], cut_off: tuple[str, ...], inside: bool
) -> int:
    side = [
        member for member in MEMBERS if (member.failure_domain in cut_off) is inside
    ]
    ask(lambda member: member in side)
    peers = _neighbours_of(side[0])
    await peers.look(None)
    return peers.reach
