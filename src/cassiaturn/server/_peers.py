"""Manages the other instances: links, heartbeats, forwarded calls and liveness."""

import asyncio
import time
from collections.abc import Callable, Collection, Mapping, Sequence
from functools import partial

from cassiaturn.engine import (
    State,
    dispatch,
    expected_wait_s,
    on_cancel,
    on_peer_gone,
    on_spill_outcome,
    on_spilled,
    resend,
)
from cassiaturn.entities import Address, TaskKey
from cassiaturn.membership import (
    MemberChange,
    MemberFacts,
    MembershipSettings,
    MembershipTable,
    MemberState,
    links_of,
)
from cassiaturn.observability import Direction, Event, Metrics, WastedMessage, log_event
from cassiaturn.policy import FreeSlotNotices, PeerRow
from cassiaturn.server._forwards import Forwards
from cassiaturn.server._link import FrameStream, Link, LinkDialer
from cassiaturn.submission import booted_ms, instance_of
from cassiaturn.v1 import peer_pb2

FETCH_TIMEOUT_S = 1.0
"""Longest wait for the shared configuration from a peer, in seconds."""

CLOSE_TIMEOUT_S = 1.0
"""Longest wait for the links to close, in seconds."""

MS_PER_S = 1000


class PeerManager:
    """Keeps links to peers and passes the received frames on to the engine."""

    def __init__(
        self,
        *,
        state: State,
        membership: MembershipTable,
        addresses_by_instance: Mapping[str, Address],
        links_by_incarnation: dict[str, Link],
        metrics: Metrics,
        own_facts: Callable[[], MemberFacts],
        on_change: Callable[[Sequence[MemberChange]], None],
        connect_timeout_s: float,
        full_links: int,
    ) -> None:
        """Start without links.

        :param own_facts: returns the present facts about this instance.
        :param on_change: called with the member changes of each tick that has any.
        :param connect_timeout_s: longest wait for a peer's first frame, in seconds.
        :param full_links: largest fleet, in instances, in which each is linked to
            every other; in larger fleets only neighbours are linked.
        """
        self._state = state
        self._membership = membership
        self._addresses_by_instance = dict(addresses_by_instance)
        self.links_by_incarnation = links_by_incarnation
        self._metrics = metrics
        self._notices = FreeSlotNotices(
            failure_domain=membership.me.facts.failure_domain
        )
        self._own_facts = own_facts
        self._on_change = on_change
        self._connect_timeout_s = connect_timeout_s
        self._full_links = full_links
        self._near_links = MembershipSettings().near_links
        self._dialers_by_instance: dict[str, asyncio.Task[None]] = {}
        self.forwards = Forwards(membership=membership)
        for instance_id, address in addresses_by_instance.items():
            self.forwards.set_address(instance_id, address)
        self.domains_by_incarnation: dict[str, set[str]] = {}
        """Failure domains in which an incarnation ever held targets."""
        self._ended_incarnations: set[str] = set()

    def set_address(self, instance_id: str, address: Address) -> None:
        """Set an instance's address; a link to an earlier address is dialled anew."""
        known = self._addresses_by_instance.get(instance_id)
        is_me = instance_id == self._membership.me.facts.instance_id
        if known == address or is_me:
            return
        self._addresses_by_instance[instance_id] = address
        dialer = self._dialers_by_instance.pop(instance_id, None)
        if dialer is not None:
            dialer.cancel()
        self.forwards.set_address(instance_id, address)

    def is_gone(self, incarnation: str) -> bool:
        """Return whether an incarnation has ended or was silent for too long."""
        if incarnation in self._ended_incarnations:
            return True
        row = self._membership.members_by_id.get(instance_of(incarnation) or "")
        if row is None or row.facts.incarnation != incarnation:
            return False
        return row.state is MemberState.GONE

    def mark_ended_if_replaced(self, incarnation: str) -> None:
        """Mark an incarnation as ended if a newer one of its instance was heard."""
        row = self._membership.members_by_id.get(instance_of(incarnation) or "")
        known = row.facts.incarnation if row is not None else ""
        if row is None or not known or known == incarnation or not row.heard_at:
            return
        # An instance id belongs to one process at a time, so an incarnation that
        # was heard has replaced every older one. A newer one may not have been
        # heard yet; marked as ended, it would be fenced in its first second.
        if booted_ms(incarnation) < booted_ms(known):
            self._ended_incarnations.add(incarnation)

    async def fetch_configuration(self, version: int) -> str | None:
        """Return the shared configuration of a member with at least this version."""
        for row in self._membership.members_by_id.values():
            if row.facts.configuration_version < version:
                continue
            request = peer_pb2.ForwardRequest(wants_configuration=True)
            incarnation = row.facts.incarnation
            reply = await self.forwards.forward(
                incarnation, request, timeout_s=FETCH_TIMEOUT_S
            )
            if reply is not None and reply.configuration_json:
                return reply.configuration_json
        return None

    async def serve(self, stream: FrameStream, first: peer_pb2.PeerFrame) -> None:
        """Run a link opened by either side until it ends."""
        if not first.HasField("heartbeat"):
            return
        incarnation = first.heartbeat.incarnation
        link = Link(incarnation=incarnation)
        older = self.links_by_incarnation.get(incarnation)
        if older is not None:
            older.closed.set()
        self.links_by_incarnation[incarnation] = link
        log_event(Event.PEER_CONNECTED, incarnation=incarnation)
        self._send_heartbeat(link)
        try:
            await link.run(
                stream,
                first=first,
                before_send=self._before_send,
                on_frame=self._on_frame,
            )
        finally:
            if self.links_by_incarnation.get(incarnation) is link:
                del self.links_by_incarnation[incarnation]
                self._membership.disconnected(incarnation, time.monotonic())
                self._set_ready(incarnation, False)
            log_event(Event.PEER_LOST, incarnation=incarnation)

    def first_frame(self) -> peer_pb2.PeerFrame:
        """Return the frame that opens a link: a full heartbeat."""
        return peer_pb2.PeerFrame(heartbeat=self._heartbeat(full=True))

    def tick(self, now: float) -> None:
        """Update the membership, open links and send the heartbeats that are due."""
        self._membership.describe(self._own_facts())
        changes = self._membership.tick(now)
        for change in changes:
            self._apply_change(change, now)
        if changes:
            self._on_change(changes)
        self._dial(now)
        self._send_notices(now)
        neighbours = self._membership.heartbeat_peer_ids()
        for link in self.links_by_incarnation.values():
            # Only neighbours get heartbeats of their own, which bounds their
            # number; other links piggyback the load on frames that carry work.
            instance_id = instance_of(link.incarnation) or ""
            is_neighbour = instance_id in neighbours
            if is_neighbour and self._membership.heartbeat_due(instance_id, now):
                self._send_heartbeat(link)
        self._membership.heartbeats_sent()

    def _send_notices(self, now: float) -> None:
        state = self._state
        due = self._notices.due(
            free_slots=state.free_slots(),
            queued=len(state.queue),
            peers=state.peers_by_incarnation.values(),
            now=now,
        )
        for incarnation in due:
            link = self.links_by_incarnation.get(incarnation)
            if link is not None:
                self._send_heartbeat(link)

    def announce(self) -> None:
        """Send every linked peer a heartbeat with the present state at once."""
        self._membership.describe(self._own_facts())
        for link in self.links_by_incarnation.values():
            self._send_heartbeat(link)

    async def close(self) -> None:
        """Close every link and connection."""
        for dialer in self._dialers_by_instance.values():
            dialer.cancel()
        for link in list(self.links_by_incarnation.values()):
            link.closed.set()
        self.forwards.close()
        dialers = self._dialers_by_instance.values()
        if dialers:
            await asyncio.wait(dialers, timeout=CLOSE_TIMEOUT_S)

    def _dial(self, now: float) -> None:
        # The instance with the lower id dials, so that each pair has one link.
        me = self._membership.me.facts.instance_id
        wanted = {
            instance_id for instance_id in self._peers_to_link() if me < instance_id
        }
        # Both sides dial a suspected neighbour: a refused connection is evidence
        # that its process has ended.
        wanted |= self._lost_neighbours()
        for instance_id in wanted - self._dialers_by_instance.keys():
            dialer = LinkDialer(
                address=self._addresses_by_instance[instance_id],
                first_frame=self.first_frame,
                serve=self.serve,
                on_refused=partial(self._on_connection_refused, instance_id),
                connect_timeout_s=self._connect_timeout_s,
            )
            self._dialers_by_instance[instance_id] = asyncio.create_task(
                dialer.run(), name=f"link-{instance_id}"
            )
        for instance_id in self._dialers_by_instance.keys() - wanted:
            self._dialers_by_instance.pop(instance_id).cancel()

    def _lost_neighbours(self) -> set[str]:
        members = self._membership.members_by_id
        return {
            instance_id
            for instance_id in self._peers_to_link()
            if instance_id in members and members[instance_id].suspected
        }

    def _on_connection_refused(self, instance_id: str) -> None:
        self._membership.refused(instance_id, time.monotonic())

    def _peers_to_link(self) -> Collection[str]:
        known = self._addresses_by_instance.keys()
        if len(known) < self._full_links:
            return known
        return known & set(self._membership.heartbeat_peer_ids())

    def exchanges_heartbeats_with(self, incarnation: str) -> bool:
        """Return whether this instance exchanges heartbeats with an incarnation."""
        instance_id = instance_of(incarnation) or ""
        return instance_id in self._membership.heartbeat_peer_ids()

    def monitors_of(self, incarnation: str) -> Sequence[str]:
        """Return the other instances that receive an incarnation's heartbeats.

        In a large fleet an instance exchanges heartbeats with few others and
        cannot detect the failure of the rest; the returned instances can.
        """
        subject = instance_of(incarnation) or ""
        domains = {
            instance_id: row.facts.failure_domain
            for instance_id, row in self._membership.members_by_id.items()
        }
        me = self._membership.me.facts
        domains[me.instance_id] = me.failure_domain
        if subject not in domains:
            return ()
        links = links_of(
            instance_id=subject,
            domains_by_instance=domains,
            near_links=self._near_links,
        )
        return sorted(link for link in links if link != me.instance_id)

    def _apply_change(self, change: MemberChange, now: float) -> None:
        log_event(
            Event.PEER_STATE,
            peer=change.instance_id,
            incarnation=change.incarnation,
            before=change.before,
            after=change.after,
        )
        if change.superseded_by:
            self._ended_incarnations.add(change.incarnation)
        if change.after is MemberState.GONE or change.superseded_by:
            on_peer_gone(self._state, change.incarnation, now)
            self.forwards.cancel_calls(change.incarnation)
            self._notices.forget(change.incarnation)
        else:
            ready = change.after is MemberState.READY
            self._set_ready(change.incarnation, ready)

    def _set_ready(self, incarnation: str, ready: bool) -> None:
        row = self._state.peers_by_incarnation.get(incarnation)
        if row is not None:
            row.ready = ready and incarnation in self.links_by_incarnation

    def _on_frame(self, link: Link, frame: peer_pb2.PeerFrame) -> None:
        now = time.monotonic()
        state = self._state
        peer = link.incarnation
        self._count_frame(frame, Direction.RECEIVED)
        if frame.HasField("heartbeat"):
            self._observe(link, frame.heartbeat, now)
        else:
            self._membership.heard(peer, now)
        for outcome in frame.outcomes:
            on_spill_outcome(state, peer, outcome, now)
        for spilled in frame.spills:
            on_spilled(state, peer, spilled, now)
        for ref in frame.cancels:
            key = TaskKey(ref.submission_id, ref.index)
            on_cancel(state, key, ref.attempt)
        dispatch(state, now)

    def _observe(self, link: Link, beat: peer_pb2.Heartbeat, now: float) -> None:
        try:
            facts = MemberFacts.from_message(beat)
        except ValueError:
            return
        self._membership.observe(facts, now)
        peers = self._state.peers_by_incarnation
        row = peers.get(facts.incarnation)
        if row is None:
            if self.is_gone(facts.incarnation):
                return
            row = PeerRow(
                instance_id=facts.instance_id,
                incarnation=facts.incarnation,
                failure_domain=facts.failure_domain,
                free_slots=0,
                queued=0,
                expected_wait_s=0.0,
                reported_at=now,
                ready=False,
                slots=facts.slots,
            )
            peers[facts.incarnation] = row
        if link.frames_received == 0:
            resend(self._state, facts.incarnation)
        row.slots = facts.slots
        row.ready = facts.state is MemberState.READY
        row.apply_report(
            free_slots=facts.free_slots,
            queued=facts.queued,
            expected_wait_s=facts.expected_wait_ms / MS_PER_S,
            now=now,
        )
        self.domains_by_incarnation.setdefault(
            facts.incarnation, {facts.failure_domain}
        ).update(beat.held_domains)
        if beat.tenants:
            self._state.tenant_loads_by_peer[facts.incarnation] = {
                load.tenant: load.running + load.queued for load in beat.tenants
            }

    def _send_heartbeat(self, link: Link) -> None:
        link.outbox.pending.heartbeat.CopyFrom(self._heartbeat(full=True))
        link.outbox.notify()

    def _before_send(self, link: Link, frame: peer_pb2.PeerFrame) -> None:
        now = time.monotonic()
        if not frame.HasField("heartbeat"):
            frame.heartbeat.CopyFrom(self._heartbeat(full=False))
        self._membership.sent(instance_of(link.incarnation) or "", now)
        self._notices.record_sent(link.incarnation, frame.heartbeat.free_slots)
        self._count_frame(frame, Direction.SENT)

    def _heartbeat(self, *, full: bool) -> peer_pb2.Heartbeat:
        facts = self._own_facts()
        beat = peer_pb2.Heartbeat(
            instance_id=facts.instance_id,
            incarnation=facts.incarnation,
            failure_domain=facts.failure_domain,
            state=_NUMBERS_BY_STATE[facts.state],
            configuration_version=facts.configuration_version,
            free_slots=facts.free_slots,
            queued=facts.queued,
            expected_wait_ms=facts.expected_wait_ms,
            slots=facts.slots,
        )
        if full:
            beat.held_domains.extend(self._held_domains())
            beat.suspected.extend(self._membership.suspicions())
            self._add_tenants(beat)
        return beat

    def _count_frame(self, frame: peer_pb2.PeerFrame, direction: Direction) -> None:
        metrics = self._metrics
        metrics.peer_frames_by_direction[direction].value += 1
        metrics.peer_bytes_by_direction[direction].value += frame.ByteSize()
        if direction is Direction.SENT and not (
            frame.spills or frame.outcomes or frame.cancels
        ):
            metrics.wasted_by_kind[WastedMessage.CONTROL].value += 1

    def _held_domains(self) -> Collection[str]:
        rows = self._state.targets_by_id.values()
        return sorted({row.failure_domain for row in rows})

    def _add_tenants(self, beat: peer_pb2.Heartbeat) -> None:
        state = self._state
        queued_by_tenant = state.queue.queued_by_tenant()
        for tenant in set(queued_by_tenant) | set(+state.running_by_tenant):
            beat.tenants.add(
                tenant=tenant,
                running=state.running_by_tenant[tenant],
                queued=queued_by_tenant.get(tenant, 0),
            )


_NUMBERS_BY_STATE = {
    MemberState.STARTING: peer_pb2.INSTANCE_STATE_STARTING,
    MemberState.READY: peer_pb2.INSTANCE_STATE_READY,
    MemberState.LEAVING: peer_pb2.INSTANCE_STATE_LEAVING,
}


def load_of(state: State) -> tuple[int, int, int, int]:
    """Return slots, free slots, queued tasks and expected wait in ms."""
    slots = state.usable_slots()
    wait_s = expected_wait_s(state) if slots else 0.0
    return slots, state.free_slots(), len(state.queue), int(wait_s * MS_PER_S)
