"""Readiness, liveness, metrics and status over HTTP."""

import asyncio
from http import HTTPStatus

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from cassiaturn.entities import Address
from cassiaturn.observability._fleet_metrics import EXPOSITION
from cassiaturn.observability._metrics import Metrics
from cassiaturn.observability._page import render_page
from cassiaturn.observability._status import StatusSource

TEXT = "text/plain; charset=utf-8"
JSON = "application/json"
HTML = "text/html; charset=utf-8"

RETRY_AFTER_S = 1
"""When a balancer should ask again of an instance that is not ready."""

IDLE_TIMEOUT_S = 60.0
"""Time after which a connection without a request is closed, in seconds."""

MAX_HEADER_BYTES = 16 * 1024

MAX_BODY_BYTES = 1024
"""No request here has a body; tornado's own bound would be 100 MB of memory."""


class HttpServer:
    """Serves the pages of one instance; the paths are in the operators' page."""

    def __init__(
        self, *, address: Address, source: StatusSource, metrics: Metrics
    ) -> None:
        """Prepare the pages.

        :param address: where to listen; port 0 lets the system choose.
        :param source: the instance.
        :param metrics: its metrics.
        """
        self._address = address
        shared = {"source": source, "metrics": metrics}
        application = Application(
            [
                ("/", _PageHandler, shared),
                ("/live", _LiveHandler, shared),
                ("/ready", _ReadyHandler, shared),
                ("/metrics", _MetricsHandler, shared),
                ("/status", _StatusHandler, shared),
            ],
            default_handler_class=_UnknownPathHandler,
            default_handler_args=shared,
            log_function=_log_nothing,
        )
        self._server = HTTPServer(
            application,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )

    def start(self) -> Address:
        """Listen.

        :returns: the address, with the port that was chosen.
        :raises OSError: the address cannot be listened at.
        """
        sockets = bind_sockets(self._address.port, self._address.host)
        self._server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        return Address(host=self._address.host, port=port)

    async def close(self) -> None:
        """Stop listening and end the connections."""
        self._server.stop()
        await self._server.close_all_connections()


class _Handler(RequestHandler):
    source: StatusSource
    metrics: Metrics

    def initialize(self, source: StatusSource, metrics: Metrics) -> None:
        self.source = source
        self.metrics = metrics

    def set_default_headers(self) -> None:
        # A proxy that kept an old answer would hide that an instance is gone.
        self.set_header("Cache-Control", "no-store")

    def write_error(self, status_code: int, **_: object) -> None:
        self.respond(TEXT, f"{HTTPStatus(status_code).phrase}\n")

    def respond(self, content_type: str, body: str | bytes) -> None:
        self.set_header("Content-Type", content_type)
        self.finish(body)


class _LiveHandler(_Handler):
    def get(self) -> None:
        self.respond(TEXT, "live\n")


class _ReadyHandler(_Handler):
    def get(self) -> None:
        answer = self.source.ready()
        if answer.ready:
            self.respond(TEXT, "ready\n")
            return
        self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.set_header("Retry-After", str(RETRY_AFTER_S))
        self.respond(TEXT, f"not ready: {answer.reason}\n")


class _MetricsHandler(_Handler):
    async def get(self) -> None:
        # A scrape of 22 tenants takes about 60 ms; in the event loop that would
        # delay every start of the process by as much.
        body = await asyncio.to_thread(self.metrics.exposition)
        self.respond(EXPOSITION, body)


class _StatusHandler(_Handler):
    async def get(self) -> None:
        status = self.source.status()
        self.respond(JSON, await asyncio.to_thread(status.model_dump_json))


class _PageHandler(_Handler):
    async def get(self) -> None:
        status = self.source.status()
        # 23 ms with 1,400 targets and 350 peers.
        page = await asyncio.to_thread(render_page, status)
        self.respond(HTML, page)


class _UnknownPathHandler(_Handler):
    def prepare(self) -> None:
        self.send_error(HTTPStatus.NOT_FOUND)


def _log_nothing(_: RequestHandler) -> None:
    """Keep tornado's own line a request out of the events."""
