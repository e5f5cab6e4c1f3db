"""A member of the fleet: it accepts callers' jobs, and leads or follows."""

import asyncio
import secrets
import time
from collections.abc import Mapping, Sequence

from cassiaturn.entities import DrainedDomains, RoutingTable, TargetReport
from cassiaturn.fleet._caller_jobs import CallerJobs
from cassiaturn.fleet._codec import from_drains
from cassiaturn.fleet._configuration import ConfigurationSource
from cassiaturn.fleet._cpu_sampler import sample_cpu
from cassiaturn.fleet._done_tasks import DoneTasks
from cassiaturn.fleet._drains import CurrentDrains
from cassiaturn.fleet._failures import report_failure
from cassiaturn.fleet._follower import Follower
from cassiaturn.fleet._leader import Leader
from cassiaturn.fleet._leader_load import LeaderLoad
from cassiaturn.fleet._leader_relief import LeaderRelief
from cassiaturn.fleet._leader_row import (
    CALL_TIMEOUT_S,
    QUICK_READ_TIMEOUT_S,
    LeaderRow,
)
from cassiaturn.fleet._leader_stream import (
    CONNECT_TIMEOUT_S,
    EARLIER_CONNECT_TIMEOUT_S,
    LOOK_TIMEOUT_S,
    QUICK_LOOK_TIMEOUT_S,
    REDIRECT_WAIT_S,
    FollowEnd,
    FollowResult,
    LeaderStream,
)
from cassiaturn.fleet._leadership import (
    NO_TOKEN,
    ElectionView,
    Leadership,
    Loss,
    Step,
    latest,
    next_leadership,
    next_step,
)
from cassiaturn.fleet._member_metrics import register_metrics
from cassiaturn.fleet._peers import Peers
from cassiaturn.fleet._ports import PlatformServices
from cassiaturn.fleet._roster import Roster
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.fleet._service import FleetService
from cassiaturn.fleet._shared_estimates import SharedEstimates
from cassiaturn.fleet._superseded_signal import SupersededSignal
from cassiaturn.fleet._term import LeaderTerm
from cassiaturn.observability import Event, FleetMetrics, log_event
from cassiaturn.settings import FleetSettings
from cassiaturn.sharing import CpuLoad, HostCapacity
from cassiaturn.v1 import fleet_pb2 as pb
from cassiaturn.workload import settings_for_lease

LOOK_PAUSE_S = 0.12
"""Longest pause before a member without a leader asks its peers again, in seconds."""

LOOKS_PER_RECONNECT = 3
"""Rounds of asking peers before a member tries to reconnect to its silent leader, which
takes up to the connection timeout: most other members have noticed the silence by
then."""

STOP_MARGIN_S = 0.4
"""Time reserved between the end of a graceful shutdown and the kill, in seconds."""

SUCCESSOR_SILENCE_S = 0.45
"""Silence after which a leader that stops asks another member than the one that it has
asked to lead, in seconds: three heartbeats."""

SUCCESSOR_WAIT_S = 2.0
"""The same for a member that is heard, in seconds: a claim takes two calls to the table
service, of 0.7 s at most. Two members that claim at the same time cost every caller a
second change of leader."""

INFORM_WAIT_S = 0.5
"""Longest wait before a member is asked to lead that just joined, in seconds: the lists
of a large fleet take several tenths of a second on a narrow link."""

HAND_OVER_POLL_S = 0.02
"""Period in which a leader that stops checks on the member that it has asked, in
seconds."""

MILLISECONDS = 1000


