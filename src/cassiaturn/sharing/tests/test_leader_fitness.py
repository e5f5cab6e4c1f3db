"""Order of members as leaders, by what their hosts have for leading."""

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiaturn.sharing import FitnessOrder, HostCapacity, relieves_cpu, relieves_link

LINKS_MBPS = (9.5, 12.5, 19.0, 25.0, 38.0, 100.0)

HOSTS = [
    HostCapacity(link_mbps=link_mbps, cpu_cores=cpu_cores)
    for link_mbps in LINKS_MBPS
    for cpu_cores in (0.387, 0.52, 0.774, 1.0, 1.04, 2.0, 2.15)
]

silent_hosts = st.builds(HostCapacity, link_mbps=st.sampled_from(LINKS_MBPS))


def _in_order(listed: list[HostCapacity]) -> list[HostCapacity]:
    return sorted(listed, key=FitnessOrder.among(listed).rank)


@pytest.mark.parametrize(
    "fittest_first",
    [
        [(50.0, 2.15), (100.0, 0.387)],  # a small processor outweighs the wider link
        [(100.0, 1.08), (9.5, 2.15)],  # and a narrow link the larger processor
        [(100.0, 0.387), (9.5, 2.15)],  # both are held back
        [(100.0, 2.0), (100.0, 1.08), (60.0, 2.15)],  # within a factor of two
        [(100.0, 0.0), (60.0, 2.15), (100.0, 0.387)],  # the first reports no processor
    ],
)
def test_members_are_held_back_by_a_factor_of_two(
    fittest_first: list[tuple[float, float]],
) -> None:
    """Guards against a leader of which all orders are late: its host is too small."""
    listed = [
        HostCapacity(link_mbps=link, cpu_cores=cpu) for link, cpu in fittest_first
    ]
    assert _in_order(listed[::-1]) == listed


def test_processor_within_a_factor_of_two_justifies_no_wait() -> None:
    """Guards against callers that wait for a silent member that is hardly fitter."""
    own, silent = (HostCapacity(link_mbps=9.5, cpu_cores=cpu) for cpu in (2.0, 2.15))
    rank = FitnessOrder.among([own, silent]).rank
    assert not rank(silent).is_ahead_by_group_or_link(rank(own))


@given(st.lists(silent_hosts, min_size=1))
def test_order_is_that_of_links_where_no_processor_is_reported(
    listed: list[HostCapacity],
) -> None:
    """Guards against another order of claims than that of the previous version."""
    assert _in_order(listed) == sorted(listed, key=lambda host: -host.link_mbps)


@given(st.floats())
def test_nonsensical_capacity_counts_as_not_reported(value: float) -> None:
    """Guards against one wrong report that holds back, or disorders, all members."""
    host = HostCapacity.reported(HostCapacity(link_mbps=value, cpu_cores=value))
    assert host.cpu_cores == (value if 0.0 < value <= 1_000.0 else 0.0)
    assert host.link_mbps == (value if 0.0 < value < float("inf") else 0.0)


@pytest.mark.parametrize("own", HOSTS)
@pytest.mark.parametrize("relieves", [relieves_cpu, relieves_link])
def test_leadership_returns_to_no_member_that_handed_over(
    relieves: Callable[[HostCapacity, HostCapacity], bool], own: HostCapacity
) -> None:
    """Guards against leadership that alternates among members that are full in turn.

    The product of both capacities rises with each request, so no circle exists.
    """
    for other in HOSTS:
        if relieves(own, other):
            product = other.cpu_cores * other.link_mbps
            assert product > own.cpu_cores * own.link_mbps
