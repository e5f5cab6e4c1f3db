"""The configuration, as operators publish it and as members hand it on."""

from collections.abc import Iterable

from cassiaturn.entities import RoutingTable
from cassiaturn.fleet._ports import PlatformServices
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.fleet._watch import Watch
from cassiaturn.observability import Event, log_event
from cassiaturn.v1 import fleet_pb2 as pb

ROUTING_WAIT_S = 2.5
"""Longest wait for a change of the configuration in one call, in seconds: a
connection that went silent is noticed within it, and a version is in force 2 s
after its acknowledgement at members that are not cut off."""


class ConfigurationSource:
    """Offers every version that is heard of to the keeper of the one in force."""

    def __init__(self, *, services: PlatformServices, routing: CurrentRouting) -> None:
        """Prepare; :meth:`watch` follows the operators' row."""
        self._services = services
        self._routing = routing

    async def watch(self) -> None:
        """Follow the operators' row until cancelled."""
        watch = Watch(
            name="configuration",
            source=self._services.routing,
            on_snapshot=lambda entries: self._offer(entries.values()),
            on_change=lambda _, entry: self._offer([entry] if entry else []),
            wait_s=ROUTING_WAIT_S,
        )
        await watch.run()

    def read(self, document: pb.RoutingDocument) -> None:
        """Take in a version that another member handed on."""
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