class Member:
    """A member's role in the fleet; its process provides the servers and signals."""

    def __init__(
        self,
        *,
        settings: FleetSettings,
        services: PlatformServices,
    ) -> None:
        """Prepare a member; :meth:`run` makes it lead or follow."""
        self.settings = settings
        # A restarted process counts as a new member: it has no state of the process
        # before it.
        self.member_id = f"{settings.member_name}/{secrets.token_hex(4)}"
        self.routing = CurrentRouting()
        self.drains = CurrentDrains()
        self.metrics = FleetMetrics(
            member_name=settings.member_name, failure_domain=settings.failure_domain
        )
        self.caller_jobs = CallerJobs(metrics=self.metrics)
        self.leader: Leader | None = None
        self.known_leadership: Leadership | None = None
        self.load = LeaderLoad(metrics=self.metrics)
        self._estimates: SharedEstimates | None = None
        if settings.share_estimates:
            self._estimates = SharedEstimates(
                table=services.table,
                link_mbps=settings.link_mbps,
                metrics=self.metrics,
            )
        self.service = FleetService(
            member=self,
            routing=self.routing,
            drains=self.drains,
            load=self.load,
            host=HostCapacity(
                link_mbps=settings.link_mbps, cpu_cores=settings.cpu_cores
            ),
            estimates=self._estimates.feed if self._estimates is not None else None,
        )
        self.cpu_load = CpuLoad()
        self.relief = LeaderRelief(member=self, cpu_load=self.cpu_load)
        self._services = services
        self._configuration = ConfigurationSource(
            services=services, routing=self.routing, drains=self.drains
        )
        self._row = LeaderRow(table=services.table)
        self._roster = Roster()
        self._done_tasks = DoneTasks()
        self._peers = Peers(settings=settings, roster=self._roster)
        self._following: LeaderStream | None = None
        self._asked_by: LeaderStream | None = None
        """Stream to a leader that asked this member to lead and may not have stepped
        down yet."""

        self._superseded_signal = SupersededSignal()
        self._term: LeaderTerm | None = None
        self._resigned = asyncio.Event()
        self._leadership_announced = asyncio.Event()
        self._stopping = False
        self._stopping_leftovers: asyncio.Future[None] | None = None
        self._last_followed_token = NO_TOKEN
        self.asked_to_lead: set[str] = set()
        """Members that this one has asked to lead since it began to stop."""

        self.routing.on_change(self._apply_routing)
        self.drains.on_change(self._apply_drains)
        register_metrics(self)

    @property
    def is_stopping(self) -> bool:
        """Whether this member is stopping."""
        return self._stopping

    @property
    def is_ready(self) -> bool:
        """Whether this member can serve callers' jobs."""
        return (
            not self._stopping
            and self.routing.current is not None
            and self.caller_jobs.has_leader
        )

    @property
    def hears_leader(self) -> bool:
        """Whether this member leads, or has heard its leader recently."""
        if self.leader is not None:
            return True
        return self._following is not None and self._following.hears_leader

    @property
    def leader_hears_targets(self) -> int:
        """Number of targets that have reported to this member as the leader."""
        if self.leader is None:
            return 0
        return self.leader.heard_targets

    @property
    def known_targets(self) -> Mapping[str, TargetReport]:
        """The directory of targets by id, as the leader last sent it."""
        return self._roster.targets_by_id

    @property
    def known_members(self) -> Sequence[pb.Member]:
        """Followers of the leader, as it last sent them."""
        return self._roster.members

    def read_routing(self, document: pb.RoutingDocument) -> None:
        """Offer a configuration that another member sent."""
        self._configuration.read(document)

    def read_drains(self, message: pb.DrainedDomains) -> None:
        """Offer the drained failure domains that another member knows."""
        self._configuration.read_drains(message)

    def note_reachable_leader(self, leadership: Leadership) -> None:
        """Record that another member leads and can be reached.

        Otherwise a leader that handed over during an outage of the table service would
        continue without targets, and its followers with it.
        """
        if leadership.token <= self._known_token():
            return
        followed = self._following
        if followed is not None and followed.is_of(leadership.member_id):
            # The leader that is followed continues with a higher token. Leaving it and
            # joining it again would cost this member's callers 0.3 s.
            followed.continue_as(leadership)
            return
        self.known_leadership = leadership
        self._leadership_announced.set()
        if self.leader is not None:
            self._superseded_signal.signal()
            if self._term is not None:
                self._term.note_later_leader()
        elif self._following is not None:
            self._following.end_for(leadership)

    def note_joined(self, address: str) -> None:
        """Record a follower's address for other members."""
        self._peers.note_address(address)

    def note_silent_member(self) -> None:
        """Record that a follower fell silent."""
        if self._term is not None:
            self._term.note_silent_member()

    def note_token(self, token: int) -> None:
        """Check for a later leader if another member has seen a higher token."""
        if self.leader is not None and token > self.leader.leadership.token:
            self._superseded_signal.signal()

    async def run(self) -> None:
        """Lead or follow until cancelled."""
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(self._configuration.watch())]
        if self.settings.cpu_cores:
            # Without a known capacity, no decision depends on how busy this process is.
            tasks.append(
                loop.create_task(
                    sample_cpu(self.cpu_load, cpu_cores=self.settings.cpu_cores)
                )
            )
        try:
            await self._lead_or_follow()
        finally:
            for task in tasks:
                task.cancel()
            if self.leader is not None:
                self._step_down(None)

    async def stop(self) -> None:
        """Hand the leadership over, and stop being ready for new callers.

        Returns when another member leads, when nobody is left who could, or when the
        time that the process has to stop is nearly over.
        """
        self._stopping = True
        if self._following is not None:
            self._following.leaving = True
            self._following.send_heartbeat()
        grace_s = self.settings.grace_s - STOP_MARGIN_S
        await self._hand_over(until=time.monotonic() + grace_s)

    async def _hand_over(self, *, until: float) -> None:
        """Ask members to lead, one after the other, until one does.

        A leader whose process ends while it leads is noticed by a broken connection or
        by its silence: all callers wait for an election that could have been avoided.

        :param until: monotonic time at which to give up, in seconds.
        """
        passed_over: set[str] = set()
        while self.leader is not None and time.monotonic() < until:
            successor = self.service.choose_successor(without=passed_over)
            if successor is None:
                if not self.asked_to_lead:
                    return
                # All were asked. If they have left, one of them leads, and the row
                # tells which.
                passed_over.clear()
                self._superseded_signal.signal()
                await asyncio.sleep(LOOK_PAUSE_S)
                continue
            await self._wait_until_informed(successor)
            if self.leader is None:
                return
            successor.ask_to_lead(self.leader.leadership)
            passed_over.add(successor.hello.member_id)
            self.asked_to_lead.add(successor.hello.member_id)
            self.relief.requests_by_reason["stopping"] += 1
            log_event(
                Event.HAND_OVER_ASKED,
                reason="stopping",
                member=successor.hello.member_id,
                heard_ms=round((time.monotonic() - successor.heard_at) * MILLISECONDS),
                left_ms=round((until - time.monotonic()) * MILLISECONDS),
            )
            await self._wait_for_successor(successor, until)
        if self.leader is not None:
            log_event(Event.HAND_OVER_FAILED, asked=len(self.asked_to_lead))

    async def _wait_until_informed(self, successor: Follower) -> None:
        """Wait up to ``INFORM_WAIT_S`` until a member was sent all lists.

        A leader that does not know the targets cannot tell what runs there, and gives
        up the jobs that it inherits.
        """
        end_at = time.monotonic() + INFORM_WAIT_S
        while (  # noqa: ASYNC110 - the lists are sent by another task
            successor.waiting and time.monotonic() < end_at
        ):
            await asyncio.sleep(HAND_OVER_POLL_S)

    async def _wait_for_successor(self, successor: Follower, until: float) -> None:
        """Wait until a member leads, or another one must be asked."""
        began_at = time.monotonic()
        was_gone = False
        while not self._resigned.is_set():
            now = time.monotonic()
            silent_s = now - max(successor.heard_at, began_at)
            if successor.is_gone and not was_gone:
                # It leads, or its process has ended: the leader's row tells.
                was_gone = True
                self._superseded_signal.signal()
            if silent_s >= SUCCESSOR_SILENCE_S or now - began_at >= SUCCESSOR_WAIT_S:
                return
            if now >= until:
                return
            await asyncio.sleep(HAND_OVER_POLL_S)

    async def _lead_or_follow(self) -> None:
        loss = Loss.NEVER_KNOWN
        waits = 0
        while True:
            if self._is_new_leader(self.known_leadership):
                loss = await self._follow_known()
                waits = 0
                if self._waits_for_earlier_claimants(loss):
                    await self._wait_for_announcement()
                    waits = 1
                continue
            step = await self._decide_unless_announced(loss, tries=waits)
            if step in (Step.CLAIM, Step.CLAIM_ALONE):
                is_asked = loss is Loss.ASKED
                if await self._claim(with_row=step is Step.CLAIM, is_asked=is_asked):
                    await self._lead()
                    loss = Loss.NEVER_KNOWN
                    waits = 0
            elif step is Step.FOLLOW_AGAIN:
                loss = await self._follow_known()
                waits = 0
            elif step is Step.WAIT:
                log_event(Event.LEADER_UNKNOWN, loss=loss)
                await self._wait_for_announcement()
                waits += 1
                if loss is not Loss.NEVER_KNOWN and waits % LOOKS_PER_RECONNECT == 0:
                    # A network partition may have healed.
                    loss = await self._follow_known()

    def _waits_for_earlier_claimants(self, loss: Loss) -> bool:
        """Return whether to leave asking and claiming to members earlier in the order.

        Their announcement arrives sooner than answers would if all members asked at
        once.
        """
        is_lost = loss in (Loss.SILENT, Loss.GONE)
        if not is_lost or self._is_new_leader(self.known_leadership):
            return False
        return not self._peers.claims_early

    async def _wait_for_announcement(self) -> None:
        """Wait up to ``LOOK_PAUSE_S`` for another member to announce that it leads."""
        # An announcement received while this member asked its peers counts, too.
        try:
            async with asyncio.timeout(LOOK_PAUSE_S):
                await self._leadership_announced.wait()
        except TimeoutError:
            return
        self._leadership_announced.clear()

    def _is_new_leader(self, leadership: Leadership | None) -> bool:
        """Return whether this is another member's term that was not followed yet."""
        return (
            leadership is not None
            and leadership.token != self._last_followed_token
            and leadership.member_id != self.member_id
        )

    async def _follow_known(self) -> Loss:
        known = self.known_leadership
        if known is None or known.member_id == self.member_id:
            return Loss.NEVER_KNOWN
        self._last_followed_token = known.token
        result = await self._follow(known)
        if result.end is FollowEnd.BROKEN and result.welcomed:
            # The connection was reset, or the process ended and refuses the next one.
            result = await self._follow(known)
        return self._loss_after(result)

    async def _decide_unless_announced(self, loss: Loss, *, tries: int) -> Step | None:
        """Decide on the next step, or return None once another member leads.

        Asking a member that is frozen takes until the timeout. A caller whose job ends
        meanwhile would wait for that, although its answer is known to the new leader.
        """
        deciding = asyncio.ensure_future(self._decide_step(loss, tries=tries))
        try:
            while not deciding.done():
                announced = asyncio.ensure_future(self._leadership_announced.wait())
                await asyncio.wait(
                    [deciding, announced], return_when=asyncio.FIRST_COMPLETED
                )
                announced.cancel()
                if not deciding.done():
                    self._leadership_announced.clear()
                    if self._is_new_leader(self.known_leadership):
                        return None
            return deciding.result()
        finally:
            deciding.cancel()

    async def _decide_step(self, loss: Loss, *, tries: int) -> Step:
        knows_targets = self._knows_targets
        is_quick = not knows_targets and loss in (Loss.NEVER_KNOWN, Loss.GONE)
        # In sequence, the full timeout during an outage of the table service would be
        # added to the timeout for members that are gone.
        looking = asyncio.ensure_future(
            self._peers.look(
                self.known_leadership,
                timeout_s=QUICK_LOOK_TIMEOUT_S if is_quick else LOOK_TIMEOUT_S,
            )
        )
        try:
            view = await self._row.read(
                QUICK_READ_TIMEOUT_S if knows_targets else CALL_TIMEOUT_S
            )
            if is_quick and self._follow_row(view.leadership):
                return Step.FOLLOW
            survey = await looking
        finally:
            looking.cancel()
        election_view = ElectionView(
            loss=loss,
            known=self.known_leadership,
            row=view.state,
            row_leadership=view.leadership,
            looks=survey.looks,
            members_asked=survey.asked,
            members_before=survey.members_before,
            fitter_is_silent=survey.fitter_is_silent,
            tries=tries,
            knows_targets=knows_targets,
            leader_answers=loss is Loss.SILENT and survey.leader_answers,
        )
        step = next_step(election_view)
        newest = latest(election_view)
        if step is Step.FOLLOW:
            self.known_leadership = newest
        log_event(
            Event.LEADER_LOST,
            loss=loss,
            step=step,
            row=election_view.row,
            looks=len(election_view.looks),
            asked=election_view.members_asked,
            token=newest.token if newest is not None else 0,
        )
        return step

    @property
    def _knows_targets(self) -> bool:
        """Whether this process has led, or has followed a leader that told targets."""
        return bool(self._roster.targets_by_id)

    def _follow_row(self, leadership: Leadership | None) -> bool:
        """Follow the leader in the row if it is later than the one that is known.

        A process that has just started need not wait for peers that do not answer:
        after a power loss of all hosts, most of them do not.

        :returns: whether to follow it.
        """
        if leadership is None or leadership.token <= self._known_token():
            return False
        self.known_leadership = leadership
        log_event(
            Event.LEADER_LOST,
            loss=Loss.NEVER_KNOWN,
            step=Step.FOLLOW,
            looks=0,
            asked=0,
            token=leadership.token,
        )
        return True

    async def _follow(self, leadership: Leadership) -> FollowResult:
        asked_by, self._asked_by = self._asked_by, None
        if asked_by is not None:
            is_same = asked_by.leadership.member_id == leadership.member_id
            await asked_by.wait_for_redirect(0.0 if is_same else REDIRECT_WAIT_S)
        stream = LeaderStream(
            leadership=leadership,
            hello=pb.Hello(
                member_id=self.member_id,
                address=str(self.settings.members),
                failure_domain=self.settings.failure_domain,
                token=self._known_token(),
                target_digests=self._roster.target_digests,
                routing_version=self.routing.version,
                link_mbps=self.settings.link_mbps,
                cpu_cores=self.settings.cpu_cores,
                leaving=self._stopping,
                answers_pauses=True,
                drained=from_drains(self.drains.current),
                led_tokens=sorted(self._roster.led_tokens),
                confirms_pages=True,
                list_token=self._roster.list_token,
                list_is_whole=self._roster.is_whole,
                list_digest=self._roster.list_digest,
            ),
            caller_jobs=self.caller_jobs,
            routing=self.routing,
            drains=self.drains,
            done_tasks=self._done_tasks,
            roster=self._roster,
            read_routing=self.read_routing,
            read_drains=self.read_drains,
            on_leadership=self._note_leadership,
            read_estimates=(
                self._estimates.read if self._estimates is not None else None
            ),
            cpu_load=self.cpu_load,
            connect_timeout_s=(
                CONNECT_TIMEOUT_S if self._knows_targets else EARLIER_CONNECT_TIMEOUT_S
            ),
        )
        self._following = stream
        self._leadership_announced.clear()
        self._peers.last_leader_address = leadership.address
        result = await stream.run()
        self._following = None
        if self._estimates is not None:
            self._estimates.end_following(stream.heard_at)
        self._asked_by = stream if result.end is FollowEnd.ASKED else None
        if result.welcomed:
            self._row.reset()
        log_event(
            Event.LEADER_LOST,
            leader=leadership.member_id,
            end=result.end,
            welcomed=result.welcomed,
        )
        return result

    def _note_leadership(self, leadership: Leadership) -> None:
        """Record that the followed leader continues under a higher token."""
        self.known_leadership = leadership
        self._last_followed_token = leadership.token

    def _loss_after(self, result: FollowResult) -> Loss:
        named_leadership = result.named_leadership
        if (
            named_leadership is not None
            and named_leadership.token > self._known_token()
        ):
            self.known_leadership = named_leadership
            return Loss.GONE
        match result.end:
            case FollowEnd.ASKED:
                return Loss.ASKED
            case FollowEnd.SILENT:
                return Loss.SILENT
            case _:
                return Loss.GONE

    async def _claim(self, *, with_row: bool, is_asked: bool) -> bool:
        """Claim the leadership; returns whether this member leads now.

        :param with_row: whether the row in the table service must be written first.
        :param is_asked: whether the leader asked this member to lead.
        """
        claim = self.next_leadership(reach=self._peers.reachable_members)
        if with_row:
            holder = await self._row.claim(claim)
            if is_asked and holder is not None and holder.token < claim.token:
                # The leader that asked has renewed the row since it was read.
                holder = await self._row.claim(claim)
            if holder is None:
                await asyncio.sleep(LOOK_PAUSE_S)
                return False
            if holder != claim:
                self.known_leadership = holder
                return False
        self.known_leadership = claim
        return True

    def next_leadership(self, *, reach: int, terms: int = 1) -> Leadership:
        """Return the leadership that this member would claim now.

        :param reach: number of members that answer or follow this one.
        :param terms: number of terms to advance by.
        """
        return next_leadership(
            self.known_leadership,
            member_id=self.member_id,
            address=str(self.settings.members),
            reach=reach,
            terms=terms,
        )

    async def _lead(self) -> None:
        leadership = self.known_leadership
        if leadership is None:
            raise AssertionError("a claim sets the leadership")
        self._superseded_signal.reset()
        leader = Leader(
            leadership=leadership,
            services=self._services,
            routing=self.routing,
            drains=self.drains,
            caller_jobs=self.caller_jobs,
            metrics=self.metrics,
            settings=settings_for_lease(
                self.settings.lease_ms / MILLISECONDS,
                remote_rack_factor=self.settings.remote_rack_factor,
                admission=self.settings.admission,
                cpu_cores=self.settings.cpu_cores,
            ),
            known_targets=self._roster.targets_by_id,
            knows_all_targets=self._roster.is_whole,
            predecessor_tokens=self._roster.leader_tokens,
            on_superseded=self._superseded_signal.signal,
            load=self.load,
            failure_domain=self.settings.failure_domain,
        )
        leader.on_tick = self._on_leader_tick
        leader.on_directory_change = self.service.note_target
        leader.on_whole_directory = self.service.note_whole_directory
        self.service.begin_term(leader)
        self.load.begin_term(called_bytes=self._services.bytes_sent())
        if self._estimates is not None:
            self._estimates.begin_term(leader.tables)
        self.leader = leader
        self._resigned.clear()
        log_event(
            Event.LEADER_ELECTED,
            token=leadership.token,
            term=leadership.term,
            targets=len(leader.reports_by_id),
            link_mbps=self.settings.link_mbps,
            cpu_cores=self.settings.cpu_cores,
        )
        leader.open()
        for job_id in self._done_tasks.take_cancelled():
            leader.cancel_by_caller(job_id)
        for refs in self._done_tasks.take().values():
            leader.note_done(refs)
        attaching = asyncio.ensure_future(self._attach_callers(leader))
        attaching.add_done_callback(report_failure)
        self._term = LeaderTerm(
            leader=leader,
            member=self,
            row=self._row,
            peers=self._peers,
            superseded_signal=self._superseded_signal,
        )
        self._step_down(await self._term.run())

    async def _attach_callers(self, leader: Leader) -> None:
        """Take over this member's own jobs, with what an earlier leader tells of them.

        A leader that asked this member to lead steps down when it hears of the new
        term, and tells outcomes and finished tasks before that.
        """
        asked_by, self._asked_by = self._asked_by, None
        if asked_by is not None:
            await asked_by.wait_for_redirect(REDIRECT_WAIT_S)
        if self.leader is not leader:
            return
        if asked_by is not None:
            leader.note_handed_over(
                unheard_targets=asked_by.unheard_targets,
                has_told_targets=asked_by.has_told_targets,
            )
        leader.attach_callers()

    def _on_leader_tick(self) -> None:
        self._report_load()
        if self._estimates is not None:
            self._estimates.tick(time.monotonic())

    def _report_load(self) -> None:
        sent_mbps = self.load.log_if_due(
            followers=len(self.service.followers),
            waiting=self.service.most_waiting,
            called_bytes=self._services.bytes_sent(),
            asks_first=self.leader is not None and self.leader.asks_first,
        )
        if sent_mbps is not None:
            self.relief.check_load(sent_mbps)
        self.relief.check_fitness()

    def _step_down(self, successor: Leadership | None) -> None:
        leader = self.leader
        if leader is None:
            return
        self.leader = None
        self._term = None
        self._resigned.set()
        self._roster.replace_targets(leader.reports_by_id, leader.own_tokens)
        if self._estimates is not None:
            self._estimates.end_term()
        leader.close()
        leader.send_progress()
        if successor is not None:
            self.known_leadership = successor
            if not self._stopping:
                self._stopping_leftovers = asyncio.ensure_future(
                    leader.stop_leftovers()
                )
                self._stopping_leftovers.add_done_callback(report_failure)
        self.service.redirect_all(successor, unheard_targets=leader.unreported_targets)
        log_event(
            Event.LEADER_RESIGNED,
            reason="superseded",
            successor=successor.member_id if successor else None,
        )

    def _known_token(self) -> int:
        return (
            self.known_leadership.token
            if self.known_leadership is not None
            else NO_TOKEN
        )

    def _apply_routing(self, table: RoutingTable) -> None:
        if self.leader is not None:
            self.leader.apply_routing(table)
            self.service.note_routing()
        elif self._following is not None:
            self._following.send_heartbeat()

    def _apply_drains(self, drains: DrainedDomains) -> None:
        if self.leader is not None:
            self.leader.apply_drains(drains)
        elif self._following is not None:
            self._following.send_heartbeat()
