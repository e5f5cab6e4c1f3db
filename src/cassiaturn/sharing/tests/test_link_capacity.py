"""When a leader asks a member with a wider link to lead."""

import pytest

from cassiaturn.sharing import should_hand_over


@pytest.mark.parametrize(
    ("own_mbps", "used_mbps", "widest_mbps", "expected"),
    [
        (12.5, 9.0, 100.0, True),
        (12.5, 6.2, 100.0, False),  # it carries what is asked of it
        (12.5, 30.0, 24.0, False),  # the other one is not much wider
        (12.5, 30.0, 0.0, False),  # nobody else could lead
    ],
)
def test_a_full_link_is_left_for_a_much_wider_one(
    own_mbps: float, used_mbps: float, widest_mbps: float, expected: bool
) -> None:
    """Orders waited for a narrow link, and timed out, for as long as it led."""
    found = should_hand_over(
        own_mbps=own_mbps, used_mbps=used_mbps, widest_mbps=widest_mbps
    )
    assert found is expected
