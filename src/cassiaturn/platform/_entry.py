"""Callers' HTTP requests, passed on to the product's desk of jobs."""

import asyncio
import json
import math
import time
from collections.abc import Iterable
from http import HTTPStatus
from socket import socket
from typing import cast

from returns.result import Failure, Success
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from cassiaturn.entities import Address, JobRequest, JobStatus, Route
from cassiaturn.fleet import CallerJobService
from cassiaturn.platform._decode import decode_job
from cassiaturn.transport import take_waiting
from cassiaturn.workload import Outcome, Verdict

LIMIT_HEADER = "X-Cassiaturn-Deadline-Ms"
"""How long the caller waits, from its request on; not a point in time."""

READINESS_PATH = "/api/readiness"

JSON = "application/json"

MILLISECONDS = 1000

IDLE_TIMEOUT_S = 60.0
"""Time after which a connection without a request is closed, in seconds."""

MAX_HEADER_BYTES = 64 * 1024

MAX_BODY_BYTES = 1024 * 1024
"""Above the largest job that the platform lets callers send, 256 KB."""

_WORD_BY_STATUS = {
    JobStatus.QUEUED: "queued",
    JobStatus.RUNNING: "running",
    JobStatus.COMPLETED: "completed",
    JobStatus.FAILED: "failed",
    JobStatus.CANCELLED: "cancelled",
}

_ANSWER_BY_VERDICT = {
    Verdict.COMPLETED: (HTTPStatus.OK, '{"state":"completed"}'),
    Verdict.FAILED: (HTTPStatus.OK, '{"state":"failed"}'),
    Verdict.REFUSED: (HTTPStatus.SERVICE_UNAVAILABLE, ""),
    Verdict.ABANDONED: (HTTPStatus.GATEWAY_TIMEOUT, ""),
}


class CallerServer:
    """Serves callers at one address and the balancer at another."""

    def __init__(
        self,
        *,
        callers: socket,
        opened_at: float,
        readiness: Address,
        desk: CallerJobService,
    ) -> None:
        """Prepare both.

        :param callers: where callers connect; it listens already.
        :param opened_at: since when, in seconds.
        :param readiness: where the balancer asks whether they should.
        """
        self._servers: list[HTTPServer] = []
        self._callers = callers
        self._opened_at = opened_at
        self._readiness = readiness
        self._desk = desk

    def start(self) -> None:
        """Listen.

        :raises OSError: an address cannot be listened at.
        """
        shared = {"desk": self._desk}
        jobs = Application([(r"/.*", _JobHandler, shared)], log_function=_log_nothing)
        ready = Application(
            [(READINESS_PATH, _ReadinessHandler, shared)], log_function=_log_nothing
        )
        self._callers.setblocking(False)
        readiness = bind_sockets(self._readiness.port, self._readiness.host)
        self._serve_waiting(self._add_server(jobs, [self._callers]))
        self._add_server(ready, readiness)

    def _add_server(
        self, application: Application, sockets: Iterable[socket]
    ) -> HTTPServer:
        server = HTTPServer(
            application,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )
        server.add_sockets(sockets)
        self._servers.append(server)
        return server

    def _serve_waiting(self, server: HTTPServer) -> None:
        now = time.monotonic()
        for waiting in take_waiting(self._callers, opened_at=self._opened_at, now=now):
            stream = _WaitedStream(waiting.connection, came_at=waiting.came_at)
            server.handle_stream(stream, waiting.peer)

    async def close(self) -> None:
        """Stop listening and end the connections."""
        for server in self._servers:
            server.stop()
        for server in self._servers:
            await server.close_all_connections()


class _WaitedStream(IOStream):
    """A connection that waited to be accepted, and so did its first request."""

    def __init__(self, connection: socket, *, came_at: float) -> None:
        super().__init__(connection)
        self._came_at: float | None = came_at

    def take_wait_s(self) -> float:
        """Return how long the request has waited, in seconds; later ones did not."""
        came_at, self._came_at = self._came_at, None
        return time.monotonic() - came_at if came_at is not None else 0.0


