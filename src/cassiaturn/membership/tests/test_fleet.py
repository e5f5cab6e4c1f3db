"""Failure detection by all instances in virtual time, and its number of messages."""

import pytest

from cassiaturn.membership import MemberState
from cassiaturn.model import Fleet


@pytest.mark.parametrize(("domains", "size"), [(4, 2), (3, 3), (3, 20)])
def test_all_instances_detect_a_failed_host_and_no_other(
    domains: int, size: int
) -> None:
    """
    One host fails. Its neighbours suspect it and pass the suspicion on; each receiver
    probes the host first. Within 5 s of its last frame every instance must consider
    it gone, and no running instance may be considered gone.
    """
    fleet = Fleet(domains=domains, size=size)
    fleet.run(3.0)
    fleet.down.add("d0-0")
    fleet.run(5.0)

    others = len(fleet.tables_by_id) - 1
    assert len(fleet.believers("d0-0", MemberState.GONE)) == others
    for instance_id in fleet.tables_by_id:
        if instance_id != "d0-0":
            assert len(fleet.believers(instance_id, MemberState.READY)) == others - 1, (
                instance_id
            )


def test_heartbeat_rate_is_bounded_without_failures() -> None:
    """Without a bound, heartbeats would grow with the number of instances."""
    fleet = Fleet(domains=5, size=12)
    fleet.run(5.0)
    sent_before = fleet.sent
    fleet.run(10.0)

    messages_per_s = (fleet.sent - sent_before) / len(fleet.tables_by_id) / 10.0
    assert messages_per_s <= 8 / 0.9 + 0.5
    for instance_id in fleet.tables_by_id:
        assert len(fleet.believers(instance_id, MemberState.READY)) == 59


def test_partitioned_domain_is_ready_again() -> None:
    """
    A failure domain is partitioned off for 20 s, and each side declares the other
    gone. When the partition ends, all must be ready again without a restart.
    """
    fleet = Fleet(domains=3, size=4)
    fleet.run(2.0)
    fleet.cut = {f"d0-{number}" for number in range(4)}
    fleet.run(20.0)
    assert len(fleet.believers("d0-1", MemberState.GONE)) == 8
    assert len(fleet.believers("d1-1", MemberState.GONE)) == 4
    fleet.cut = set()
    fleet.run(8.0)

    for instance_id in fleet.tables_by_id:
        assert len(fleet.believers(instance_id, MemberState.READY)) == 11, instance_id
