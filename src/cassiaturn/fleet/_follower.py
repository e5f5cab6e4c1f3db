"""A member that follows a leader, as that leader keeps it."""

import asyncio
import time
from dataclasses import dataclass

from cassiaturn.fleet._codec import from_outcome
from cassiaturn.v1 import fleet_pb2 as pb
from cassiaturn.workload import Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedFrame:
    """Something to tell a follower."""

    frame: pb.LeaderFrame
    """What."""

    queued_at: float
    """Since when it waits, in seconds."""


class Follower:
    """A member that follows this leader, over one stream."""

    def __init__(self, *, hello: pb.Hello) -> None:
        """Take on a member.

        :param hello: its first frame.
        """
        self.hello = hello
        self.heard_at = time.monotonic()
        self.routing_version = 0
        self.leaving = False
        self.frames: asyncio.Queue[QueuedFrame] = asyncio.Queue()

    def tell(self, frame: pb.LeaderFrame) -> None:
        """Send a frame after all that wait already."""
        self.frames.put_nowait(QueuedFrame(frame=frame, queued_at=time.monotonic()))

    def outcome(self, job_id: str, outcome: Outcome) -> None:
        """Tell how a job ended."""
        self.tell(pb.LeaderFrame(outcome=from_outcome(job_id, outcome)))
