"""Sends changes of the member and target lists from a leader to its followers.

Load pattern: many targets are replaced, or many members join, at once. If each change
sent the full list to each follower, traffic would grow with changes x followers x
targets: the lists would fill the link, orders to targets would time out, and healthy
targets would count as silent. Here each change is sent to each follower once, a newer
state replaces an older one that still waits, and pages are paced so that orders and
answers have the rest of the link.
"""

import time
from collections import deque
from collections.abc import Callable, Mapping

from cassiaturn.entities import TargetReport
from cassiaturn.fleet._announcements import Announcement, Announcements
from cassiaturn.fleet._codec import from_target
from cassiaturn.fleet._digests import Digests, bucket_of
from cassiaturn.fleet._list_pace import ListPace
from cassiaturn.sharing import FitnessOrder, HostCapacity
from cassiaturn.v1 import fleet_pb2 as pb

BATCH_WINDOW_S = 0.05
"""How long changes are batched before they are sent, in seconds: the changes of one
call to the table service, and members that join at once, go into one page. A third of a
heartbeat period, so that a successor has its leader's latest changes before it can
notice the loss of that leader."""

PAGE_ENTRIES = 32
"""Maximum number of entries of a page. A full page takes 3 KB, and delays an answer by
2 ms on a link of 12.5 Mbit/s."""

ENTRY_BYTES = 100
"""Estimated size of an entry, for pacing; corrected by the size that was sent."""


class RosterFeed:
    """The lists of members and targets that a leader sends to its followers."""

    def __init__(self, *, pace: ListPace) -> None:
        """Start empty.

        :param pace: limits when pages may be sent.
        """
        self.pace = pace
        self.digests = Digests()
        self.members_by_id: dict[str, pb.Member] = {}
        self.entries_by_id: dict[str, pb.TargetEntry] = {}
        self.fitness_order = FitnessOrder()
        """Order of the members as leaders, by what each has reported of its host."""

        self.announcements = Announcements(on_confirmed=lambda: None)
        """New targets that some follower does not know yet."""

        self.is_complete = True
        """Whether the leader knows the directory. Until then no follower is told that
        its list is whole: it would have to confirm every target of the fleet before
        that gets a start."""

        self._first_list_digest = 0
        self._cursors_by_id: dict[str, RosterCursor] = {}

    def begin(
        self,
        reports_by_id: Mapping[str, TargetReport],
        *,
        is_complete: bool = True,
        on_confirmed: Callable[[], None] = lambda: None,
    ) -> None:
        """Start a leadership term without followers.

        :param reports_by_id: the known directory of targets.
        :param is_complete: whether it counts as the whole directory; see
            :meth:`note_complete`.
        :param on_confirmed: called when a new target may get its first start.
        """
        self.announcements = Announcements(on_confirmed=on_confirmed)
        self.is_complete = is_complete
        self.digests = Digests()
        self.members_by_id = {}
        self.entries_by_id = {}
        self.fitness_order = FitnessOrder()
        self._cursors_by_id = {}
        for report in reports_by_id.values():
            self.put_target(report)
        self._first_list_digest = self.digests.of_ids

    def note_complete(self) -> None:
        """Record that the leader has read the whole directory."""
        if self.is_complete:
            return
        self.is_complete = True
        for cursor in self._cursors_by_id.values():
            cursor.note_complete()

    def has_list(self, list_digest: int) -> bool:
        """Return whether a member knew the targets that this leader knows.

        :param list_digest: digest of the targets that the member knew. It may have
            learned of one from its leader that this leader lacks.
        """
        return list_digest in (self.digests.of_ids, self._first_list_digest)

    def join(self, hello: pb.Hello, *, on_change: Callable[[], None]) -> "RosterCursor":
        """Add a follower, and tell the others about it.

        :param hello: its first frame, with digests of the targets that it knows.
        :param on_change: called when something waits to be sent to it.
        :returns: the follower's position in the feed.
        """
        member = pb.Member(
            member_id=hello.member_id,
            address=hello.address,
            failure_domain=hello.failure_domain,
            link_mbps=hello.link_mbps,
            cpu_cores=hello.cpu_cores,
        )
        self.members_by_id[member.member_id] = member
        host = HostCapacity.reported(member)
        self.fitness_order = self.fitness_order.including(host)
        self._note_member(member.member_id)
        self._drop_cursor(member.member_id)
        cursor = RosterCursor(feed=self, hello=hello, on_change=on_change)
        self._cursors_by_id[member.member_id] = cursor
        return cursor

    def leave(self, member_id: str) -> None:
        """Remove a follower, and tell the others."""
        self._drop_cursor(member_id)
        if self.members_by_id.pop(member_id, None) is not None:
            self.fitness_order = FitnessOrder.among(
                map(HostCapacity.reported, self.members_by_id.values())
            )
            self._note_member(member_id)

    def put_target(self, report: TargetReport) -> None:
        """Add or replace a directory entry; send it if followers would see a change."""
        entry = from_target(report)
        if not self.digests.put(entry):
            return
        if entry.target_id not in self.entries_by_id:
            self._announce(entry.target_id)
        self.entries_by_id[entry.target_id] = entry
        self._note_target(entry.target_id)

    def remove_target(self, target_id: str) -> None:
        """Remove a target, and tell the followers."""
        if self.digests.remove(target_id):
            del self.entries_by_id[target_id]
            self.announcements.withdraw(target_id)
            self._note_target(target_id)

    def _announce(self, target_id: str) -> None:
        """Have each follower confirm a target whose list would seem whole without."""
        followers = [row for row in self._cursors_by_id.values() if row.confirms_lists]
        self.announcements.begin(target_id, followers)

    def _drop_cursor(self, member_id: str) -> None:
        cursor = self._cursors_by_id.pop(member_id, None)
        if cursor is not None:
            self.announcements.release(cursor)

    def _note_member(self, member_id: str) -> None:
        for cursor in self._cursors_by_id.values():
            cursor.note_member(member_id)

    def _note_target(self, target_id: str) -> None:
        for cursor in self._cursors_by_id.values():
            cursor.note_target(target_id)


