"""A member that follows a leader, as that leader keeps it."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from cassiaturn.fleet._codec import from_outcome
from cassiaturn.fleet._roster_feed import RosterFeed
from cassiaturn.fleet._routing_feed import RoutingCursor, RoutingFeed
from cassiaturn.sharing import TransitDelay
from cassiaturn.v1 import fleet_pb2 as pb
from cassiaturn.workload import Outcome

HEARTBEAT_S = 0.15
"""Period of heartbeats in both directions, in seconds: three of them fit into the
time after which a leader counts as lost."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedFrame:
    """Something to tell a follower."""

    frame: pb.LeaderFrame
    """What."""

    queued_at: float
    """Since when it waits, in seconds."""


class Follower:
    """A member that follows this leader, over one stream.

    What callers wait for goes first, and there is at most one answer to each of the
    member's open jobs. Lists are made when it is their time, from what holds then: a
    member that reads slowly is owed one page at a time, however much changes meanwhile.
    """

    def __init__(
        self, *, hello: pb.Hello, feed: RosterFeed, routing: RoutingFeed
    ) -> None:
        """Take on a member.

        :param hello: its first frame.
        :param feed: which members and targets every follower is to know.
        :param routing: the configuration that it is to have.
        """
        self.hello = hello
        self.heard_at = time.monotonic()
        self.leaving = hello.leaving
        self.transit = TransitDelay()
        self._frames: deque[QueuedFrame] = deque()
        self._wake = asyncio.Event()
        self._roster = feed.join(hello, on_change=self._wake.set)
        self._routing = RoutingCursor(feed=routing, reported=hello.routing_version)

    @property
    def waiting(self) -> int:
        """Frames that wait, and entries of lists."""
        return len(self._frames) + self._roster.waiting

    def tell(self, frame: pb.LeaderFrame) -> None:
        """Send a frame after all that wait already, and before any list."""
        self._frames.append(QueuedFrame(frame=frame, queued_at=time.monotonic()))
        self._wake.set()

    def note_routing(self, version: int | None = None) -> None:
        """Take in that a version came into force, here or at the follower.

        :param version: that of the follower; None: it came into force here.
        """
        if version is not None:
            self._routing.report(version)
        self._wake.set()

    def taken_in(self, job_id: str) -> None:
        """Tell that a job is started once it is confirmed."""
        message = pb.JobConfirmation(job_id=job_id)
        self.tell(pb.LeaderFrame(taken_in=message))

    def outcome(self, job_id: str, outcome: Outcome) -> None:
        """Tell how a job ended."""
        self.tell(pb.LeaderFrame(outcome=from_outcome(job_id, outcome)))

    async def next_frame(self, beat: Callable[[], pb.LeaderBeat]) -> QueuedFrame:
        """Wait for something to send; a heartbeat if there is nothing for long.

        :param beat: returns the heartbeat.
        """
        beat_at = time.monotonic() + HEARTBEAT_S
        while not self._frames:
            now = time.monotonic()
            listed = self._next_list(now)
            if listed is not None:
                return listed
            if beat_at <= now:
                return QueuedFrame(frame=pb.LeaderFrame(beat=beat()), queued_at=now)
            self._wake.clear()
            due_at = [beat_at, self._roster.due_at, self._routing.due_at]
            wait_s = min(at for at in due_at if at is not None) - now
            try:
                async with asyncio.timeout(wait_s):
                    await self._wake.wait()
            except TimeoutError:
                continue
        return self._frames.popleft()

    def _next_list(self, now: float) -> QueuedFrame | None:
        """Return a list whose time has come."""
        due_at = self._roster.due_at
        if due_at is not None and due_at <= now:
            since = self._roster.since
            frame = pb.LeaderFrame(roster=self._roster.next_page())
            return QueuedFrame(frame=frame, queued_at=since)
        due_at = self._routing.due_at
        if due_at is not None and due_at <= now:
            document = self._routing.next_document(now)
            if document is not None:
                frame = pb.LeaderFrame(routing=document)
                return QueuedFrame(frame=frame, queued_at=due_at)
        return None
