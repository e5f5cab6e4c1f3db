"""The gRPC service that members offer to each other."""

import asyncio
import time
from collections.abc import (
    Callable,
    Collection,
    Coroutine,
    Iterable,
    Sequence,
)
from typing import Any, Protocol

from grpclib.exceptions import ProtocolError, StreamTerminatedError
from grpclib.server import Stream

from cassiaturn.entities import TargetReport
from cassiaturn.fleet._codec import (
    from_drains,
    from_leadership,
    to_leadership,
    to_submission,
)
from cassiaturn.fleet._done_tasks import to_refs
from cassiaturn.fleet._drains import CurrentDrains
from cassiaturn.fleet._estimates_feed import EstimatesFeed
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
from cassiaturn.sharing import FitnessOrder, HostCapacity
from cassiaturn.transport import sleep_awake
from cassiaturn.v1 import fleet_pb2 as pb
from cassiaturn.v1.fleet_grpc import FleetBase

FOLLOWER_SILENCE_S = 0.75
"""Silence after which a follower counts as gone, in seconds. Its tasks must have ended
when its callers retry after 1.3 s; stopping them takes some 50 ms."""

FOLLOWER_GRACE_S = 0.1
"""Longest extension of the wait for that silence after the leader's own process was
suspended, in seconds: a host may give it no processor time for a tenth of a second.
Three such extensions still leave a quarter of a second before callers retry after
1.3 s."""

RECONNECT_GRACE_S = 0.35
"""How long a follower whose stream broke may take to reconnect, in seconds: a reset
connection is replaced in a few milliseconds, and the tasks of an ended process must be
stopped before its callers retry after 1.3 s."""

MILLISECONDS = 1000

STREAM_ERRORS = (OSError, ProtocolError, StreamTerminatedError)
"""Errors that a lost stream raises."""


class MemberState(Protocol):
    """What the service needs from its member."""

    @property
    def leader(self) -> Leader | None:
        """The leader on this member; None if it does not lead."""

    @property
    def known_leadership(self) -> Leadership | None:
        """The latest leadership that it knows of."""

    @property
    def hears_leader(self) -> bool:
        """Whether it leads, or has heard its leader recently."""

    def read_routing(self, document: pb.RoutingDocument) -> None:
        """Offer a configuration that another member sent."""

    def read_drains(self, message: pb.DrainedDomains) -> None:
        """Offer the drained failure domains that another member knows."""

    def note_reachable_leader(self, leadership: Leadership) -> None:
        """Record that another member leads and can be reached."""

    def note_token(self, token: int) -> None:
        """Check for a later leader if another member has seen a higher token."""

    def note_joined(self, address: str) -> None:
        """Record a follower's address for other members."""

    def note_silent_member(self) -> None:
        """Record that a follower fell silent."""


