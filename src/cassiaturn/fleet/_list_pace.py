"""When lists may be sent, so that they leave the link to answers and orders."""

LIST_SHARE = 0.1
"""Part of the link that lists may take. Orders to targets take most of it on the hosts
with the narrowest links, and time out after 0.08 s; so much less is not noticed."""

MEGABIT_BYTES = 125_000.0
"""Bytes in a megabit."""


class ListPace:
    """Gives each list a time of its own, one after the other, for all followers.

    Load pattern: a change that every follower must hear of, or many members that join
    at once. Sent to all of them in one moment the lists fill the link, and orders wait
    behind them until they count as lost.
    """

    def __init__(self, *, link_mbps: float) -> None:
        """Leave the rest of a link to others.

        :param link_mbps: width of the host's link, in megabits a second.
        """
        self._bytes_per_s = link_mbps * MEGABIT_BYTES * LIST_SHARE
        self._free_at = float("-inf")

    def reserve(self, size: int, now: float) -> float:
        """Return when a list may be sent, in seconds.

        :param size: about how long it is, in bytes.
        :param now: time in seconds.
        """
        at = max(now, self._free_at)
        self._free_at = at + size / self._bytes_per_s
        return at

    def correct(self, size: int) -> None:
        """Take in by how much a list was longer than expected.

        :param size: in bytes; negative if it was shorter.
        """
        self._free_at += size / self._bytes_per_s
