"""Sends a leader's estimates to its followers.

Load pattern: after a change of leader or of many targets, the estimates of hundreds of
targets change within seconds, for dozens of followers. A newer value replaces one that
still waits, and pages are paced, so that orders and answers have the rest of the link.
"""

import time
from collections.abc import Callable, Iterable
from itertools import islice

from cassiaturn.fleet._estimates_codec import put_estimate, put_gone
from cassiaturn.fleet._list_pace import ListPace
from cassiaturn.sharing import EstimateKey, EstimateSummary
from cassiaturn.v1 import fleet_pb2 as pb

PAGE_ENTRIES = 200
"""Maximum number of entries of a page. A full page takes 5 KB, and delays an answer by
4 ms on a link of 9.5 Mbit/s."""

ENTRY_BYTES = 24
"""Estimated size of an entry, for pacing; corrected by the size that was sent."""

LINK_DIVISOR = 2
"""The estimates get this part of the link share of a list. Changes of the directory may
be sent at the same time, and orders to targets need the rest of a narrow link."""


MAX_CACHED_PAGES = 32
"""Number of pages that are kept for other followers: four times those of a fleet of the
design size."""


class EstimatesFeed:
    """The estimates that a leader sends to all its followers."""

    def __init__(self, *, link_mbps: float) -> None:
        """Start without estimates.

        :param link_mbps: bandwidth of the host's link, in megabits per second.
        """
        self.summary = EstimateSummary()
        self.pace = ListPace(link_mbps=link_mbps / LINK_DIVISOR)
        self.sent_entries = 0
        """Number of entries sent, to all followers together."""

        self._cursors_by_id: dict[str, EstimatesCursor] = {}
        self._pages_by_keys: dict[tuple[EstimateKey, ...], pb.Estimates] = {}
        """Pages built since the last update. Most followers are sent the same ones, and
        building one takes far longer than sending it."""

    def begin(self, summary: EstimateSummary) -> None:
        """Start a leadership term without followers.

        :param summary: the estimates to send; the leader updates them.
        """
        for member_id in list(self._cursors_by_id):
            self.leave(member_id)
        self.summary = summary
        self._pages_by_keys = {}

    def join(
        self, member_id: str, *, on_change: Callable[[], None]
    ) -> "EstimatesCursor":
        """Add a follower, which is sent all estimates.

        :param on_change: called when something waits to be sent to it.
        :returns: the follower's position in the feed.
        """
        self.leave(member_id)
        cursor = EstimatesCursor(feed=self, on_change=on_change)
        self._cursors_by_id[member_id] = cursor
        return cursor

    def leave(self, member_id: str) -> None:
        """Remove a follower, and send nothing more on its stream.

        With the estimates of another term, a page would tell that targets are gone.
        """
        cursor = self._cursors_by_id.pop(member_id, None)
        if cursor is not None:
            cursor.clear()

    def note_changed(self, keys: Iterable[EstimateKey]) -> None:
        """Queue estimates that changed or are gone, for every follower.

        Called after each update of the summary, also if nothing changed.
        """
        self._pages_by_keys = {}
        changed = dict.fromkeys(keys)
        if not changed:
            return
        for cursor in self._cursors_by_id.values():
            cursor.note_changed(changed)

    def build_page(self, keys: tuple[EstimateKey, ...]) -> pb.Estimates:
        """Return a page with some estimates, not marked as the last one.

        Ages are those of the time at which the first follower was sent the page; others
        are sent it before the next update, within a second.
        """
        page = self._pages_by_keys.get(keys)
        if page is not None:
            return page
        now = time.monotonic()
        page = pb.Estimates()
        for key in keys:
            estimate = self.summary.estimate(key)
            if estimate is None:
                put_gone(page, key)
            else:
                put_estimate(page, estimate, now)
        if len(self._pages_by_keys) < MAX_CACHED_PAGES:
            self._pages_by_keys[keys] = page
        return page


class EstimatesCursor:
    """What one follower has not been sent yet.

    It holds keys, not values, so that the backlog of a slow follower is bounded by one
    key for each estimate.
    """

    def __init__(self, *, feed: EstimatesFeed, on_change: Callable[[], None]) -> None:
        """Start with all estimates.

        :param on_change: called when something waits to be sent.
        """
        self.due_at: float | None = None
        """When the next page may be sent, in seconds; None if nothing waits."""

        self.waiting_since = time.monotonic()
        """Since when something waits, in seconds."""

        self._feed = feed
        self._on_change = on_change
        self._keys = dict.fromkeys(feed.summary.keys)
        self._reserved_bytes = 0
        if self._keys:
            self._reserve()

    @property
    def waiting(self) -> int:
        """Number of estimates that wait to be sent."""
        return len(self._keys)

    def note_changed(self, keys: dict[EstimateKey, None]) -> None:
        """Queue estimates that changed or are gone."""
        self._keys.update(keys)
        if self.due_at is None:
            self._reserve()
            self._on_change()

    def clear(self) -> None:
        """Send nothing of what waits."""
        self._keys = {}
        self.due_at = None

    def next_page(self) -> pb.Estimates:
        """Return the next page; its entries count as sent."""
        taken = tuple(islice(self._keys, PAGE_ENTRIES))
        for key in taken:
            del self._keys[key]
        page = self._feed.build_page(taken)
        if not self._keys:
            last = pb.Estimates(whole=True)
            last.MergeFrom(page)
            page = last
        self._feed.sent_entries += len(taken)
        self._feed.pace.correct(page.ByteSize() - self._reserved_bytes)
        self.due_at = None
        if self._keys:
            self._reserve()
        return page

    def _reserve(self) -> None:
        now = time.monotonic()
        self.waiting_since = now
        self._reserved_bytes = min(len(self._keys), PAGE_ENTRIES) * ENTRY_BYTES
        self.due_at = self._feed.pace.reserve(self._reserved_bytes, now)