class _Handler(RequestHandler):
    desk: CallerJobService

    def initialize(self, desk: CallerJobService) -> None:
        self.desk = desk

    def answer(self, status: HTTPStatus, document: str = "") -> None:
        self.set_status(status)
        self.clear_header("Server")
        if self.desk.is_stopping:
            self.set_header("Connection", "close")
        if document:
            self.set_header("Content-Type", JSON)
        self.finish(document)

    def write_error(self, status_code: int, **_: object) -> None:
        self.answer(HTTPStatus(status_code))


class _ReadinessHandler(_Handler):
    def get(self) -> None:
        ready = self.desk.is_ready
        self.answer(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)


class _JobHandler(_Handler):
    _waiting: "asyncio.Task[Outcome] | None" = None

    async def post(self) -> None:
        route = self._route()
        if route is None:
            return
        match decode_job(self._job_id(route), self.request.body):
            case Failure(problem):
                self.answer(HTTPStatus.BAD_REQUEST, json.dumps({"reason": problem}))
            case Success(request):
                await self._submit(request, route)

    def get(self) -> None:
        route = self._route()
        if route is None:
            return
        job_id = self._job_id(route)
        if not job_id:
            waiting = self.desk.waiting(route)
            self.answer(HTTPStatus.OK, f'{{"waiting":{waiting}}}')
            return
        status = self.desk.status(job_id)
        if status is None:
            self.answer(HTTPStatus.GONE)
            return
        self.answer(HTTPStatus.OK, f'{{"state":"{_WORD_BY_STATUS[status]}"}}')

    def delete(self) -> None:
        route = self._route()
        if route is None:
            return
        known = self.desk.cancel(self._job_id(route))
        self.answer(HTTPStatus.OK if known else HTTPStatus.GONE)

    def on_connection_close(self) -> None:
        if self._waiting is not None:
            self._waiting.cancel()

    async def _submit(self, request: JobRequest, route: Route) -> None:
        submitted = self.desk.submit(
            request, route, self._limit_s(), waited_s=self._waited_s()
        )
        self._waiting = asyncio.ensure_future(submitted)
        try:
            outcome = await self._waiting
        except asyncio.CancelledError:
            # The caller has gone; there is nobody to answer.
            return
        self._answer_outcome(outcome)

    def _answer_outcome(self, outcome: Outcome) -> None:
        self._retry_after(outcome.retry_after_s)
        self.answer(*_ANSWER_BY_VERDICT[outcome.verdict])

    def _route(self) -> Route | None:
        """Return the route of the request; answers it if there is none."""
        if not self.desk.is_configured:
            self._retry_after(self.desk.unconfigured_retry_s)
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE)
            return None
        host = self.request.host.rsplit(":", 1)[0]
        route = self.desk.find(host, self.request.path)
        if route is None:
            self.answer(HTTPStatus.NOT_FOUND)
        return route

    def _job_id(self, route: Route) -> str:
        return self.request.path[len(route.prefix) :]

    def _limit_s(self) -> float | None:
        """Return how long the caller waits, in seconds; None: it tells no such time."""
        try:
            limit_s = float(self.request.headers[LIMIT_HEADER]) / MILLISECONDS
        except (KeyError, ValueError):
            return None
        return limit_s if 0.0 < limit_s < math.inf else None

    def _waited_s(self) -> float:
        connection = cast(HTTP1Connection, self.request.connection)
        stream = connection.stream
        return stream.take_wait_s() if isinstance(stream, _WaitedStream) else 0.0

    def _retry_after(self, seconds: float) -> None:
        if seconds > 0.0:
            self.set_header("Retry-After", str(math.ceil(seconds)))


def _log_nothing(_: RequestHandler) -> None:
    """Keep tornado's own line a request out of the log."""
