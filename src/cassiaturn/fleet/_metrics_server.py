"""HTTP server of a member's metrics."""

import asyncio

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from cassiaturn.entities import Address
from cassiaturn.observability import EXPOSITION, FleetMetrics

PATH = "/metrics"


class MetricsServer:
    """Serves the metrics at ``/metrics`` in the Prometheus text format."""

    def __init__(self, *, address: Address, metrics: FleetMetrics) -> None:
        self._address = address
        application = Application(
            [(PATH, _MetricsHandler, {"metrics": metrics})],
            log_function=lambda _: None,
        )
        self._server = HTTPServer(application, max_body_size=1024)

    def start(self) -> None:
        """Listen on the address.

        :raises OSError: the address is in use or not available.
        """
        self._server.add_sockets(bind_sockets(self._address.port, self._address.host))

    async def close(self) -> None:
        """Stop listening and end the connections."""
        self._server.stop()
        await self._server.close_all_connections()


class _MetricsHandler(RequestHandler):
    def initialize(self, metrics: FleetMetrics) -> None:
        self._metrics = metrics

    async def get(self) -> None:
        # A scrape takes 5 ms with three routes; on the event loop it would delay every
        # answer.
        body = await asyncio.to_thread(self._metrics.exposition)
        self.set_header("Content-Type", EXPOSITION)
        self.finish(body)
