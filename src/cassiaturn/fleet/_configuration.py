"""Receives configuration versions from the table service and from other members."""

from collections.abc import Iterable

from cassiaturn.entities import RoutingTable
from cassiaturn.fleet._ports import PlatformServices
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.fleet._watch import Watch
from cassiaturn.observability import Event, log_event
from cassiaturn.v1 import fleet_pb2 as pb

ROUTING_WAIT_S = 2.5
"""Longest wait for a configuration change in one call, in seconds. It bounds how long
a dead connection goes unnoticed; a version is in force 2 s after its acknowledgement
on members that reach the table service."""


class ConfigurationSource:
    """Offers every version it receives to :class:`CurrentRouting`."""

    def __init__(self, *, services: PlatformServices, routing: CurrentRouting) -> None:
        """Prepare; :meth:`watch` follows the published configuration."""
        self._services = services
        self._routing = routing

    async def watch(self) -> None:
        """Follow the published configuration until cancelled."""
        watch = Watch(
            name="configuration",
            source=self._services.routing,
            on_snapshot=lambda entries: self._offer(entries.values()),
            on_change=lambda _, entry: self._offer([entry] if entry else []),
            wait_s=ROUTING_WAIT_S,
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

    def _offer(self, tables: Iterable[RoutingTable]) -> None:
        for table in tables:
            self._routing.offer(table, "store")
