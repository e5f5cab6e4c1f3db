"""Decides what a leader sends next on the stream to one follower."""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cassiaturn.entities import TaskRef
from cassiaturn.fleet._codec import from_completed, from_leadership, from_outcome
from cassiaturn.fleet._done_tasks import to_message
from cassiaturn.fleet._estimates_feed import EstimatesFeed
from cassiaturn.fleet._leadership import Leadership
from cassiaturn.fleet._roster_feed import RosterFeed
from cassiaturn.fleet._routing_feed import RoutingCursor, RoutingFeed
from cassiaturn.fleet._told_ends import Receipt
from cassiaturn.sharing import FitnessRank, HostCapacity, TransitDelay, is_cpu_full
from cassiaturn.v1 import fleet_pb2 as pb
from cassiaturn.workload import Outcome

MILLISECONDS = 1000

HEARTBEAT_S = 0.15
"""Heartbeat period in both directions, in seconds: three of them fit into the silence
after which a leader counts as lost."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedFrame:
    """A frame to send to a follower."""

    frame: pb.LeaderFrame
    """The frame."""

    queued_at: float
    """Since when it waits, on the monotonic clock, in seconds."""

    receipt: Receipt | None = None
    """Settled once the frame was written; None if nobody waits for that."""


class Follower:
    """A member that follows this leader, over one stream.

    Frames that callers wait for go first; there is at most one answer to each of the
    member's open jobs. Pages of lists are built when they are due, from the state at
    that time, so at most one page at a time waits for a member that reads slowly,
    however much changes meanwhile.
    """

    def __init__(
        self,
        *,
        hello: pb.Hello,
        feed: RosterFeed,
        routing: RoutingFeed,
        estimates: EstimatesFeed | None = None,
    ) -> None:
        """Accept a member as a follower.

        :param hello: its first frame.
        :param feed: the members and targets that every follower is told of.
        :param routing: the configuration that every follower must have.
        :param estimates: what the leader has learned; None: it is not shared.
        """
        self.hello = hello
        self.host = HostCapacity.reported(hello)
        self.heard_at = time.monotonic()
        self.leaving = hello.leaving
        self.is_gone = False
        self.transit = TransitDelay()
        self._is_cpu_full = False
        self._is_heartbeat_due = False
        self._heartbeat_by = float("inf")
        """Monotonic time by which a heartbeat goes out whatever other frames do."""

        self._receipts: set[Receipt] = set()
        self._done_by_job: dict[str, set[TaskRef]] = {}
        self._ended_jobs: list[str] = []
        self._cancelled_jobs: list[str] = []
        self._done_receipt: Receipt | None = None
        self._frames: deque[QueuedFrame] = deque()
        self._wake = asyncio.Event()
        self._feed = feed
        self._roster = feed.join(hello, on_change=self._wake.set)
        self._routing = RoutingCursor(
            feed=routing, follower_version=hello.routing_version
        )
        self._estimates = None
        if estimates is not None:
            self._estimates = estimates.join(hello.member_id, on_change=self._wake.set)

    @property
    def keeper_rank(self) -> tuple[bool, FitnessRank, str]:
        """Rank as the keeper of finished tasks; the lowest is the likeliest successor.

        Members claim the leadership in this order.
        """
        fitness = self._feed.fitness_order.rank(self.host)
        return (self.leaving, fitness, self.hello.address)

    @property
    def is_informed(self) -> bool:
        """Whether the member was sent all lists and has the configuration in force."""
        return self._roster.is_told_all and self._routing.due_at is None

    @property
    def is_cpu_full(self) -> bool:
        """Whether its processor is full, by its last heartbeat."""
        return self._is_cpu_full

    @property
    def confirms_targets(self) -> bool:
        """Whether no target gets a start that the member could miss in its list."""
        return self._roster.confirms_lists

    def note_confirmed_page(self, number: int) -> None:
        """Record up to which page of the lists the member has confirmed them."""
        self._roster.confirm(number)

    def note_load(self, beat: pb.FollowerBeat) -> None:
        """Record how busy the member is; an earlier version reports nothing."""
        self._is_cpu_full = is_cpu_full(
            busy_share=beat.cpu_used, late_s=beat.late_ms / MILLISECONDS
        )

    @property
    def answers_pauses(self) -> bool:
        """Whether the member answers the question that follows a pause."""
        return self.hello.answers_pauses

    @property
    def waiting(self) -> int:
        """Number of frames and list entries that wait to be sent.

        Estimates do not count: a successor can lead without them, so that a leader that
        stops does not wait until they were sent.
        """
        return len(self._frames) + self._roster.waiting

    def enqueue(self, frame: pb.LeaderFrame, *, receipt: Receipt | None = None) -> None:
        """Queue a frame behind the frames that wait already, and ahead of any list.

        :param receipt: set once the frame was written.
        """
        queued = QueuedFrame(frame=frame, queued_at=time.monotonic(), receipt=receipt)
        self._frames.append(queued)
        self._wake.set()

    def close(self) -> None:
        """Settle the receipts of all frames: the member is gone."""
        self.is_gone = True
        receipts, self._receipts = self._receipts, set()
        for receipt in receipts:
            receipt.settle()

    def note_written(self, queued: QueuedFrame) -> None:
        """Settle the receipt of a frame that was written to the connection."""
        if queued.receipt is not None:
            self._receipts.discard(queued.receipt)
            queued.receipt.settle()

    def _enqueue_with_receipt(self, frame: pb.LeaderFrame) -> Receipt:
        receipt = self._new_receipt()
        self.enqueue(frame, receipt=receipt)
        return receipt

    def _new_receipt(self) -> Receipt:
        receipt = Receipt()
        if self.is_gone:
            receipt.settle()
        else:
            self._receipts.add(receipt)
        return receipt

    def send_heartbeat(self) -> None:
        """Send a heartbeat at once, ahead of all other frames."""
        self._is_heartbeat_due = True
        self._wake.set()

    def request_heartbeat(self) -> None:
        """Send a heartbeat within a period, also if other frames would defer it.

        It wakes nobody: waking hundreds of streams at once holds up the leader.
        """
        self._heartbeat_by = min(self._heartbeat_by, time.monotonic() + HEARTBEAT_S)

    def note_routing(self, version: int | None = None) -> None:
        """Record that a configuration came into force, here or at the follower.

        :param version: the follower's version; None: it came into force here.
        """
        if version is not None:
            self._routing.note_follower_version(version)
        self._wake.set()

    def ask_to_lead(self, leadership: Leadership) -> None:
        """Ask the follower to lead.

        :param leadership: the leadership that it is to succeed.
        """
        self.enqueue(pb.LeaderFrame(hand_over=from_leadership(leadership)))

    def send_unheard(self, target_ids: Iterable[str]) -> None:
        """Tell the successor on which targets this leader has no runs.

        :param target_ids: those among the successor's that have not reported.
        """
        message = pb.UnheardTargets(
            target_ids=target_ids, confirmed_targets_only=self.confirms_targets
        )
        self.enqueue(pb.LeaderFrame(unheard=message))

    def send_accepted(self, job_id: str) -> None:
        """Tell the follower that a job is queued, and starts once it is confirmed."""
        message = pb.JobConfirmation(job_id=job_id)
        self.enqueue(pb.LeaderFrame(taken_in=message))

    def send_outcome(self, job_id: str, outcome: Outcome) -> Receipt:
        """Tell the follower the outcome of a job."""
        return self._enqueue_with_receipt(
            pb.LeaderFrame(outcome=from_outcome(job_id, outcome))
        )

    def send_cancelled(self, job_id: str, *, known: bool) -> None:
        """Answer a cancel by a caller of the member.

        :param known: whether there was such a job.
        """
        message = pb.CancelAnswer(job_id=job_id, known=known)
        self.enqueue(pb.LeaderFrame(cancelled=message))

    def send_progress(self, job_id: str, completed: Iterable[TaskRef]) -> Receipt:
        """Tell the follower which tasks of a job are done."""
        message = pb.JobProgress(job_id=job_id, completed=from_completed(completed))
        return self._enqueue_with_receipt(pb.LeaderFrame(progress=message))

    def keep_done(self, job_id: str, done: Iterable[TaskRef]) -> Receipt:
        """Have the member keep finished tasks of a job for the next leader.

        :returns: the receipt of the frame, which tells of all that is done by then.
        """
        self._done_by_job.setdefault(job_id, set()).update(done)
        self._wake.set()
        if self._done_receipt is None:
            self._done_receipt = self._new_receipt()
        return self._done_receipt

    def drop_done(self, job_ids: Iterable[str]) -> None:
        """Tell the member that jobs have ended of which it keeps tasks."""
        self._ended_jobs.extend(job_ids)
        self._wake.set()

    def keep_cancelled(self, job_ids: Iterable[str]) -> None:
        """Have the member keep jobs that callers cancelled for the next leader."""
        self._cancelled_jobs.extend(job_ids)
        self._wake.set()

    @property
    def _keeps_news(self) -> bool:
        return bool(self._done_by_job or self._ended_jobs or self._cancelled_jobs)

    def _next_done(self, now: float) -> QueuedFrame:
        message = to_message(self._done_by_job, self._ended_jobs, self._cancelled_jobs)
        receipt, self._done_receipt = self._done_receipt, None
        self._done_by_job = {}
        self._ended_jobs = []
        self._cancelled_jobs = []
        frame = pb.LeaderFrame(done=message)
        return QueuedFrame(frame=frame, queued_at=now, receipt=receipt)

    async def next_frame(self, beat: Callable[[], pb.LeaderBeat]) -> QueuedFrame:
        """Wait for a frame to send; returns a heartbeat if none comes in its period.

        :param beat: returns the heartbeat.
        """
        loop = asyncio.get_running_loop()
        now = time.monotonic()
        heartbeat_at = min(now + HEARTBEAT_S, self._heartbeat_by)
        while self._is_heartbeat_due or heartbeat_at <= now or not self._frames:
            now = time.monotonic()
            if self._is_heartbeat_due or heartbeat_at <= now:
                self._is_heartbeat_due = False
                self._heartbeat_by = float("inf")
                return QueuedFrame(frame=pb.LeaderFrame(beat=beat()), queued_at=now)
            if self._keeps_news:
                return self._next_done(now)
            due_list = self._next_due_list(now)
            if due_list is not None:
                return due_list
            self._wake.clear()
            due_at = [heartbeat_at, self._roster.due_at, self._routing.due_at]
            if self._estimates is not None:
                due_at.append(self._estimates.due_at)
            wait_s = min(at for at in due_at if at is not None) - now
            # Several frames a millisecond: a scope with a timeout costs twice as much.
            timer = loop.call_later(wait_s, self._wake.set)
            try:
                await self._wake.wait()
            finally:
                timer.cancel()
        return self._frames.popleft()

    def _next_due_list(self, now: float) -> QueuedFrame | None:
        """Return a page of a list, or the configuration, if one is due; else None."""
        due_at = self._roster.due_at
        if due_at is not None and due_at <= now:
            since = self._roster.waiting_since
            frame = pb.LeaderFrame(roster=self._roster.next_page())
            return QueuedFrame(frame=frame, queued_at=since)
        due_at = self._routing.due_at
        if due_at is not None and due_at <= now:
            document = self._routing.next_document(now)
            if document is not None:
                frame = pb.LeaderFrame(routing=document)
                return QueuedFrame(frame=frame, queued_at=due_at)
        return self._next_estimates(now)

    def _next_estimates(self, now: float) -> QueuedFrame | None:
        """Return a page of estimates if one is due; else None."""
        estimates = self._estimates
        if estimates is None or estimates.due_at is None or estimates.due_at > now:
            return None
        since = estimates.waiting_since
        frame = pb.LeaderFrame(estimates=estimates.next_page())
        return QueuedFrame(frame=frame, queued_at=since)
