"""Which of two leaders goes on when a cut heals."""

import pytest

from cassiaturn.fleet._leadership import next_leadership, outnumbers, reach_of


@pytest.mark.parametrize(
    ("heard", "reach", "goes_on"),
    [
        (21, 6, True),
        (6, 21, False),
        (1, 0, True),
        (0, 0, False),
        # A new leader of everybody: the old one has lost most, but not all, followers.
        (3, 27, False),
        # Halves: the later term leads, as ever.
        (14, 13, False),
        (13, 14, False),
        (28, 13, True),
        (28, 14, False),
    ],
)
def test_only_a_side_twice_as_large_goes_on(
    heard: int, reach: int, goes_on: bool
) -> None:
    later = next_leadership(None, member_id="m/1", address="127.0.0.1:1", reach=reach)
    assert reach_of(later.token) == reach
    assert outnumbers(heard, later) is goes_on


def test_two_leaders_never_outnumber_each_other() -> None:
    """Each names the members that it hears; whoever contests names them anew."""
    for ours in range(40):
        for theirs in range(40):
            claims = [
                next_leadership(None, member_id="m/1", address="127.0.0.1:1", reach=n)
                for n in (ours, theirs)
            ]
            assert not (outnumbers(ours, claims[1]) and outnumbers(theirs, claims[0]))
