"""Even assignment of targets with few moves, and symmetric heartbeat links."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiaturn.membership import holder_of, holders_by_target, links_of

names = st.sets(st.text(min_size=1, max_size=5), min_size=1, max_size=8)


@given(targets=names, instances=names)
def test_no_instance_holds_more_than_its_share(
    targets: set[str], instances: set[str]
) -> None:
    """Instances with the same view must agree, and none may be overloaded."""
    holders = holders_by_target(sorted(targets), sorted(instances))
    again = holders_by_target(sorted(targets)[::-1], sorted(instances)[::-1])

    assert holders == again
    assert set(holders) == targets
    counts = [list(holders.values()).count(one) for one in instances]
    assert max(counts) <= math.ceil(len(targets) / len(instances))


def test_no_holder_without_instances() -> None:
    assert holders_by_target(["a"], []) == {}
    assert holder_of("a", []) is None
    assert holder_of("a", ["x"]) == "x"


@pytest.mark.parametrize(("targets", "instances"), [(8, 3), (6, 2), (24, 9), (280, 70)])
def test_lost_instance_moves_few_other_targets(targets: int, instances: int) -> None:
    """Moving targets between live instances causes avoidable refused starts."""
    target_ids = [f"runner-{number}" for number in range(targets)]
    instance_ids = [f"osu-{number}" for number in range(instances)]
    moved = 0
    for lost in instance_ids:
        before = holders_by_target(target_ids, instance_ids)
        after = holders_by_target(
            target_ids, [one for one in instance_ids if one != lost]
        )
        moved += sum(
            before[one] != after[one] for one in target_ids if before[one] != lost
        )

    assert moved / (targets * instances) < 0.35


@pytest.mark.parametrize(
    ("domains", "size", "near"), [(5, 70, 4), (4, 2, 4), (3, 3, 4)]
)
def test_links_are_few_symmetric_and_connected(
    domains: int, size: int, near: int
) -> None:
    """Without a path of links, a suspicion would not reach every instance."""
    domain_of = {f"d{d}-{n}": f"d{d}" for d in range(domains) for n in range(size)}
    links = {
        one: set(
            links_of(instance_id=one, domains_by_instance=domain_of, near_links=near)
        )
        for one in domain_of
    }

    assert all(one in links[other] for one in links for other in links[one])
    assert max(map(len, links.values())) <= near + domains - 1
    reached = {"d0-0"}
    frontier = ["d0-0"]
    while frontier:
        frontier = [x for one in frontier for x in links[one] if x not in reached]
        reached.update(frontier)
    assert reached == set(domain_of)


def test_domains_of_unequal_size_are_linked() -> None:
    """A pairing by rank alone would leave instances of the larger domain out."""
    domain_of = {"a1": "a", **{f"b{n}": "b" for n in range(5)}}
    links = {
        one: set(links_of(instance_id=one, domains_by_instance=domain_of, near_links=2))
        for one in domain_of
    }

    assert links["a1"] == {f"b{n}" for n in range(5)}
    assert all("a1" in links[f"b{n}"] for n in range(5))
