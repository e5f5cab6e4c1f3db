"""Everything that a member asks of this platform, connected."""

from socket import socket

from cassiaturn.fleet import CallerJobService, PlatformServices
from cassiaturn.platform._decode import decode_configuration, decode_target
from cassiaturn.platform._entry import CallerServer
from cassiaturn.platform._store_calls import StoreCaller
from cassiaturn.platform._table import PlatformTable
from cassiaturn.platform._targets import RunnerCalls
from cassiaturn.platform._watched import WatchedTable
from cassiaturn.settings import FleetSettings
from cassiaturn.transport.http_client import HttpClient

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGETS_TABLE = "servers"

OWN_TABLE = "cassiaturn"
"""The product's own rows."""


class PlatformAdapter:
    """Connects a member to this platform."""

    def __init__(
        self, settings: FleetSettings, *, client: HttpClient | None = None
    ) -> None:
        """Prepare; connections open on use.

        :param settings: name the addresses.
        :param client: makes the calls; None: one of its own.
        """
        self._settings = settings
        self._client = client or HttpClient()

    def services(self) -> PlatformServices:
        """Return what the member asks of the platform."""
        address = str(self._settings.table_service)
        caller = StoreCaller(client=self._client, address=address)
        return PlatformServices(
            table=PlatformTable(caller=caller, table=OWN_TABLE),
            routing=WatchedTable(
                caller=caller,
                table=CONFIGURATION_TABLE,
                decode=lambda _, document: decode_configuration(document),
                keys=frozenset({CONFIGURATION_KEY}),
            ),
            read_routing=decode_configuration,
            directory=WatchedTable(
                caller=caller, table=TARGETS_TABLE, decode=decode_target
            ),
            targets=RunnerCalls(client=self._client),
            bytes_sent=lambda: self._client.bytes_sent,
        )

    def caller_server(
        self, desk: CallerJobService, callers: socket, *, opened_at: float
    ) -> CallerServer:
        """Return the servers for callers, on a listening socket, and the balancer.

        :param opened_at: since when it listens, in seconds.
        """
        return CallerServer(
            callers=callers,
            opened_at=opened_at,
            readiness=self._settings.readiness,
            desk=desk,
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()
