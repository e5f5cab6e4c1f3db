"""When a leader hands its configuration on to a follower.

Load pattern: operators publish a large configuration, or members join a new leader,
many at once. Every member reads the configuration from the table service by itself, so
that nearly all have it before a leader could send it. Sent to each follower at once,
1,400 routes are 0.25 MB for each of 28: 4.6 s of a link of 12.5 Mbit/s, in which orders
to targets time out. Only a follower that stays behind is cut off from the service.
"""

import time

from cassiaturn.fleet._list_pace import ListPace
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.v1 import fleet_pb2 as pb

HAND_ON_AFTER_S = 0.4
"""How long a follower may stay behind before it is sent the configuration, in seconds:
the others have it within a tenth of that, and it is in force 2 s after its publication
at one that is cut off, too."""

AGAIN_S = 1.0
"""How long a document may be under way before it is sent again, in seconds: 0.25 MB
take 0.2 s on a link of 12.5 Mbit/s."""


class RoutingFeed:
    """The configuration that followers are to have."""

    def __init__(self, *, routing: CurrentRouting, pace: ListPace) -> None:
        """Hand on what a keeper holds.

        :param pace: when documents may be sent.
        """
        self.pace = pace
        self.changed_at = time.monotonic()
        """When the version in force came, in seconds."""

        self._routing = routing

    @property
    def version(self) -> int:
        """Version in force; 0: none yet."""
        return self._routing.version

    def note_change(self) -> None:
        """Take in that a version has come into force."""
        self.changed_at = time.monotonic()

    def document(self) -> pb.RoutingDocument:
        """Return the version in force, as it was published."""
        table = self._routing.current
        if table is None:
            return pb.RoutingDocument()
        return pb.RoutingDocument(version=table.version, document=table.document)


class RoutingCursor:
    """What one follower has of it, as far as is known."""

    def __init__(self, *, feed: RoutingFeed, reported: int) -> None:
        """Begin with what a follower says.

        :param reported: version that it has; 0: none.
        """
        self.since = time.monotonic()
        """Since when the follower is known, in seconds."""

        self._feed = feed
        self._reported = reported
        self._sent_version = 0
        self._sent_at = 0.0
        self._reserved_at: float | None = None

    @property
    def due_at(self) -> float | None:
        """When the document is to be sent, in seconds; None: the follower has it."""
        if self._reported >= self._feed.version:
            return None
        if self._reserved_at is not None:
            return self._reserved_at
        if self._sent_version == self._feed.version:
            return self._sent_at + AGAIN_S
        if not self._reported:
            # It has just started and refuses callers until it has a configuration.
            return self.since
        return max(self.since, self._feed.changed_at) + HAND_ON_AFTER_S

    def report(self, version: int) -> None:
        """Take in which version the follower has."""
        self._reported = version

    def next_document(self, now: float) -> pb.RoutingDocument | None:
        """Return what is to be sent now; None: it is to wait for its turn.

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
