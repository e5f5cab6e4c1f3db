"""When a leader whose host's link is full asks another member to lead.

Load pattern: all hosts lose power, and the first process that is back leads, whatever
its link carries. Orders for all callers are more than a narrow link carries: they wait
for it, time out, and are sent again, for as long as that member leads.

Grounds: half of what a link carries is seldom passed by orders in time, as they come in
bursts. A link at least twice as wide is worth a change of leader, and no two members
can each be twice as wide as the other, so that the lead does not go back and forth.
"""

FULL_SHARE = 0.5
"""Share of a link from which it counts as full."""

LEAST_GAIN = 2.0
"""Least width of another member's link, as a multiple of the leader's own."""


def should_hand_over(*, own_mbps: float, used_mbps: float, widest_mbps: float) -> bool:
    """Return whether a leader should ask another member to lead.

    :param own_mbps: width of its host's link, in megabits a second.
    :param used_mbps: what leading sends over it, in megabits a second.
    :param widest_mbps: width of the widest link of a member that could lead, in
        megabits a second; 0: there is none.
    """
    is_full = used_mbps >= FULL_SHARE * own_mbps
    return is_full and widest_mbps >= LEAST_GAIN * own_mbps
