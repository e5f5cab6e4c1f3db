"""What members call on each other."""

import asyncio
import time
from collections.abc import Coroutine, Mapping, Sequence
from typing import Any, Protocol

from grpclib.exceptions import ProtocolError, StreamTerminatedError
from grpclib.server import Stream

from cassiaturn.entities import TargetReport
from cassiaturn.fleet._codec import (
    from_leadership,
    to_leadership,
    to_submission,
)
from cassiaturn.fleet._failures import report_failure
from cassiaturn.fleet._follower import HEARTBEAT_S, Follower
from cassiaturn.fleet._leader import Leader
from cassiaturn.fleet._leader_load import LeaderLoad
from cassiaturn.fleet._leadership import Leadership
from cassiaturn.fleet._list_pace import ListPace
from cassiaturn.fleet._roster_feed import RosterFeed
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.fleet._routing_feed import RoutingFeed
from cassiaturn.observability import Event, log_event
from cassiaturn.transport import sleep_awake
from cassiaturn.v1 import fleet_pb2 as pb
from cassiaturn.v1.fleet_grpc import FleetBase

FOLLOWER_SILENCE_S = 0.75
"""Silence after which a follower is gone, in seconds. Its tasks must be over when
its callers come back after 1.3 s; stopping them takes some 50 ms."""

FOLLOWER_GRACE_S = 0.1
"""Longest addition to a wait for that silence where the leader itself stood still, in
seconds: its hosts take the processor away for a tenth of a second at a time. Three of
them still leave a quarter of a second before callers come back after 1.3 s."""

RECONNECT_GRACE_S = 0.35
"""How long a follower whose stream broke may take to come back, in seconds: a
connection that was reset is replaced in a few milliseconds, and an ended process
must have its tasks stopped before its callers come back after 1.3 s."""

MILLISECONDS = 1000

STREAM_ERRORS = (OSError, ProtocolError, StreamTerminatedError)
"""What the loss of a stream raises."""


class MemberState(Protocol):
    """What the service needs of its member."""

    @property
    def leader(self) -> Leader | None:
        """The leadership of this member, if it leads."""

    @property
    def known_leadership(self) -> Leadership | None:
        """The latest leadership that it knows of."""

    @property
    def hears_leader(self) -> bool:
        """Whether it has heard that leader just now, or leads itself."""

    def read_routing(self, document: pb.RoutingDocument) -> None:
        """Take in a configuration that another member handed on."""

    def note_reachable_leader(self, leadership: Leadership) -> None:
        """Take in that a member leads that can be reached."""

    def note_token(self, token: int) -> None:
        """Take in that somebody has seen a token above the leader's own."""

    def note_joined(self, address: str) -> None:
        """Take in where a member that follows this one serves others."""

    def note_silent_member(self) -> None:
        """Take in that a follower does not answer."""


