"""Tests of the choice of the leader when the hosts' processors differ in capacity."""

from cassiaturn.platform.tests.fleet import Fleet

STRONG_CORES = 2.15

WEAK_CORES = 0.387


async def test_strong_member_replaces_a_killed_leader(fleet: Fleet) -> None:
    """Guards against a weak successor whose link is as wide as that of the strong one.

    If addresses gave the order among equal links, any of the members might lead.
    """
    for number in range(2):
        await fleet.add_member(f"weak-{number}", cpu_cores=WEAK_CORES)
    strong = await fleet.add_member("strong", cpu_cores=STRONG_CORES)
    await fleet.until(
        lambda: all(
            len(member.member.known_members) == 5 for member in fleet.followers()
        )
    )
    await fleet.kill(fleet.leader())
    await fleet.until(lambda: fleet.count_reporting_targets() == len(fleet.runners))
    assert fleet.leader() is strong
