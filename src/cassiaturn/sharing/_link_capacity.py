"""Decides when a leader on a saturated link transfers leadership to another member.

Load pattern: all hosts lose power, and the first process that is back becomes the
leader, whatever the capacity of its link. Start orders for all callers can exceed a
narrow link. Without a transfer they queue for the link, time out and are sent again for
as long as that member is the leader.

Grounds: orders come in bursts, so a link on which they are in time seldom carries more
than half of its capacity. A link at least twice as wide justifies a change of leader.
No two members can each have twice the width of the other, so leadership does not
alternate between them.
"""

SATURATED_LINK_SHARE = 0.5
"""Share of its capacity in use from which a link counts as saturated."""

MIN_WIDTH_RATIO = 2.0
"""Minimum width of another member's link, as a multiple of the leader's own."""


def should_hand_over(*, own_mbps: float, used_mbps: float, widest_mbps: float) -> bool:
    """Return whether a leader should ask another member to lead.

    :param own_mbps: capacity of its host's link, in megabits per second.
    :param used_mbps: traffic that it sends as the leader, in megabits per second.
    :param widest_mbps: capacity of the widest link of a member that could lead, in
        megabits per second; 0: there is none.
    """
    is_saturated = used_mbps >= SATURATED_LINK_SHARE * own_mbps
    return is_saturated and widest_mbps >= MIN_WIDTH_RATIO * own_mbps
