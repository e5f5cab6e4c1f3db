"""Decides when a leader sends its configuration to a follower.

Load pattern: operators publish a large configuration, or many members join a new leader
at once. If the leader sent it to each follower at once, 1,400 routes would be 0.25 MB
for each of 28 followers: 4.6 s of a link of 12.5 Mbit/s, during which orders to targets
time out. Every member reads the configuration from the table service itself, so nearly
all have it before a leader could send it; only a follower that stays behind can't reach
the service and needs it from the leader.
"""

import time

from cassiaturn.fleet._list_pace import ListPace
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.v1 import fleet_pb2 as pb

SEND_AFTER_S = 0.4
"""How long a follower may stay behind before it is sent the configuration, in seconds:
the others have it within a tenth of that, and a follower that can't reach the table
service still has it in force 2 s after its publication."""

RESEND_AFTER_S = 1.0
"""How long a document may be in transit before it is sent again, in seconds: 0.25 MB
take 0.2 s on a link of 12.5 Mbit/s."""


class RoutingFeed:
    """The configuration that a leader sends to its followers."""

    def __init__(self, *, routing: CurrentRouting, pace: ListPace) -> None:
        """Send the version in force.

        :param routing: holds the version in force.
        :param pace: limits when documents may be sent.
        """
        self.pace = pace
        self.changed_at = time.monotonic()
        """When the version in force arrived, in seconds."""

        self._routing = routing

    @property
    def version(self) -> int:
        """Version in force; 0 if there is none yet."""
        return self._routing.version

    def note_change(self) -> None:
        """Record that a version came into force."""
        self.changed_at = time.monotonic()

    def document(self) -> pb.RoutingDocument:
        """Return the version in force, as it was published."""
        table = self._routing.current
        if table is None:
            return pb.RoutingDocument()
        return pb.RoutingDocument(version=table.version, document=table.document)


class RoutingCursor:
    """Which version one follower has, and when to send it the one in force."""

    def __init__(self, *, feed: RoutingFeed, follower_version: int) -> None:
        """Start with the version that a follower reports.

        :param follower_version: the version that it has; 0 if none.
        """
        self.joined_at = time.monotonic()
        """When the follower joined, in seconds."""

        self._feed = feed
        self._follower_version = follower_version
        self._sent_version = 0
        self._sent_at = 0.0
        self._reserved_at: float | None = None

    @property
    def due_at(self) -> float | None:
        """When to send the document, in seconds; None if the follower has it."""
        if self._follower_version >= self._feed.version:
            return None
        if self._reserved_at is not None:
            return self._reserved_at
        if self._sent_version == self._feed.version:
            return self._sent_at + RESEND_AFTER_S
        if not self._follower_version:
            # The follower has just started, and refuses callers until it has one.
            return self.joined_at
        return max(self.joined_at, self._feed.changed_at) + SEND_AFTER_S

    def note_follower_version(self, version: int) -> None:
        """Record which version the follower has."""
        self._follower_version = version

    def next_document(self, now: float) -> pb.RoutingDocument | None:
        """Return the document to send now; None if pacing delays it.

        :param now: time in seconds, not before :attr:`due_at`.
        """
        document = self._feed.document()
        if self._reserved_at is None:
            size = document.ByteSize()
            self._reserved_at = self._feed.pace.reserve(size, now)
        if self._reserved_at > now:
            return None
        self._reserved_at = None
        self._sent_version = document.version
        self._sent_at = now
        return document
