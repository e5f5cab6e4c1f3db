"""Readiness, liveness, metrics and status over HTTP."""

import asyncio
from http import HTTPStatus

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from cassiaturn.entities import Address
from cassiaturn.observability._metrics import Metrics
from cassiaturn.observability._page import render_page
from cassiaturn.observability._status import StatusSource

TEXT = "text/plain; charset=utf-8"
JSON = "application/json"
EXPOSITION = "text/plain; version=0.0.4; charset=utf-8"

RETRY_AFTER_S = 1
"""When a balancer should ask again of an instance that is not ready."""


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
        self._server = HTTPServer(application)

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
    def get(self) -> None:
        self.respond(JSON, self.source.status().model_dump_json())


class _PageHandler(_Handler):
    def get(self) -> None:
        page = render_page(self.source.status())
        self.respond("text/html; charset=utf-8", page)


class _UnknownPathHandler(_Handler):
    def prepare(self) -> None:
        self.send_error(HTTPStatus.NOT_FOUND)


def _log_nothing(_: RequestHandler) -> None:
    """Keep tornado's own line a request out of the events."""
