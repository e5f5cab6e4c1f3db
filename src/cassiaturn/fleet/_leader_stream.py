"""The client side of the stream between a follower and its leader."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from cassiaturn.entities import Address
from cassiaturn.fleet._caller_jobs import CallerJobs, OpenJob
from cassiaturn.fleet._codec import (
    from_drains,
    from_leadership,
    from_submission,
    to_completed,
    to_leadership,
    to_outcome,
)
from cassiaturn.fleet._done_tasks import DoneTasks, to_message
from cassiaturn.fleet._drains import CurrentDrains
from cassiaturn.fleet._follower import HEARTBEAT_S
from cassiaturn.fleet._leadership import Leadership, Look, LookFailure
from cassiaturn.fleet._roster import Roster
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.observability import Event, log_event
from cassiaturn.sharing import CpuLoad
from cassiaturn.transport import run_apart, sleep_awake
from cassiaturn.v1 import fleet_pb2 as pb
from cassiaturn.v1.fleet_grpc import FleetStub

CONNECT_TIMEOUT_S = 0.4
"""Longest wait for a connection, and for the leader's first frame, in seconds: a
hundred round trips."""

EARLIER_CONNECT_TIMEOUT_S = 0.1
"""Longest wait for a connection to a leader that this process has never followed, in
seconds: thirty round trips. After a power loss of all hosts, that of the last leader
may come back later than others, and a host without power does not refuse."""

LEADER_SILENCE_S = 0.45
"""Silence after which the leader counts as lost, in seconds: three heartbeats. With
0.1 s to ask peers and claim, and lease renewals every 0.3 s, a successor reaches the
targets before the first of their one-second leases expires, so that running tasks are
kept."""

LEADER_HEARD_S = 0.35
"""How recently the leader must have been heard for this member to report it to peers as
alive, in seconds."""

REDIRECT_WAIT_S = 0.3
"""Longest wait for the redirect of a leader that is still heard after another member
announced itself, in seconds: two heartbeats. Until its redirect, the leader sends
outcomes of jobs whose ends it has acknowledged, which their targets list no more."""

HAND_OVER_FRAMES = frozenset(
    {"outcome", "progress", "redirect", "welcome", "done", "unheard", "cancelled"}
)
"""Frames that a member still reads from a leader that asked it to lead; what else that
leader tells is older than what the member learns as the leader."""

LOOK_TIMEOUT_S = 0.1
"""Longest wait for a peer's view of the leader, in seconds: thirty times the usual one.
In a network partition some peers never answer, and callers wait meanwhile."""

QUICK_LOOK_TIMEOUT_S = 0.03
"""The same for a member that has no state to take over, in seconds. It can only claim
by the row, which decides if a peer that has not answered by then claims as well."""

MILLISECONDS = 1000

STREAM_ERRORS = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
)
"""Errors that a lost stream raises."""


class FollowEnd(Enum):
    """Why a member stopped following."""

    REFUSED = auto()
    """Nothing listens at the leader's address: its process ended."""

    BROKEN = auto()
    """The stream ended: a connection was reset, or the process ended."""

    SILENT = auto()
    """The leader does not answer."""

    REDIRECTED = auto()
    """The member does not lead."""

    ASKED = auto()
    """The leader asks this member to lead."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowResult:
    """Result of following a leader."""

    end: FollowEnd
    """Why it ended."""

    named_leadership: Leadership | None = None
    """The leader that was named instead, if any."""

    welcomed: bool = False
    """Whether the leader had accepted this member as a follower."""


class LeaderStream:
    """One stream from this member to one leader."""

    def __init__(
        self,
        *,
        leadership: Leadership,
        hello: pb.Hello,
        caller_jobs: CallerJobs,
        routing: CurrentRouting,
        drains: CurrentDrains,
        done_tasks: DoneTasks,
        roster: Roster,
        read_routing: Callable[[pb.RoutingDocument], None],
        read_drains: Callable[[pb.DrainedDomains], None],
        on_leadership: Callable[[Leadership], None],
        cpu_load: CpuLoad,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_estimates: Callable[[pb.Estimates, str], None] | None = None,
    ) -> None:
        """Prepare to follow; :meth:`run` opens the stream.

        :param hello: this member's first frame.
        :param done_tasks: finished tasks that an earlier leader had this member keep.
        :param roster: updated with the lists that the leader sends.
        :param read_routing: called with a configuration that the leader sends.
        :param read_drains: called with the drained failure domains that the leader
            knows.
        :param on_leadership: called when the leader continues under a higher token.
        :param cpu_load: how busy this process is, for heartbeats.
        :param connect_timeout_s: longest wait for the connection, in seconds.
        :param read_estimates: called with estimates and the leader's member id; None:
            they are not kept.
        """
        self.leadership = leadership
        self.heard_at = 0.0
        """Monotonic time of the leader's last frame, in seconds."""

        self.welcomed = False
        self.leaving = hello.leaving
        self.waits_for_confirmation = False
        self.unheard_targets: frozenset[str] = frozenset()
        """Targets that had not reported to the leader when it stepped down."""

        self.has_told_targets = False
        """Whether the leader has told, when it stepped down, that it gave starts only
        to targets that this member knows."""

        self._hello = hello
        self._caller_jobs = caller_jobs
        self._routing = routing
        self._drains = drains
        self._done_tasks = done_tasks
        self._roster = roster
        self._read_routing = read_routing
        self._read_drains = read_drains
        self._on_leadership = on_leadership
        self._read_estimates = read_estimates
        self._cpu_load = cpu_load
        self._connect_timeout_s = connect_timeout_s
        self._frames: asyncio.Queue[pb.FollowerFrame] = asyncio.Queue()
        self._sent_routing_version = 0
        self._known_pauses = 0
        self._confirmed_page = 0
        self._asked = asyncio.Event()
        self._running: asyncio.Task[FollowResult] | None = None
        self._successor: asyncio.Future[Leadership] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def token(self) -> int:
        """The leader's token, as last told."""
        return self.leadership.token

    @property
    def hears_leader(self) -> bool:
        """Whether the leader was heard within ``LEADER_HEARD_S``."""
        return self.welcomed and time.monotonic() - self.heard_at < LEADER_HEARD_S

    def is_of(self, member_id: str) -> bool:
        """Return whether this is a stream to a member that has accepted this one."""
        return self.welcomed and self.leadership.member_id == member_id

    def continue_as(self, leadership: Leadership) -> None:
        """Go on with the same leader under a higher token."""
        self.leadership = leadership
        self._roster.note_leader_token(leadership.token)
        self._on_leadership(leadership)

    def end_for(self, successor: Leadership) -> None:
        """End the stream because another member announced that it leads."""
        if not self._successor.done():
            self._successor.set_result(successor)

    def submit(self, job: OpenJob, *, begun_earlier: bool) -> None:
        """Forward a job to the leader."""
        now = time.monotonic()
        message = from_submission(
            job.request,
            job.route,
            waited_s=now - job.arrived_at,
            limit_s=job.limit_at - now,
            begun_earlier=begun_earlier,
            unconfirmed=not job.may_have_begun,
            sent_s=now,
            completed=job.completed,
            earlier_tokens=job.earlier_tokens if begun_earlier else (),
        )
        self._frames.put_nowait(pb.FollowerFrame(submit=message))

    def cancel(self, job_id: str, *, by_caller: bool) -> None:
        """Tell the leader that a job is cancelled.

        :param by_caller: whether its caller cancelled it; else no caller of this member
            waits for it any more.
        """
        message = pb.JobCancellation(job_id=job_id, by_caller=by_caller)
        self._frames.put_nowait(pb.FollowerFrame(cancel=message))

    async def run(self) -> FollowResult:
        """Follow until the stream ends, the leader falls silent, or it redirects.

        If the leader asks this member to lead, the stream stays open until that leader
        steps down; see :meth:`wait_for_redirect`.
        """
        loop = asyncio.get_running_loop()
        self._running = loop.create_task(self._run_to_end())
        asked = loop.create_task(self._asked.wait())
        try:
            await asyncio.wait(
                [self._running, asked], return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            self._running.cancel()
            raise
        finally:
            asked.cancel()
        if self._running.done():
            return self._running.result()
        self._detach()
        return FollowResult(end=FollowEnd.ASKED, welcomed=True)

    async def wait_for_redirect(self, timeout_s: float) -> None:
        """Wait until a leader that asked this member to lead has stepped down.

        :param timeout_s: longest wait, in seconds; then the stream is closed.
        """
        if self._running is None or self._running.done():
            return
        await asyncio.wait([self._running], timeout=timeout_s)
        self._running.cancel()

    def _detach(self) -> None:
        self._caller_jobs.detach(self, heard_at=self.heard_at)
        self.welcomed = False

    async def _run_to_end(self) -> FollowResult:
        host, _, port = self.leadership.address.rpartition(":")
        channel = Channel(host, int(port))
        try:
            return await run_apart(self._run(channel))
        except ConnectionRefusedError:
            return FollowResult(end=FollowEnd.REFUSED, welcomed=self.welcomed)
        except TimeoutError:
            return FollowResult(end=FollowEnd.SILENT, welcomed=self.welcomed)
        except STREAM_ERRORS as error:
            log_event(
                Event.PEER_LOST, member=self.leadership.member_id, detail=repr(error)
            )
            return FollowResult(end=FollowEnd.BROKEN, welcomed=self.welcomed)
        finally:
            self._detach()
            channel.close()

    async def _run(self, channel: Channel) -> FollowResult:
        # Connecting to an unreachable host would take minutes without this timeout; an
        # open stream is bounded by the check for silence below.
        async with asyncio.timeout(self._connect_timeout_s):
            await channel.__connect__()
        async with FleetStub(channel).Follow.open() as stream:
            # A leader that reads the hello stops waiting for confirmations of the
            # member's earlier stream, also if its welcome is lost.
            was_whole, self._roster.is_whole = self._roster.is_whole, False
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_message(pb.FollowerFrame(hello=self._hello))
                first = await stream.recv_message()
            if first is None:
                return FollowResult(end=FollowEnd.BROKEN)
            if not first.HasField("welcome"):
                self._roster.is_whole = was_whole
                named_leadership = to_leadership(first.redirect)
                return FollowResult(
                    end=FollowEnd.REDIRECTED, named_leadership=named_leadership
                )
            self._update_leadership(first.welcome)
            self._begin()
            try:
                return await self._serve(stream)
            finally:
                # A leader whose process is suspended may never read the stream's end.
                await stream.cancel()

    def _begin(self) -> None:
        self.welcomed = True
        self.heard_at = time.monotonic()
        self._roster.begin(self.leadership.token)
        log_event(
            Event.LEADER_FOLLOWED,
            leader=self.leadership.member_id,
            token=self.leadership.token,
        )
        kept = self._done_tasks.take()
        cancelled = self._done_tasks.take_cancelled()
        if kept or cancelled:
            message = to_message(kept, cancelled=cancelled)
            self._frames.put_nowait(pb.FollowerFrame(done=message))
        self._caller_jobs.attach(self)

    async def _serve(self, stream) -> FollowResult:  # type: ignore[no-untyped-def]
        sender = asyncio.ensure_future(self._send(stream))
        receiver = asyncio.ensure_future(self._receive(stream))
        watcher = asyncio.ensure_future(self._watch_silence())
        redirector = asyncio.ensure_future(self._wait_for_successor())
        tasks = [sender, receiver, watcher, redirector]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                result = task.result()
                if result is not None:
                    return result
            return FollowResult(end=FollowEnd.BROKEN, welcomed=True)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def send_heartbeat(self) -> None:
        """Send a heartbeat at once, to report a change.

        Otherwise the leader would send a configuration that this member already has, or
        ask it to lead although it is stopping.
        """
        self._frames.put_nowait(self._heartbeat())

    def _heartbeat(self) -> pb.FollowerFrame:
        beat = pb.FollowerBeat(
            routing_version=self._routing.version,
            leaving=self.leaving,
            drained=from_drains(self._drains.current),
            pauses=self._known_pauses,
            cpu_used=self._cpu_load.busy_share,
            late_ms=round(self._cpu_load.late_s * MILLISECONDS),
            confirmed_page=self._confirmed_page,
        )
        return pb.FollowerFrame(beat=beat)

    async def _send(self, stream) -> None:  # type: ignore[no-untyped-def]
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    frame = await self._frames.get()
            except TimeoutError:
                frame = self._heartbeat()
            await stream.send_message(frame)

    async def _receive(self, stream) -> FollowResult | None:  # type: ignore[no-untyped-def]
        while (frame := await stream.recv_message()) is not None:
            self.heard_at = time.monotonic()
            kind = frame.WhichOneof("frame")
            if self._asked.is_set() and kind not in HAND_OVER_FRAMES:
                continue
            match kind:
                case "outcome":
                    self._caller_jobs.settle(
                        frame.outcome.job_id, to_outcome(frame.outcome)
                    )
                case "taken_in":
                    self._confirm(frame.taken_in)
                case "beat":
                    self._on_heartbeat(frame.beat)
                case "roster":
                    self._read_roster(frame.roster)
                case "routing":
                    self._read_routing(frame.routing)
                case "welcome":
                    self._update_leadership(frame.welcome)
                case "redirect":
                    named_leadership = to_leadership(frame.redirect)
                    return FollowResult(
                        end=FollowEnd.REDIRECTED,
                        named_leadership=named_leadership,
                        welcomed=True,
                    )
                case "progress":
                    job_id = frame.progress.job_id
                    completed = to_completed(job_id, frame.progress.completed)
                    self._caller_jobs.note_completed(job_id, completed)
                case "done":
                    self._done_tasks.read(frame.done)
                case "cancelled":
                    self._caller_jobs.note_cancelled(
                        frame.cancelled.job_id, known=frame.cancelled.known
                    )
                case "unheard":
                    self.unheard_targets = frozenset(frame.unheard.target_ids)
                    self.has_told_targets = frame.unheard.confirmed_targets_only
                case "estimates":
                    if self._read_estimates is not None:
                        self._read_estimates(frame.estimates, self.leadership.member_id)
                case "hand_over":
                    self._asked.set()
                case _:
                    continue
        return None

    def _read_roster(self, page: pb.RosterPage) -> None:
        self._roster.apply(page)
        if page.number:
            self._confirmed_page = page.number
            self.send_heartbeat()

    def _confirm(self, message: pb.JobConfirmation) -> None:
        if self._caller_jobs.confirm(message.job_id):
            self._frames.put_nowait(pb.FollowerFrame(confirm=message))

    def _update_leadership(self, message: pb.Leadership) -> None:
        leadership = to_leadership(message)
        if leadership is not None:
            self.continue_as(leadership)

    def _on_heartbeat(self, beat: pb.LeaderBeat) -> None:
        self._caller_jobs.waiting_by_route = {
            row.route: row.waiting for row in beat.queues
        }
        self._caller_jobs.shed_share = beat.shed_share
        self._caller_jobs.shed_by_priority = {
            row.priority: row.share for row in beat.shed_by_priority
        }
        self.waits_for_confirmation = beat.asks_first
        self._read_drains(beat.drained)
        if beat.pauses != self._known_pauses:
            self._known_pauses = beat.pauses
            self.send_heartbeat()
        table = self._routing.current
        if table is None or table.version <= beat.routing_version:
            return
        if self._sent_routing_version == table.version:
            return
        # The leader can't reach the table service, or has not read this version yet.
        self._sent_routing_version = table.version
        document = pb.RoutingDocument(version=table.version, document=table.document)
        self._frames.put_nowait(pb.FollowerFrame(routing=document))

    async def _wait_for_successor(self) -> FollowResult:
        named_leadership = await asyncio.shield(self._successor)
        if self.hears_leader:
            # Its redirect ends the stream.
            await asyncio.sleep(REDIRECT_WAIT_S)
        return FollowResult(
            end=FollowEnd.REDIRECTED, named_leadership=named_leadership, welcomed=True
        )

    async def _watch_silence(self) -> FollowResult:
        while True:
            silent_s = time.monotonic() - self.heard_at
            if silent_s >= LEADER_SILENCE_S:
                return FollowResult(end=FollowEnd.SILENT, welcomed=True)
            await sleep_awake(
                LEADER_SILENCE_S - silent_s, most_grace_s=LEADER_SILENCE_S
            )


async def ask_peer(
    address: Address,
    token: int,
    announced: Leadership | None = None,
    *,
    timeout_s: float = LOOK_TIMEOUT_S,
) -> Look | LookFailure:
    """Ask a peer for its view of a leader.

    :param address: the peer's address for other members.
    :param token: the token of that leader.
    :param announced: the caller's own leadership, to announce it; None if it does not
        lead.
    :param timeout_s: longest wait for the answer, in seconds.
    :returns: the peer's answer, or why there is none.
    """
    request = pb.LookRequest(token=token, announced=from_leadership(announced))
    channel = Channel(address.host, address.port)
    try:
        reply = await run_apart(_request_look(channel, request, timeout_s))
    except STREAM_ERRORS as error:
        log_event(Event.PEER_LOST, address=str(address), detail=repr(error))
        is_refused = isinstance(error, ConnectionRefusedError)
        return LookFailure.REFUSED if is_refused else LookFailure.SILENT
    finally:
        channel.close()
    return Look(
        hears_leader=reply.hears_leader,
        highest=to_leadership(reply.leadership),
        link_mbps=reply.link_mbps,
        cpu_cores=reply.cpu_cores,
    )


async def _request_look(
    channel: Channel, request: pb.LookRequest, timeout_s: float
) -> pb.LookReply:
    async with asyncio.timeout(timeout_s):
        await channel.__connect__()
        return await FleetStub(channel).Look(request)
