"""Serves callers' HTTP requests and passes their jobs to the job service."""

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

CALLER_TIMEOUT_HEADER = "X-Cassiaturn-Deadline-Ms"
"""Header with the time that the caller waits for an answer, counted from its request,
in milliseconds; not a point in time."""

READINESS_PATH = "/api/readiness"

JSON = "application/json"

MS_PER_S = 1000

IDLE_TIMEOUT_S = 60.0
"""Idle time after which a connection is closed, in seconds."""

MAX_HEADER_BYTES = 64 * 1024

MAX_BODY_BYTES = 1024 * 1024
"""Exceeds the largest job that the platform lets callers send, 256 KB."""

_STATE_BY_STATUS = {
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
    """Serves callers on one port and the load balancer on another."""

    def __init__(
        self,
        *,
        callers: socket,
        opened_at: float,
        readiness: Address,
        jobs: CallerJobService,
    ) -> None:
        """Create both servers.

        :param callers: the socket that callers connect to; it already listens.
        :param opened_at: monotonic time since which it listens, in seconds.
        :param readiness: address of the readiness probe for the load balancer.
        :param jobs: accepts the callers' jobs.
        """
        self._servers: list[HTTPServer] = []
        self._callers = callers
        self._opened_at = opened_at
        self._readiness = readiness
        self._jobs = jobs

    def start(self) -> None:
        """Start serving both ports.

        :raises OSError: the readiness address cannot be listened on.
        """
        shared = {"jobs": self._jobs}
        job_application = Application(
            [(r"/.*", _JobHandler, shared)], log_function=_skip_access_log
        )
        readiness_application = Application(
            [(READINESS_PATH, _ReadinessHandler, shared)],
            log_function=_skip_access_log,
        )
        self._callers.setblocking(False)
        readiness_sockets = bind_sockets(self._readiness.port, self._readiness.host)
        self._serve_queued(self._add_server(job_application, [self._callers]))
        self._add_server(readiness_application, readiness_sockets)

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

    def _serve_queued(self, server: HTTPServer) -> None:
        now = time.monotonic()
        for queued in take_waiting(self._callers, opened_at=self._opened_at, now=now):
            stream = _QueuedConnection(queued.connection, connected_at=queued.came_at)
            server.handle_stream(stream, queued.peer)

    async def close(self) -> None:
        """Stop listening and close the connections."""
        for server in self._servers:
            server.stop()
        for server in self._servers:
            await server.close_all_connections()


class _QueuedConnection(IOStream):
    """A connection that waited in the accept queue, together with its first request."""

    def __init__(self, connection: socket, *, connected_at: float) -> None:
        super().__init__(connection)
        self._connected_at: float | None = connected_at

    def take_queued_s(self) -> float:
        """Return how long the first request has waited, in seconds; 0 after that."""
        connected_at, self._connected_at = self._connected_at, None
        return time.monotonic() - connected_at if connected_at is not None else 0.0


class _Handler(RequestHandler):
    jobs: CallerJobService

    def initialize(self, jobs: CallerJobService) -> None:
        self.jobs = jobs

    def answer(self, status: HTTPStatus, document: str = "") -> None:
        self.set_status(status)
        self.clear_header("Server")
        if self.jobs.is_stopping:
            self.set_header("Connection", "close")
        if document:
            self.set_header("Content-Type", JSON)
        self.finish(document)

    def write_error(self, status_code: int, **_: object) -> None:
        self.answer(HTTPStatus(status_code))


class _ReadinessHandler(_Handler):
    def get(self) -> None:
        ready = self.jobs.is_ready
        self.answer(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)


class _JobHandler(_Handler):
    _submission: "asyncio.Task[Outcome] | None" = None

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
            waiting = self.jobs.waiting(route)
            self.answer(HTTPStatus.OK, f'{{"waiting":{waiting}}}')
            return
        status = self.jobs.status(job_id)
        if status is None:
            self.answer(HTTPStatus.GONE)
            return
        self.answer(HTTPStatus.OK, f'{{"state":"{_STATE_BY_STATUS[status]}"}}')

    async def delete(self) -> None:
        route = self._route()
        if route is None:
            return
        known = await self.jobs.cancel(self._job_id(route))
        if known is None:
            self._set_retry_after(self.jobs.unconfigured_retry_s)
        told = HTTPStatus.OK if known else HTTPStatus.GONE
        self.answer(HTTPStatus.SERVICE_UNAVAILABLE if known is None else told)

    def on_connection_close(self) -> None:
        if self._submission is not None:
            self._submission.cancel()

    async def _submit(self, request: JobRequest, route: Route) -> None:
        submitted = self.jobs.submit(
            request, route, self._caller_timeout_s(), waited_s=self._queued_s()
        )
        self._submission = asyncio.ensure_future(submitted)
        try:
            outcome = await self._submission
        except asyncio.CancelledError:
            # The caller closed its connection, so there is nobody to answer.
            return
        self._answer_outcome(outcome)

    def _answer_outcome(self, outcome: Outcome) -> None:
        self._set_retry_after(outcome.retry_after_s)
        self.answer(*_ANSWER_BY_VERDICT[outcome.verdict])

    def _route(self) -> Route | None:
        """Return the route of the request; without one, answer it and return None."""
        if not self.jobs.is_configured:
            self._set_retry_after(self.jobs.unconfigured_retry_s)
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE)
            return None
        host = self.request.host.rsplit(":", 1)[0]
        route = self.jobs.find(host, self.request.path)
        if route is None:
            self.answer(HTTPStatus.NOT_FOUND)
        return route

    def _job_id(self, route: Route) -> str:
        return self.request.path[len(route.prefix) :]

    def _caller_timeout_s(self) -> float | None:
        """Return how long the caller waits, in seconds; None if it does not say."""
        try:
            limit_s = float(self.request.headers[CALLER_TIMEOUT_HEADER]) / MS_PER_S
        except (KeyError, ValueError):
            return None
        return limit_s if 0.0 < limit_s < math.inf else None

    def _queued_s(self) -> float:
        connection = cast(HTTP1Connection, self.request.connection)
        stream = connection.stream
        return stream.take_queued_s() if isinstance(stream, _QueuedConnection) else 0.0

    def _set_retry_after(self, seconds: float) -> None:
        if seconds > 0.0:
            self.set_header("Retry-After", str(math.ceil(seconds)))


def _skip_access_log(_: RequestHandler) -> None:
    """Suppress tornado's own log line for each request."""
