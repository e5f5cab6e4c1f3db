"""Tracks which followers have yet to confirm a target that is new to their leader.

Failure: a leader starts tasks on a target that it has just learned of, and ends before
its successor has that target in its list. The targets that the successor knows have all
reported, so that nothing else seems to run, and it starts these tasks a second time.
Here a new target gets no start until each follower that could conclude so has confirmed
it. A member that stopped following meanwhile shows by its list that it lacks the
target, see :class:`cassiaturn.fleet._roster_feed.RosterFeed`.
"""

import time
from collections.abc import Callable, Hashable, Iterable
from collections.abc import Set as AbstractSet

from cassiaturn.observability import Event, log_event

MILLISECONDS = 1000


class Announcement:
    """One new target, and the followers that have not confirmed it."""

    __slots__ = ("announced_at", "awaited", "target_id")

    def __init__(self, target_id: str, awaited: Iterable[Hashable]) -> None:
        """Announce a target to some followers."""
        self.target_id = target_id
        self.awaited = set(awaited)
        self.announced_at = time.monotonic()


class Announcements:
    """The new targets of a leader that some follower has not confirmed."""

    def __init__(self, *, on_confirmed: Callable[[], None]) -> None:
        """Start without any.

        :param on_confirmed: called when a target may get its first start.
        """
        self._on_confirmed = on_confirmed
        self._by_id: dict[str, Announcement] = {}

    @property
    def unconfirmed_ids(self) -> AbstractSet[str]:
        """Ids of the targets that must not get a start yet; follows all changes."""
        return self._by_id.keys()

    def begin(self, target_id: str, followers: Iterable[Hashable]) -> None:
        """Announce a target; without followers, it counts as confirmed."""
        announcement = Announcement(target_id, followers)
        if announcement.awaited:
            self._by_id[target_id] = announcement
        else:
            self._by_id.pop(target_id, None)

    def withdraw(self, target_id: str) -> None:
        """Forget a target that was removed."""
        self._by_id.pop(target_id, None)

    def awaited_of(
        self, follower: Hashable, target_ids: Iterable[str]
    ) -> tuple[Announcement, ...]:
        """Return the announcements among some targets that a follower is to confirm."""
        found = (self._by_id.get(target_id) for target_id in target_ids)
        return tuple(row for row in found if row and follower in row.awaited)

    def confirm(
        self, announcements: Iterable[Announcement], follower: Hashable
    ) -> None:
        """Record that a follower has some targets in its list."""
        for announcement in announcements:
            announcement.awaited.discard(follower)
            self._end_if_confirmed(announcement)

    def release(self, follower: Hashable) -> None:
        """Stop waiting for a follower that is gone or has begun its list anew."""
        for announcement in list(self._by_id.values()):
            if follower in announcement.awaited:
                self.confirm([announcement], follower)

    def _end_if_confirmed(self, announcement: Announcement) -> None:
        target_id = announcement.target_id
        if announcement.awaited or self._by_id.get(target_id) is not announcement:
            return
        del self._by_id[target_id]
        waited_s = time.monotonic() - announcement.announced_at
        log_event(
            Event.TARGET_CONFIRMED,
            target=target_id,
            waited_ms=round(waited_s * MILLISECONDS),
        )
        self._on_confirmed()