class FleetService(FleetBase):
    """Serves followers while this member leads, and redirects them otherwise."""

    def __init__(
        self,
        *,
        member: MemberState,
        routing: CurrentRouting,
        load: LeaderLoad,
        link_mbps: float,
    ) -> None:
        """Serve for a member.

        :param load: counts what is sent to followers.
        :param link_mbps: width of the host's link, in megabits a second.
        """
        self._member = member
        self._load = load
        self._link_mbps = link_mbps
        self._feed = RosterFeed(pace=ListPace(link_mbps=link_mbps))
        # A pace of its own: a large document would hold changes of targets up.
        self._routing_feed = RoutingFeed(
            routing=routing, pace=ListPace(link_mbps=link_mbps)
        )
        self._routing = routing
        self._followers_by_id: dict[str, Follower] = {}
        self._queues: Sequence[pb.QueueLength] = ()
        self._counted_at = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def followers(self) -> list[Follower]:
        """Members that follow this one."""
        return list(self._followers_by_id.values())

    @property
    def most_waiting(self) -> int:
        """Frames and entries of lists that wait for the follower with the most."""
        return max((row.waiting for row in self.followers), default=0)

    def redirect_all(self, leadership: Leadership | None) -> None:
        """Send every follower to another leader."""
        for follower in self.followers:
            frame = pb.LeaderFrame(redirect=from_leadership(leadership))
            follower.tell(frame)
        self._followers_by_id.clear()

    def send_leadership(self, leadership: Leadership) -> None:
        """Tell every follower that this leader goes on under a higher token."""
        frame = pb.LeaderFrame(welcome=from_leadership(leadership))
        for follower in self.followers:
            follower.tell(frame)

    @property
    def widest_link_mbps(self) -> float:
        """Widest link of a follower that stays, in megabits a second; 0: none does."""
        return max(
            (row.hello.link_mbps for row in self.followers if not row.leaving),
            default=0.0,
        )

    def hand_over(self, leadership: Leadership) -> bool:
        """Ask a member to lead: of those with the widest link, that heard last.

        :returns: whether there is one.
        """
        staying = [row for row in self.followers if not row.leaving]
        if not staying:
            return False
        successor = max(staying, key=lambda row: (row.hello.link_mbps, row.heard_at))
        frame = pb.LeaderFrame(hand_over=from_leadership(leadership))
        successor.tell(frame)
        return True

    def begin_term(self, reports_by_id: Mapping[str, TargetReport]) -> None:
        """Begin to lead, without followers.

        :param reports_by_id: the directory of targets as this member knows it.
        """
        self._feed.begin(reports_by_id)
        self._counted_at = float("-inf")

    def note_target(self, target_id: str, report: TargetReport | None) -> None:
        """Tell every follower of a target that changed; None: it is gone."""
        if report is None:
            self._feed.remove_target(target_id)
        else:
            self._feed.put_target(report)

    def note_routing(self) -> None:
        """Take in that a version of the configuration came into force here."""
        self._routing_feed.note_change()
        for follower in self.followers:
            follower.note_routing()

    async def Follow(  # noqa: N802 - the name is the schema's
        self, stream: "Stream[pb.FollowerFrame, pb.LeaderFrame]"
    ) -> None:
        """Serve one follower until either side ends."""
        first = await stream.recv_message()
        if first is None or not first.HasField("hello"):
            return
        hello = first.hello
        leader = self._member.leader
        if leader is None or hello.token > leader.leadership.token:
            self._member.note_token(hello.token)
            redirect = from_leadership(self._member.known_leadership)
            await stream.send_message(pb.LeaderFrame(redirect=redirect))
            return
        follower = Follower(hello=hello, feed=self._feed, routing=self._routing_feed)
        self._followers_by_id[hello.member_id] = follower
        leader.followers_by_id[hello.member_id] = follower
        self._member.note_joined(hello.address)
        log_event(
            Event.MEMBER_JOINED,
            member=hello.member_id,
            failure_domain=hello.failure_domain,
            token=leader.leadership.token,
        )
        welcome = pb.LeaderFrame(welcome=from_leadership(leader.leadership))
        try:
            await stream.send_message(welcome)
            await self._serve(stream, follower, leader)
        except STREAM_ERRORS as error:
            log_event(Event.PEER_LOST, member=hello.member_id, detail=repr(error))
        finally:
            # The handler may be cancelled twice, for the stream and for its
            # connection. A second one would keep a dead member's jobs running.
            self._spawn(self._end(follower, leader))

    async def Look(  # noqa: N802
        self, stream: "Stream[pb.LookRequest, pb.LookReply]"
    ) -> None:
        """Tell a member that lost its leader what this one knows."""
        request = await stream.recv_message()
        if request is None:
            return
        announced = to_leadership(request.announced)
        if announced is not None:
            self._member.note_reachable_leader(announced)
        known = self._member.known_leadership
        hears = (
            known is not None
            and known.token >= request.token
            and self._member.hears_leader
        )
        reply = pb.LookReply(
            leadership=from_leadership(known),
            hears_leader=hears,
            link_mbps=self._link_mbps,
        )
        await stream.send_message(reply)

    async def _serve(
        self,
        stream: "Stream[pb.FollowerFrame, pb.LeaderFrame]",
        follower: Follower,
        leader: Leader,
    ) -> None:
        jobs = [
            asyncio.ensure_future(self._send(stream, follower, leader)),
            asyncio.ensure_future(self._receive(stream, follower, leader)),
            asyncio.ensure_future(_silence(follower)),
        ]
        try:
            done, _ = await asyncio.wait(jobs, return_when=asyncio.FIRST_COMPLETED)
            for job in done:
                job.result()
        finally:
            for job in jobs:
                job.cancel()
            await asyncio.gather(*jobs, return_exceptions=True)

    async def _send(
        self,
        stream: "Stream[pb.FollowerFrame, pb.LeaderFrame]",
        follower: Follower,
        leader: Leader,
    ) -> None:
        while True:
            queued = await follower.next_frame(lambda: self._beat(leader))
            frame = queued.frame
            await stream.send_message(frame)
            kind = frame.WhichOneof("frame") or "unknown"
            waited_s = time.monotonic() - queued.queued_at
            self._load.sent(kind, follower.hello.member_id, frame.ByteSize(), waited_s)
            if kind == "redirect":
                return

    def _beat(self, leader: Leader) -> pb.LeaderBeat:
        """Return the heartbeat of the moment, one for all followers.

        Counting what waits takes a look at every job; for each of 350 followers it
        would be 2,300 looks at each job a second.
        """
        now = time.monotonic()
        if now - self._counted_at >= HEARTBEAT_S:
            self._counted_at = now
            self._queues = [
                pb.QueueLength(route=route, waiting=waiting)
                for route, waiting in leader.waiting_by_route().items()
            ]
        return pb.LeaderBeat(
            routing_version=self._routing.version,
            queues=self._queues,
            shed_share=leader.shed_share,
            asks_first=leader.asks_first,
        )

    async def _receive(
        self,
        stream: "Stream[pb.FollowerFrame, pb.LeaderFrame]",
        follower: Follower,
        leader: Leader,
    ) -> None:
        while (frame := await stream.recv_message()) is not None:
            follower.heard_at = time.monotonic()
            match frame.WhichOneof("frame"):
                case "submit":
                    sent_s = frame.submit.sent_ms / MILLISECONDS
                    unread_s = 0.0
                    if sent_s:
                        unread_s = follower.transit.observe(sent_s, follower.heard_at)
                    submission = to_submission(
                        frame.submit,
                        origin=follower.hello.member_id,
                        failure_domain=follower.hello.failure_domain,
                        unread_s=unread_s,
                    )
                    leader.take(submission)
                case "confirm":
                    leader.confirm(frame.confirm.job_id)
                case "cancel":
                    leader.take_back(frame.cancel.job_id, follower.hello.member_id)
                case "beat":
                    follower.note_routing(frame.beat.routing_version)
                    follower.leaving = frame.beat.leaving
                case "routing":
                    self._member.read_routing(frame.routing)
                case _:
                    continue

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(report_failure)

    async def _end(self, follower: Follower, leader: Leader) -> None:
        member_id = follower.hello.member_id
        silent = time.monotonic() - follower.heard_at >= FOLLOWER_SILENCE_S
        if not silent:
            await asyncio.sleep(RECONNECT_GRACE_S)
        if leader.followers_by_id.get(member_id) is not follower:
            return
        log_event(Event.MEMBER_GONE, member=member_id, silent=silent)
        if self._followers_by_id.get(member_id) is follower:
            del self._followers_by_id[member_id]
            self._feed.leave(member_id)
        leader.drop_member(member_id)
        if silent:
            self._member.note_silent_member()


async def _silence(follower: Follower) -> None:
    """Return once a follower has been silent for too long."""
    while True:
        silent_s = time.monotonic() - follower.heard_at
        if silent_s >= FOLLOWER_SILENCE_S:
            return
        await sleep_awake(FOLLOWER_SILENCE_S - silent_s, most_grace_s=FOLLOWER_GRACE_S)
