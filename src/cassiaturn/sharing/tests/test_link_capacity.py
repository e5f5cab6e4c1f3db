"""Hand-over of the lead to a member with a wider link."""

import pytest

from cassiaturn.sharing import should_hand_over


@pytest.mark.parametrize(
    ("own_mbps", "used_mbps", "widest_mbps", "expected"),
    [
        (12.5, 9.0, 100.0, True),
        (12.5, 6.2, 100.0, False),  # the link is not saturated
        (12.5, 30.0, 24.0, False),  # the other link is not wide enough
        (12.5, 30.0, 0.0, False),  # no other member could lead
    ],
)
def test_leader_with_saturated_link_hands_over_to_much_wider_one(
    own_mbps: float, used_mbps: float, widest_mbps: float, expected: bool
) -> None:
    """Otherwise start orders queue for a narrow link and time out while it leads."""
    found = should_hand_over(
        own_mbps=own_mbps, used_mbps=used_mbps, widest_mbps=widest_mbps
    )
    assert found is expected
