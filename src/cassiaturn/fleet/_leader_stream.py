"""A member's stream to the leader that it follows."""

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
    from_leadership,
    from_submission,
    to_leadership,
    to_outcome,
)
from cassiaturn.fleet._follower import HEARTBEAT_S
from cassiaturn.fleet._leadership import Leadership, Look, NoLook
from cassiaturn.fleet._roster import Roster
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.observability import Event, log_event
from cassiaturn.transport import run_apart, sleep_awake
from cassiaturn.v1 import fleet_pb2 as pb
from cassiaturn.v1.fleet_grpc import FleetStub

CONNECT_TIMEOUT_S = 0.4
"""Longest wait for a leader's first frame, in seconds: a hundred round trips."""

LEADER_SILENCE_S = 0.45
"""Silence after which the leader counts as lost, in seconds: three heartbeats. With
0.1 s for looks and a claim, and renewals each 0.3 s, a successor reaches targets
before the first of their leases of a second ends, and keeps what runs."""

HEARD_S = 0.35
"""How lately a leader must have been heard to count as alive for others."""

LOOK_TIMEOUT_S = 0.1
"""Longest wait for another member's word on the leader, in seconds: thirty times the
usual one. Behind a cut some never answer, and callers wait meanwhile."""

STREAM_ERRORS = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
)
"""What the loss of a stream raises."""


