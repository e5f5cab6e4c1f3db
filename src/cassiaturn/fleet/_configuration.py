"""Receives what operators publish, from the table service and from other members."""

from collections.abc import Iterable, Mapping

from cassiaturn.entities import DrainedDomains, DrainRequest, RoutingTable
from cassiaturn.fleet._codec import to_drains
from cassiaturn.fleet._drains import CurrentDrains
from cassiaturn.fleet._ports import OperatorEntry, PlatformServices
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.fleet._watch import Watch
from cassiaturn.observability import Event, log_event
from cassiaturn.v1 import fleet_pb2 as pb

OPERATORS_WAIT_S = 1.6
"""Longest wait for a change by operators in one call, in seconds. It bounds how long a
silent connection goes unnoticed: a member that lost its connections counts as in touch
again after 3 s, and has what was published meanwhile by then. The timeout of the call
and the next one, on a new connection, take another 0.8 s."""


class ConfigurationSource:
    """Offers each received state to :class:`CurrentRouting`, :class:`CurrentDrains`."""

    def __init__(
        self,
        *,
        services: PlatformServices,
        routing: CurrentRouting,
        drains: CurrentDrains,
    ) -> None:
        """Prepare; :meth:`watch` follows what operators publish."""
        self._services = services
        self._routing = routing
        self._drains = drains
        self._drained_by_key: dict[str, str] = {}

    async def watch(self) -> None:
        """Follow what operators publish until cancelled."""
        watch = Watch(
            name="operators",
            source=self._services.operators,
            on_snapshot=self._read_snapshot,
            on_change=self._read_change,
            on_version=self._offer_drains,
            wait_s=OPERATORS_WAIT_S,
        )
        await watch.run()

    def read(self, document: pb.RoutingDocument) -> None:
        """Offer a version that another member sent; log it if it is malformed."""
        if document.version <= self._routing.version:
            return
        table = self._services.read_routing(document.document)
        if table is None:
            log_event(Event.CONFIGURATION_REJECTED, version=document.version)
            return
        self._routing.offer(table, "member")

    def read_drains(self, message: pb.DrainedDomains) -> None:
        """Offer the drained failure domains that another member knows."""
        drains = to_drains(message)
        if drains is not None:
            self._drains.offer(drains, "member")

    def _read_snapshot(self, entries_by_key: Mapping[str, OperatorEntry]) -> None:
        self._drained_by_key = {
            key: entry.failure_domain
            for key, entry in entries_by_key.items()
            if isinstance(entry, DrainRequest)
        }
        self._offer_tables(entries_by_key.values())

    def _read_change(self, key: str, entry: OperatorEntry | None) -> None:
        if isinstance(entry, DrainRequest):
            self._drained_by_key[key] = entry.failure_domain
        elif entry is None:
            self._drained_by_key.pop(key, None)
        else:
            self._offer_tables([entry])

    def _offer_tables(self, entries: Iterable[OperatorEntry]) -> None:
        for entry in entries:
            if isinstance(entry, RoutingTable):
                self._routing.offer(entry, "store")

    def _offer_drains(self, version: int) -> None:
        failure_domains = frozenset(self._drained_by_key.values())
        drains = DrainedDomains(version=version, failure_domains=failure_domains)
        self._drains.offer(drains, "store")
