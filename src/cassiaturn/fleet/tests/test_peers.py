"""Tests which peers a member asks about its lost leader, in a fleet of a hundred."""

import random
from collections.abc import Callable, Sequence

import pytest

from cassiaturn.entities import Address
from cassiaturn.fleet import _peers
from cassiaturn.fleet._leadership import Look, LookFailure
from cassiaturn.fleet._peers import (
    EARLIER_ASKED_AT_ONCE,
    EARLY_CLAIMANTS,
    EARLY_CLAIMANTS_PER_DOMAIN,
    LATER_ASKED,
    Peers,
)
from cassiaturn.fleet._roster import Roster
from cassiaturn.settings import FleetSettings
from cassiaturn.v1 import fleet_pb2 as pb

DOMAINS = ("a", "b", "c", "d", "e", "f")

WIDE_LINK_MEMBERS = 12
"""Number of members with high link bandwidth, two in each failure domain."""

MEMBERS = [
    pb.Member(
        member_id=f"m{number}",
        address=f"10.0.0.{number}:1",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        link_mbps=100.0 if number < WIDE_LINK_MEMBERS else 12.5,
    )
    for number in range(96)
]


MIXED_MEMBERS = [pb.Member.FromString(each.SerializeToString()) for each in MEMBERS]
"""Members of which those with high link bandwidth have small processors."""

for mixed in MIXED_MEMBERS:
    mixed.cpu_cores = 0.387 if mixed.link_mbps == 100.0 else 2.15
    mixed.link_mbps = max(mixed.link_mbps, 60.0)


def _peers_of(
    member: pb.Member, members: Sequence[pb.Member] = tuple(MEMBERS)
) -> Peers:
    roster = Roster()
    others = [other for other in members if other is not member]
    roster.apply(pb.RosterPage(members=others, whole=True))
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
        cpu_share=member.cpu_cores or None,
    )
    return Peers(settings=settings, roster=roster)


class _FakePeers:
    """Answers for the members that a test selects, and counts the requests."""

    def __init__(
        self, answers: Callable[[pb.Member], bool], members: Sequence[pb.Member]
    ) -> None:
        self.count = 0
        self._answers = answers
        self._members_by_address = {member.address: member for member in members}

    async def ask_peer(
        self,
        address: Address,
        token: int,
        announced: object = None,
        *,
        timeout_s: float = 0.1,
    ) -> Look | LookFailure:
        self.count += 1
        member = self._members_by_address[str(address)]
        if not self._answers(member):
            return LookFailure.SILENT
        return Look(
            hears_leader=False,
            highest=None,
            link_mbps=member.link_mbps,
            cpu_cores=member.cpu_cores,
        )


@pytest.fixture
def fake_peers(monkeypatch: pytest.MonkeyPatch) -> Callable[..., _FakePeers]:
    def patch(
        answers: Callable[[pb.Member], bool],
        members: Sequence[pb.Member] = tuple(MEMBERS),
    ) -> _FakePeers:
        asked = _FakePeers(answers, members)
        monkeypatch.setattr(_peers, "ask_peer", asked.ask_peer)
        return asked

    return patch


async def _first_to_claim(
    members: Sequence[pb.Member], known: Sequence[pb.Member] = tuple(MEMBERS)
) -> list[str]:
    return [
        member.member_id
        for member in members
        if not (await _peers_of(member, known).look(None)).members_before
    ]


@pytest.mark.parametrize("number", [0, 11, 12, 50, 95])
async def test_member_asks_a_bounded_number_of_peers(
    fake_peers: Callable[..., _FakePeers], number: int
) -> None:
    """A fleet of a hundred members loses its leader, and each member asks all others.

    That makes nine thousand calls while the next leader takes over its targets: most
    time out, and callers wait half a second longer.
    """
    asked = fake_peers(lambda member: True)
    await _peers_of(MEMBERS[number]).look(None)
    assert asked.count <= EARLIER_ASKED_AT_ONCE + LATER_ASKED


def test_few_members_ask_at_once() -> None:
    early = [member for member in MEMBERS if _peers_of(member).claims_early]
    assert len(early) <= EARLY_CLAIMANTS + EARLY_CLAIMANTS_PER_DOMAIN * len(DOMAINS)
    assert {member.failure_domain for member in early} == set(DOMAINS)


async def test_one_member_claims_first_if_all_answer(
    fake_peers: Callable[..., _FakePeers],
) -> None:
    fake_peers(lambda member: True)
    assert len(await _first_to_claim(MEMBERS)) == 1


async def test_one_member_with_a_large_processor_claims_first(
    fake_peers: Callable[..., _FakePeers],
) -> None:
    """Guards against members that claim at once, as each orders them differently."""
    fake_peers(lambda member: True, MIXED_MEMBERS)
    (first,) = await _first_to_claim(MIXED_MEMBERS, MIXED_MEMBERS)
    assert first == MIXED_MEMBERS[WIDE_LINK_MEMBERS].member_id


async def test_one_member_claims_first_after_a_leader_of_the_previous_version(
    fake_peers: Callable[..., _FakePeers],
) -> None:
    """Guards against many claims at once: each member would know its processor alone.

    A leader of the previous version names no processor capacity in its lists.
    """
    fake_peers(lambda member: True)
    first = []
    for listed in MEMBERS:
        member = pb.Member(cpu_cores=2.15)
        member.MergeFrom(listed)
        if not (await _peers_of(member).look(None)).members_before:
            first.append(member.member_id)
    assert first == [MEMBERS[0].member_id]


@pytest.mark.parametrize(("own", "silent"), [(5, 20), (-1, 0)])
async def test_only_a_fitter_member_that_is_silent_counts(
    fake_peers: Callable[..., _FakePeers], own: int, silent: int
) -> None:
    """Guards against callers that wait for a host that would make a worse leader."""
    fake_peers(lambda member: member is not MIXED_MEMBERS[silent], MIXED_MEMBERS)
    survey = await _peers_of(MIXED_MEMBERS[own], MIXED_MEMBERS).look(None)
    assert survey.fitter_is_silent is (silent >= WIDE_LINK_MEMBERS)


async def test_one_member_claims_first_if_all_wide_links_are_gone(
    fake_peers: Callable[..., _FakePeers],
) -> None:
    """All hosts with wide links lose power, and each other member claims as the first.

    Competing leaders take the targets from each other, and nobody is served.
    """
    alive = MEMBERS[2 * WIDE_LINK_MEMBERS :]
    fake_peers(lambda member: member in alive)
    assert len(await _first_to_claim(alive)) == 1


@pytest.mark.parametrize(("cut_off", "least_right"), [(("a",), 50), (("a", "b"), 45)])
async def test_answers_mostly_tell_the_larger_side_of_a_partition(
    fake_peers: Callable[..., _FakePeers], cut_off: tuple[str, ...], least_right: int
) -> None:
    """Both sides of a partition claim; when it heals, targets obey the higher token.

    If that is the smaller side's, the leader of most callers loses every target.
    """
    right = 0
    for seed in range(50):
        random.seed(seed)
        smaller, larger = [
            await _reach_of_first(fake_peers, cut_off, inside)
            for inside in (True, False)
        ]
        right += smaller < larger
    assert right >= least_right


async def _reach_of_first(
    fake_peers: Callable[..., _FakePeers], cut_off: tuple[str, ...], inside: bool
) -> int:
    side = [
        member for member in MEMBERS if (member.failure_domain in cut_off) is inside
    ]
    fake_peers(lambda member: member in side)
    peers = _peers_of(side[0])
    await peers.look(None)
    return peers.reachable_members