class FollowEnd(Enum):
    """Why a member no longer follows."""

    REFUSED = auto()
    """Nothing listens at the leader's address: its process ended."""

    BROKEN = auto()
    """The stream ended: a connection was reset, or the process ended."""

    SILENT = auto()
    """The leader does not answer."""

    REDIRECTED = auto()
    """It does not lead."""

    ASKED = auto()
    """It asks this member to lead."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowResult:
    """How following a leader ended."""

    end: FollowEnd
    """Why."""

    named: Leadership | None = None
    """The leader that it named instead."""

    welcomed: bool = False
    """Whether it had taken this member on."""


class LeaderStream:
    """One stream to one leader."""

    def __init__(
        self,
        *,
        leadership: Leadership,
        hello: pb.Hello,
        caller_jobs: CallerJobs,
        routing: CurrentRouting,
        roster: Roster,
        read_routing: Callable[[pb.RoutingDocument], None],
        on_leadership: Callable[[Leadership], None],
    ) -> None:
        """Prepare to follow; :meth:`run` does.

        :param hello: this member's first frame.
        :param roster: kept up to date with what the leader tells.
        :param on_leadership: takes the leader's word that its token is higher now.
        """
        self.leadership = leadership
        self.heard_at = 0.0
        self.welcomed = False
        self.leaving = hello.leaving
        self.waits_for_confirmation = False
        self._hello = hello
        self._caller_jobs = caller_jobs
        self._routing = routing
        self._roster = roster
        self._read_routing = read_routing
        self._on_leadership = on_leadership
        self._frames: asyncio.Queue[pb.FollowerFrame] = asyncio.Queue()
        self._handed_on = 0
        self._successor: asyncio.Future[Leadership] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def hears_leader(self) -> bool:
        """Whether the leader was heard just now."""
        return self.welcomed and time.monotonic() - self.heard_at < HEARD_S

    def leave_for(self, successor: Leadership) -> None:
        """End the stream: another member announced that it leads."""
        if not self._successor.done():
            self._successor.set_result(successor)

    def submit(self, job: OpenJob, *, begun_earlier: bool) -> None:
        """Pass a job on to the leader."""
        now = time.monotonic()
        message = from_submission(
            job.request,
            job.route,
            waited_s=now - job.arrived_at,
            limit_s=job.limit_at - now,
            begun_earlier=begun_earlier,
            unconfirmed=not job.may_have_begun,
            sent_s=now,
        )
        self._frames.put_nowait(pb.FollowerFrame(submit=message))

    def cancel(self, job_id: str) -> None:
        """Say that nobody here waits for a job any more."""
        message = pb.JobCancellation(job_id=job_id)
        self._frames.put_nowait(pb.FollowerFrame(cancel=message))

    async def run(self) -> FollowResult:
        """Follow until the stream ends, the leader is silent, or it says so."""
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
            self._caller_jobs.detach(self, heard_at=self.heard_at)
            self.welcomed = False
            channel.close()

    async def _run(self, channel: Channel) -> FollowResult:
        # Without a bound on the connect, a host that is cut off holds it for
        # minutes; the stream's own end is bounded by the silence below.
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await channel.__connect__()
        async with FleetStub(channel).Follow.open() as stream:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_message(pb.FollowerFrame(hello=self._hello))
                first = await stream.recv_message()
            if first is None:
                return FollowResult(end=FollowEnd.BROKEN)
            if not first.HasField("welcome"):
                named = to_leadership(first.redirect)
                return FollowResult(end=FollowEnd.REDIRECTED, named=named)
            self._begin()
            try:
                return await self._serve(stream)
            finally:
                # The leader's process may stand still and never read the end.
                await stream.cancel()

    def _begin(self) -> None:
        self.welcomed = True
        self.heard_at = time.monotonic()
        self._roster.begin()
        log_event(
            Event.LEADER_FOLLOWED,
            leader=self.leadership.member_id,
            token=self.leadership.token,
        )
        self._caller_jobs.attach(self)

    async def _serve(self, stream) -> FollowResult:  # type: ignore[no-untyped-def]
        sending = asyncio.ensure_future(self._send(stream))
        receiving = asyncio.ensure_future(self._receive(stream))
        watching = asyncio.ensure_future(self._watch_silence())
        leaving = asyncio.ensure_future(self._wait_for_successor())
        jobs = [sending, receiving, watching, leaving]
        try:
            done, _ = await asyncio.wait(jobs, return_when=asyncio.FIRST_COMPLETED)
            for job in done:
                ended = job.result()
                if ended is not None:
                    return ended
            return FollowResult(end=FollowEnd.BROKEN, welcomed=True)
        finally:
            for job in jobs:
                job.cancel()
            await asyncio.gather(*jobs, return_exceptions=True)

    def send_beat(self) -> None:
        """Say at once what heartbeats say.

        The leader would send a configuration that this member has, or ask it to lead
        although it is stopping.
        """
        self._frames.put_nowait(self._beat())

    def _beat(self) -> pb.FollowerFrame:
        beat = pb.FollowerBeat(
            routing_version=self._routing.version, leaving=self.leaving
        )
        return pb.FollowerFrame(beat=beat)

    async def _send(self, stream) -> None:  # type: ignore[no-untyped-def]
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    frame = await self._frames.get()
            except TimeoutError:
                frame = self._beat()
            await stream.send_message(frame)

    async def _receive(self, stream) -> FollowResult | None:  # type: ignore[no-untyped-def]
        while (frame := await stream.recv_message()) is not None:
            self.heard_at = time.monotonic()
            match frame.WhichOneof("frame"):
                case "outcome":
                    self._caller_jobs.settle(
                        frame.outcome.job_id, to_outcome(frame.outcome)
                    )
                case "taken_in":
                    self._confirm(frame.taken_in)
                case "beat":
                    self._take_beat(frame.beat)
                case "roster":
                    self._roster.take(frame.roster)
                case "routing":
                    self._read_routing(frame.routing)
                case "welcome":
                    self._take_leadership(frame.welcome)
                case "redirect":
                    named = to_leadership(frame.redirect)
                    return FollowResult(
                        end=FollowEnd.REDIRECTED, named=named, welcomed=True
                    )
                case "hand_over":
                    return FollowResult(end=FollowEnd.ASKED, welcomed=True)
                case _:
                    continue
        return None

    def _confirm(self, message: pb.JobConfirmation) -> None:
        if self._caller_jobs.confirm(message.job_id):
            self._frames.put_nowait(pb.FollowerFrame(confirm=message))

    def _take_leadership(self, message: pb.Leadership) -> None:
        leadership = to_leadership(message)
        if leadership is not None:
            self.leadership = leadership
            self._on_leadership(leadership)

    def _take_beat(self, beat: pb.LeaderBeat) -> None:
        self._caller_jobs.waiting_by_route = {
            row.route: row.waiting for row in beat.queues
        }
        self._caller_jobs.shed_share = beat.shed_share
        self.waits_for_confirmation = beat.asks_first
        table = self._routing.current
        if table is None or table.version <= beat.routing_version:
            return
        if self._handed_on == table.version:
            return
        # The leader is cut off from the table service, or slower to hear of it.
        self._handed_on = table.version
        document = pb.RoutingDocument(version=table.version, document=table.document)
        self._frames.put_nowait(pb.FollowerFrame(routing=document))

    async def _wait_for_successor(self) -> FollowResult:
        named = await asyncio.shield(self._successor)
        return FollowResult(end=FollowEnd.REDIRECTED, named=named, welcomed=True)

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
) -> Look | NoLook:
    """Ask a member what it knows of a leader.

    :param address: where the member serves others.
    :param token: the token of that leader.
    :param announced: the asker's own leadership, if it has just begun.
    """
    request = pb.LookRequest(token=token, announced=from_leadership(announced))
    channel = Channel(address.host, address.port)
    try:
        reply = await run_apart(_ask(channel, request))
    except STREAM_ERRORS as error:
        log_event(Event.PEER_LOST, address=str(address), detail=repr(error))
        is_refused = isinstance(error, ConnectionRefusedError)
        return NoLook.REFUSED if is_refused else NoLook.SILENT
    finally:
        channel.close()
    return Look(
        hears_leader=reply.hears_leader,
        highest=to_leadership(reply.leadership),
        link_mbps=reply.link_mbps,
    )


async def _ask(channel: Channel, request: pb.LookRequest) -> pb.LookReply:
    async with asyncio.timeout(LOOK_TIMEOUT_S):
        await channel.__connect__()
        return await FleetStub(channel).Look(request)
