"""Connects a member to all services of the platform."""

from socket import socket

from cassiaturn.fleet import CallerJobService, PlatformServices
from cassiaturn.platform._caller_server import CallerServer
from cassiaturn.platform._decode import (
    decode_configuration,
    decode_operator_row,
    decode_target,
    is_operator_key,
)
from cassiaturn.platform._store_client import StoreClient
from cassiaturn.platform._table import PlatformTable
from cassiaturn.platform._targets import RunnerCalls
from cassiaturn.platform._watched_table import WatchedTable
from cassiaturn.settings import FleetSettings
from cassiaturn.transport.http_client import HttpClient

OPERATORS_TABLE = "op"
TARGETS_TABLE = "servers"

OWN_TABLE = "cassiaturn"
"""Table of cassiaturn's own rows."""


class PlatformAdapter:
    """Connects a member to this platform."""

    def __init__(
        self, settings: FleetSettings, *, client: HttpClient | None = None
    ) -> None:
        """Create the adapter; connections are opened on first use.

        :param settings: addresses of the platform's services.
        :param client: HTTP client for all calls; None for a new one.
        """
        self._settings = settings
        self._client = client or HttpClient()

    def services(self) -> PlatformServices:
        """Return the platform's services for the member."""
        address = str(self._settings.table_service)
        store = StoreClient(client=self._client, address=address)
        return PlatformServices(
            table=PlatformTable(store=store, table=OWN_TABLE),
            operators=WatchedTable(
                store=store,
                table=OPERATORS_TABLE,
                decode=decode_operator_row,
                is_read=is_operator_key,
                without_value=lambda key: decode_operator_row(key, b""),
            ),
            read_routing=decode_configuration,
            directory=WatchedTable(
                store=store, table=TARGETS_TABLE, decode=decode_target
            ),
            targets=RunnerCalls(client=self._client),
            bytes_sent=lambda: self._client.bytes_sent,
        )

    def caller_server(
        self, jobs: CallerJobService, callers: socket, *, opened_at: float
    ) -> CallerServer:
        """Return the servers for callers and for the load balancer.

        :param jobs: accepts the callers' jobs.
        :param callers: the socket that callers connect to; it already listens.
        :param opened_at: monotonic time since which it listens, in seconds.
        """
        return CallerServer(
            callers=callers,
            opened_at=opened_at,
            readiness=self._settings.readiness,
            jobs=jobs,
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()
