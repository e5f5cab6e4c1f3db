"""Whole fleets in virtual time: who learns of a death, and at what cost."""

import pytest

from cassiaturn.membership import MemberState
from cassiaturn.model import Fleet


@pytest.mark.parametrize(("domains", "size"), [(4, 2), (3, 3), (3, 20)])
def test_everyone_learns_of_a_death_and_of_no_other(domains: int, size: int) -> None:
    """
    One host vanishes. Its neighbours notice, and pass the word on; whoever hears of
    it asks the host first. Within 5 s of its last frame every instance takes it for
    gone, and none is taken for gone that lives.
    """
    fleet = Fleet(domains=domains, size=size)
    fleet.run(3.0)
    fleet.down.add("d0-0")
    fleet.run(5.0)

    others = len(fleet.tables_by_id) - 1
    assert len(fleet.believers("d0-0", MemberState.GONE)) == others
    for one in fleet.tables_by_id:
        if one != "d0-0":
            assert len(fleet.believers(one, MemberState.READY)) == others - 1, one


def test_a_quiet_fleet_stays_within_its_messages() -> None:
    fleet = Fleet(domains=5, size=12)
    fleet.run(5.0)
    before = fleet.sent
    fleet.run(10.0)

    a_second = (fleet.sent - before) / len(fleet.tables_by_id) / 10.0
    assert a_second <= 8 / 0.9 + 0.5
    for one in fleet.tables_by_id:
        assert len(fleet.believers(one, MemberState.READY)) == 59


def test_a_cut_off_domain_comes_back() -> None:
    """
    A failure domain is cut off for 20 s. Each side takes the other for gone and
    goes on; when the cut heals, all are ready again without any restart.
    """
    fleet = Fleet(domains=3, size=4)
    fleet.run(2.0)
    fleet.cut = {f"d0-{number}" for number in range(4)}
    fleet.run(20.0)
    assert len(fleet.believers("d0-1", MemberState.GONE)) == 8
    assert len(fleet.believers("d1-1", MemberState.GONE)) == 4
    fleet.cut = set()
    fleet.run(8.0)

    for one in fleet.tables_by_id:
        assert len(fleet.believers(one, MemberState.READY)) == 11, one