class RosterCursor:
    """What one follower has not been sent yet.

    It holds ids, not entries, so that the backlog of a slow follower is bounded by one
    id for each member and target.
    """

    def __init__(
        self, *, feed: RosterFeed, hello: pb.Hello, on_change: Callable[[], None]
    ) -> None:
        """Start with what the follower lacks.

        :param hello: its first frame, with digests of the targets that it knows.
        :param on_change: called when something waits to be sent.
        """
        self.due_at: float | None = None
        """When the next page may be sent, in seconds; None if nothing waits."""

        self.waiting_since = time.monotonic()
        """Since when something waits, in seconds."""

        self._feed = feed
        self._on_change = on_change
        self._differing_buckets = feed.digests.differing(hello.target_digests)
        # Changes are sent before entries that an earlier leader may have sent already.
        self._changed: dict[str, None] = {}
        self._backlog = dict.fromkeys(
            target_id
            for target_id in feed.entries_by_id
            if bucket_of(target_id) in self._differing_buckets
        )
        self._members = dict.fromkeys(feed.members_by_id)
        self._sent_buckets = False
        self._sent_whole = False
        self._confirms_pages = hello.confirms_pages
        self._numbered_pages = 0
        self._unconfirmed: deque[tuple[int, tuple[Announcement, ...]]] = deque()
        """Pages that the follower is to confirm, with the new targets in them."""

        self._reserved_bytes = 0
        self._reserve(delay_s=0.0)

    @property
    def waiting(self) -> int:
        """Number of members and targets that wait to be sent."""
        return len(self._changed) + len(self._backlog) + len(self._members)

    @property
    def is_told_all(self) -> bool:
        """Whether the follower was sent the whole lists, and nothing waits since."""
        return self._sent_whole and not self.waiting

    @property
    def confirms_lists(self) -> bool:
        """Whether the follower was sent the whole lists and confirms what is new."""
        return self._confirms_pages and self._sent_whole

    def confirm(self, number: int) -> None:
        """Record that the follower has read all pages up to a number."""
        while self._unconfirmed and self._unconfirmed[0][0] <= number:
            _, announcements = self._unconfirmed.popleft()
            self._feed.announcements.confirm(announcements, self)

    def note_complete(self) -> None:
        """Send the rest of the lists, or tell that nothing is left."""
        self._reserve(delay_s=0.0)

    def note_member(self, member_id: str) -> None:
        """Queue a member that joined or left."""
        self._members[member_id] = None
        self._reserve(delay_s=BATCH_WINDOW_S)

    def note_target(self, target_id: str) -> None:
        """Queue a target that changed or was removed."""
        self._backlog.pop(target_id, None)
        self._changed[target_id] = None
        self._reserve(delay_s=BATCH_WINDOW_S)

    def next_page(self) -> pb.RosterPage:
        """Return the next page; its entries count as sent."""
        page = pb.RosterPage()
        if not self._sent_buckets:
            page.differing_buckets.extend(sorted(self._differing_buckets))
            self._sent_buckets = True
        left = PAGE_ENTRIES
        for member_id in _pop_oldest(self._members, left):
            self._add_member(page, member_id)
            left -= 1
        for waiting in (self._changed, self._backlog):
            for target_id in _pop_oldest(waiting, left):
                self._add_target(page, target_id)
                left -= 1
        if self._feed.is_complete and not self.waiting and not self._sent_whole:
            page.whole = True
            self._sent_whole = True
        self._ask_to_confirm(page)
        self._feed.pace.correct(page.ByteSize() - self._reserved_bytes)
        self.due_at = None
        if self.waiting:
            self._reserve(delay_s=0.0)
        return page

    def _ask_to_confirm(self, page: pb.RosterPage) -> None:
        ids = (entry.target_id for entry in page.targets)
        announcements = self._feed.announcements.awaited_of(self, ids)
        if announcements:
            self._numbered_pages += 1
            page.number = self._numbered_pages
            self._unconfirmed.append((page.number, announcements))

    def _add_member(self, page: pb.RosterPage, member_id: str) -> None:
        member = self._feed.members_by_id.get(member_id)
        if member is None:
            page.members_gone.append(member_id)
        else:
            page.members.append(member)

    def _add_target(self, page: pb.RosterPage, target_id: str) -> None:
        entry = self._feed.entries_by_id.get(target_id)
        if entry is None:
            page.targets_gone.append(target_id)
        else:
            page.targets.append(entry)

    def _reserve(self, *, delay_s: float) -> None:
        if self.due_at is not None:
            return
        now = time.monotonic()
        self.waiting_since = now
        self._reserved_bytes = min(self.waiting, PAGE_ENTRIES) * ENTRY_BYTES
        self.due_at = max(
            now + delay_s, self._feed.pace.reserve(self._reserved_bytes, now)
        )
        self._on_change()


def _pop_oldest(waiting: dict[str, None], limit: int) -> list[str]:
    """Remove and return the ids that have waited longest, at most ``limit`` of them."""
    taken = [key for key, _ in zip(waiting, range(max(0, limit)), strict=False)]
    for key in taken:
        del waiting[key]
    return taken
