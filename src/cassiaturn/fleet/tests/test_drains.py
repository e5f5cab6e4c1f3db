"""Tests of the drained failure domains that a member believes in force."""

import pytest

from cassiaturn.entities import DrainedDomains
from cassiaturn.fleet._codec import from_drains, to_drains
from cassiaturn.fleet._drains import CurrentDrains


def _drains(version: int, *failure_domains: str) -> DrainedDomains:
    return DrainedDomains(version=version, failure_domains=frozenset(failure_domains))


@pytest.mark.parametrize(
    ("offers", "in_force", "changes"),
    [
        ([], None, 0),
        ([_drains(1)], set(), 1),  # now it is known that none is drained
        ([_drains(1), _drains(2, "a")], {"a"}, 2),
        ([_drains(2, "a"), _drains(1)], {"a"}, 1),  # an older state arrives late
        ([_drains(2, "a"), _drains(2)], {"a"}, 1),
        ([_drains(1, "a"), _drains(5, "a")], {"a"}, 1),  # only the version is newer
        ([_drains(1, "a"), _drains(5, "a"), _drains(4)], {"a"}, 1),
        ([_drains(1, "a", "b"), _drains(2, "b"), _drains(3)], set(), 3),
    ],
)
def test_the_newest_state_is_in_force(
    offers: list[DrainedDomains], in_force: set[str] | None, changes: int
) -> None:
    drains = CurrentDrains()
    received: list[DrainedDomains] = []
    drains.on_change(received.append)
    for offer in offers:
        drains.offer(offer, "store")
    assert drains.failure_domains == in_force
    assert len(received) == changes


@pytest.mark.parametrize("drains", [None, _drains(3), _drains(7, "a", "b")])
def test_drains_survive_their_message(drains: DrainedDomains | None) -> None:
    assert to_drains(from_drains(drains)) == drains