class FleetService(FleetBase):
    """Serves followers while this member leads, and redirects them otherwise."""

    def __init__(
        self,
        *,
        member: MemberState,
        routing: CurrentRouting,
        drains: CurrentDrains,
        load: LeaderLoad,
        host: HostCapacity,
        estimates: EstimatesFeed | None = None,
    ) -> None:
        """Prepare to serve a member.

        :param member: the member that this service belongs to.
        :param routing: the configuration in force.
        :param drains: the drained failure domains in force.
        :param load: counts what is sent to followers.
        :param host: capacity of this member's host.
        :param estimates: what the leader has learned; None: it is not shared.
        """
        self._member = member
        self._load = load
        self._host = host
        self._feed = RosterFeed(pace=ListPace(link_mbps=host.link_mbps))
        # A separate pace, so that a large document does not delay changes of targets.
        self._routing_feed = RoutingFeed(
            routing=routing, pace=ListPace(link_mbps=host.link_mbps)
        )
        self._estimates = estimates
        self._routing = routing
        self._drains = drains
        self._followers_by_id: dict[str, Follower] = {}
        self._queue_lengths: Sequence[pb.QueueLength] = ()
        self._counted_at = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def followers(self) -> list[Follower]:
        """Members that follow this one."""
        return list(self._followers_by_id.values())

    @property
    def most_waiting(self) -> int:
        """Number of frames and list entries that wait for the most delayed follower."""
        return max((follower.waiting for follower in self.followers), default=0)

    def redirect_all(
        self, leadership: Leadership | None, *, unheard_targets: Iterable[str] = ()
    ) -> None:
        """Redirect every follower to another leader.

        :param unheard_targets: targets on which this leader has no runs, because they
            have not reported to it.
        """
        for follower in self.followers:
            if leadership is not None and (
                follower.hello.member_id == leadership.member_id
            ):
                follower.send_unheard(unheard_targets)
            frame = pb.LeaderFrame(redirect=from_leadership(leadership))
            follower.enqueue(frame)
        self._followers_by_id.clear()

    def send_leadership(self, leadership: Leadership) -> None:
        """Tell every follower that this leader continues under a higher token."""
        frame = pb.LeaderFrame(welcome=from_leadership(leadership))
        for follower in self.followers:
            follower.enqueue(frame)

    @property
    def most_cpu_cores(self) -> float:
        """Highest processor capacity of followers, in cores; 0 if none reports one."""
        return self._feed.fitness_order.most_cpu_cores

    def choose_successor(
        self,
        *,
        without: Collection[str] = (),
        suits: Callable[[Follower], bool] = lambda follower: True,
    ) -> Follower | None:
        """Return the follower that is to lead next; None if there is none.

        It is the one on the fittest host; among equals, the one heard last.

        :param without: members that are not to lead.
        :param suits: returns whether a member may lead.
        """
        staying = [
            follower
            for follower in self.followers
            if not (follower.leaving or follower.is_gone)
            and follower.hello.member_id not in without
        ]
        candidates = list(filter(suits, staying))
        if not candidates:
            return None
        order = FitnessOrder.among(follower.host for follower in staying)
        return min(
            candidates,
            key=lambda follower: (order.rank(follower.host), -follower.heard_at),
        )

    def begin_term(self, leader: Leader) -> None:
        """Start a leadership term without followers.

        :param leader: this member's leader, with the directory as far as it knows it.
        """
        self._feed.begin(
            leader.reports_by_id,
            is_complete=bool(leader.reports_by_id),
            on_confirmed=leader.on_target_confirmed,
        )
        leader.tables.unconfirmed_ids = self._feed.announcements.unconfirmed_ids
        self._counted_at = float("-inf")

    def note_whole_directory(self) -> None:
        """Record that this member's leader has read the whole directory."""
        self._feed.note_complete()

    def note_target(self, target_id: str, report: TargetReport | None) -> None:
        """Tell every follower about a changed target; None if it was removed."""
        if report is None:
            self._feed.remove_target(target_id)
        else:
            self._feed.put_target(report)
        if self._member.leader is not None:
            self._member.leader.note_own_list(self._feed.digests.of_ids)

    def note_routing(self) -> None:
        """Record that a configuration came into force here."""
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
        self._member.read_drains(hello.drained)
        leader = self._member.leader
        if leader is None or hello.token > leader.leadership.token:
            self._member.note_token(hello.token)
            redirect = from_leadership(self._member.known_leadership)
            await stream.send_message(pb.LeaderFrame(redirect=redirect))
            return
        follower = Follower(
            hello=hello,
            feed=self._feed,
            routing=self._routing_feed,
            estimates=self._estimates,
        )
        self._followers_by_id[hello.member_id] = follower
        leader.followers_by_id[hello.member_id] = follower
        self._compare_lists(leader, hello)
        if hello.led_tokens and not self._feed.digests.differing(hello.target_digests):
            leader.note_same_targets(frozenset(hello.led_tokens))
        self._member.note_joined(hello.address)
        log_event(
            Event.MEMBER_JOINED,
            member=hello.member_id,
            failure_domain=hello.failure_domain,
            token=leader.leadership.token,
            link_mbps=follower.host.link_mbps,
            cpu_cores=follower.host.cpu_cores,
        )
        if leader.pauses:
            follower.send_heartbeat()
        welcome = pb.LeaderFrame(welcome=from_leadership(leader.leadership))
        try:
            await stream.send_message(welcome)
            await self._serve(stream, follower, leader)
        except STREAM_ERRORS as error:
            log_event(Event.PEER_LOST, member=hello.member_id, detail=repr(error))
        finally:
            # The handler may be cancelled twice, for the stream and for its connection.
            # A cleanup awaited here could be cut short by the second cancellation, and
            # leave a dead member's jobs running.
            self._spawn(self._end_follower(follower, leader))

    def _compare_lists(self, leader: Leader, hello: pb.Hello) -> None:
        """Tell the leader whether a new follower knows a target that it lacks.

        An earlier version of this program does not tell. A list of this leader's own
        says nothing about those before it.
        """
        if not hello.confirms_pages or hello.list_token in leader.own_tokens:
            return
        is_known = hello.list_is_whole and self._feed.has_list(hello.list_digest)
        leader.note_list(hello.member_id, None if is_known else hello.list_digest)

    async def Look(  # noqa: N802
        self, stream: "Stream[pb.LookRequest, pb.LookReply]"
    ) -> None:
        """Answer a member that lost its leader with this member's view."""
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
            link_mbps=self._host.link_mbps,
            cpu_cores=self._host.cpu_cores,
        )
        await stream.send_message(reply)

    async def _serve(
        self,
        stream: "Stream[pb.FollowerFrame, pb.LeaderFrame]",
        follower: Follower,
        leader: Leader,
    ) -> None:
        tasks = [
            asyncio.ensure_future(self._send(stream, follower, leader)),
            asyncio.ensure_future(self._receive(stream, follower, leader)),
            asyncio.ensure_future(_wait_for_silence(follower)),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _send(
        self,
        stream: "Stream[pb.FollowerFrame, pb.LeaderFrame]",
        follower: Follower,
        leader: Leader,
    ) -> None:
        while True:
            queued = await follower.next_frame(lambda: self._heartbeat(leader))
            frame = queued.frame
            await stream.send_message(frame)
            follower.note_written(queued)
            kind = frame.WhichOneof("frame") or "unknown"
            waited_s = time.monotonic() - queued.queued_at
            self._load.count_frame(
                kind, follower.hello.member_id, frame.ByteSize(), waited_s
            )
            if kind == "redirect":
                return

    def _heartbeat(self, leader: Leader) -> pb.LeaderBeat:
        """Return the current heartbeat, with queue lengths shared by all followers.

        Counting waiting jobs visits every job; done for each of 350 followers, it would
        visit each job 2,300 times a second.
        """
        now = time.monotonic()
        if now - self._counted_at >= HEARTBEAT_S:
            self._counted_at = now
            self._queue_lengths = [
                pb.QueueLength(route=route, waiting=waiting)
                for route, waiting in leader.waiting_by_route().items()
            ]
        return pb.LeaderBeat(
            routing_version=self._routing.version,
            queues=self._queue_lengths,
            shed_share=leader.shed_share,
            asks_first=leader.asks_first,
            drained=from_drains(self._drains.current),
            pauses=leader.pauses,
            shed_by_priority=[
                pb.PriorityShare(priority=priority, share=share)
                for priority, share in leader.shed_by_priority.items()
            ],
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
                    leader.accept_submission(submission)
                case "confirm":
                    leader.confirm(frame.confirm.job_id)
                case "cancel" if frame.cancel.by_caller:
                    job_id = frame.cancel.job_id
                    known = leader.cancel_by_caller(job_id)
                    follower.send_cancelled(job_id, known=known)
                case "cancel":
                    leader.cancel_for_member(
                        frame.cancel.job_id, follower.hello.member_id
                    )
                case "beat":
                    follower.note_routing(frame.beat.routing_version)
                    follower.leaving = frame.beat.leaving
                    follower.note_load(frame.beat)
                    follower.note_confirmed_page(frame.beat.confirmed_page)
                    leader.note_answer(follower.hello.member_id, frame.beat.pauses)
                    self._member.read_drains(frame.beat.drained)
                case "done":
                    leader.note_done(to_refs(frame.done))
                    for job_id in frame.done.cancelled:
                        leader.cancel_by_caller(job_id)
                case "routing":
                    self._member.read_routing(frame.routing)
                case _:
                    continue

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(report_failure)

    async def _end_follower(self, follower: Follower, leader: Leader) -> None:
        follower.close()
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
            if self._estimates is not None:
                self._estimates.leave(member_id)
        leader.drop_member(member_id)
        if silent:
            self._member.note_silent_member()


async def _wait_for_silence(follower: Follower) -> None:
    """Return once a follower has been silent for ``FOLLOWER_SILENCE_S``."""
    while True:
        silent_s = time.monotonic() - follower.heard_at
        if silent_s >= FOLLOWER_SILENCE_S:
            return
        await sleep_awake(FOLLOWER_SILENCE_S - silent_s, most_grace_s=FOLLOWER_GRACE_S)
