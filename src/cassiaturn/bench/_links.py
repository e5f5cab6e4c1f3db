"""Links between instances: load reports ride on every message."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from cassiaturn.bench._held import Report
from cassiaturn.bench._message import MessageKind
from cassiaturn.bench._world import World
from cassiaturn.membership import MembershipSettings, links_of
from cassiaturn.policy import FreeSlotNotices, PeerRow

if TYPE_CHECKING:
    from cassiaturn.bench._instance import Instance


class PeerLinks:
    """What one instance knows of the others, and its messages to them."""

    def __init__(
        self, *, world: World, instance_id: str, failure_domain: str, heartbeat_s: float
    ) -> None:
        self.rows_by_id: dict[str, PeerRow] = {}
        self.demand_by_peer: dict[str, Mapping[str, int]] = {}
        self._world = world
        self._instance_id = instance_id
        self._failure_domain = failure_domain
        self._heartbeat_s = heartbeat_s
        self._instances_by_id: dict[str, Instance] = {}
        self._sent_at_by_peer: dict[str, float] = {}
        self._neighbours: Collection[str] = ()
        self._notices = FreeSlotNotices(failure_domain=failure_domain)

    def add(self, other: "Instance") -> None:
        """Learn of another instance, idle as far as is known."""
        now = self._world.loop.now
        self._instances_by_id[other.instance_id] = other
        self._sent_at_by_peer[other.instance_id] = now
        slots = other.usable_slots()
        self.rows_by_id[other.instance_id] = PeerRow(
            instance_id=other.instance_id,
            incarnation=other.instance_id,
            failure_domain=other.failure_domain,
            free_slots=slots,
            queued=0,
            expected_wait_s=0.0,
            reported_at=now,
            ready=True,
            slots=slots,
        )

    def rows(self) -> Sequence[PeerRow]:
        """Return what is known of each peer."""
        return list(self.rows_by_id.values())

    def instance(self, instance_id: str) -> "Instance":
        """Return a peer."""
        return self._instances_by_id[instance_id]

    def find_neighbours(self) -> None:
        """Choose the peers that get heartbeats, from all that were added."""
        domains_by_instance = {
            instance_id: other.failure_domain
            for instance_id, other in self._instances_by_id.items()
        }
        domains_by_instance[self._instance_id] = self._failure_domain
        self._neighbours = links_of(
            instance_id=self._instance_id,
            domains_by_instance=domains_by_instance,
            near_links=MembershipSettings().near_links,
        )

    def silent(self) -> Iterable["Instance"]:
        """Return the neighbours that have heard nothing for a heartbeat's time."""
        now = self._world.loop.now
        return [
            self._instances_by_id[instance_id]
            for instance_id, sent_at in self._sent_at_by_peer.items()
            if instance_id in self._neighbours and now - sent_at >= self._heartbeat_s
        ]

    def to_notify(self, *, free_slots: int, queued: int) -> Iterable["Instance"]:
        """Return the peers that wait and do not know of the free slots here.

        :param free_slots: free here.
        :param queued: tasks that wait here.
        """
        due = self._notices.due(
            free_slots=free_slots,
            queued=queued,
            peers=self.rows_by_id.values(),
            now=self._world.loop.now,
        )
        return [self._instances_by_id[instance_id] for instance_id in due]

    def send(
        self,
        kind: MessageKind,
        peer: "Instance",
        report: Report,
        callback: Callable[..., None],
        *args: Any,
    ) -> None:
        """Send a message with a report of our load on it."""
        self._sent_at_by_peer[peer.instance_id] = self._world.loop.now
        self._notices.record_sent(peer.instance_id, report.free_slots)
        self._world.send(
            kind,
            self._failure_domain,
            peer.failure_domain,
            peer.links.receive,
            self._instance_id,
            report,
            callback,
            *args,
        )

    def receive(
        self, sender: str, report: Report, callback: Callable[..., None], *args: Any
    ) -> None:
        """Take in a message from a peer."""
        self.rows_by_id[sender].apply_report(
            free_slots=report.free_slots,
            queued=report.queued,
            expected_wait_s=report.expected_wait_s,
            now=self._world.loop.now,
        )
        self.demand_by_peer[sender] = report.demand_by_tenant
        callback(*args)
