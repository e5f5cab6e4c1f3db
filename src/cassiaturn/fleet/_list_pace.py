"""Paces bulk lists to followers, so that answers and orders to targets get through.

Load pattern: a change that every follower must learn of, or many members that join at
once. Sent to all followers at once, the lists fill the link, and orders to targets
queue behind them until they time out and count as lost.

Grounds: lists are large and not urgent, while orders are small and time out after tens
of milliseconds. Spacing the lists out at a fixed fraction of the link delays only them.
"""

LIST_SHARE = 0.1
"""Fraction of the link that lists may use. On hosts with the least bandwidth, orders to
targets use most of the link and time out after 0.08 s; with a tenth less of it, they
still arrive in time."""

MEGABIT_BYTES = 125_000.0
"""Bytes in a megabit."""


class ListPace:
    """Schedules lists one after the other, across all followers."""

    def __init__(self, *, link_mbps: float) -> None:
        """Create a schedule that uses a fixed fraction of the link.

        :param link_mbps: bandwidth of the host's link, in megabits per second.
        """
        self._bytes_per_s = link_mbps * MEGABIT_BYTES * LIST_SHARE
        self._free_at = float("-inf")

    def reserve(self, size: int, now: float) -> float:
        """Reserve link time for a list.

        :param size: estimated size of the list, in bytes.
        :param now: monotonic time in seconds.
        :returns: monotonic time at which the list may be sent, in seconds.
        """
        at = max(now, self._free_at)
        self._free_at = at + size / self._bytes_per_s
        return at

    def correct(self, size: int) -> None:
        """Adjust the schedule once the real size of a list is known.

        :param size: real size less the estimated one, in bytes.
        """
        self._free_at += size / self._bytes_per_s
