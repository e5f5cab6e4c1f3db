"""The platform's services over HTTP, with faults on request."""

from dataclasses import asdict
from http import HTTPStatus
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from cassiaturn.services import (
    Committed,
    Conflict,
    HostDocument,
    HostsReply,
    ReadRequest,
    Row,
    RowDocument,
    RowsReply,
    ScanRequest,
    TransactReply,
    TransactRequest,
    to_write,
)
from cassiaturn.standins._platform_settings import PlatformFault, PlatformSettings
from cassiaturn.standins._platform_state import CallKind, PlatformState

MAX_BODY_BYTES = 64 * 1024 * 1024

RequestT = TypeVar("RequestT", bound=BaseModel)


class PlatformStandIn:
    """Table service, object store and list of hosts behind one port."""

    def __init__(self, *, settings: PlatformSettings) -> None:
        """Prepare the services; :meth:`start` opens the port.

        :param settings: limits and latencies.
        """
        self.port = settings.port
        self.state = PlatformState(settings=settings)
        self._host = settings.host
        shared = {"state": self.state}
        application = Application(
            [
                ("/table/read", _ReadHandler, shared),
                ("/table/scan", _ScanHandler, shared),
                ("/table/transact", _TransactHandler, shared),
                ("/objects/([^/]+)", _ObjectHandler, shared),
                ("/hosts", _HostsHandler, shared),
                ("/hosts/([^/]+)", _HostHandler, shared),
                ("/fault", _FaultHandler, shared),
                ("/counters", _CountersHandler, shared),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application, max_body_size=MAX_BODY_BYTES)

    async def start(self) -> None:
        """Open the port."""
        sockets = bind_sockets(self.port, self._host)
        self.port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Close the port and every connection."""
        self._server.stop()
        await self._server.close_all_connections()


class _Handler(RequestHandler):
    def initialize(self, state: PlatformState) -> None:
        self.state = state

    async def is_admitted(self, kind: CallKind) -> bool:
        refused = await self.state.admit(kind)
        if refused is None:
            return True
        if refused.retry_after_s is None:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self.set_status(HTTPStatus.TOO_MANY_REQUESTS)
            self.set_header("Retry-After", f"{refused.retry_after_s:.3f}")
        self.finish()
        return False

    def parse(self, model: type[RequestT]) -> RequestT | None:
        try:
            return model.model_validate_json(self.request.body)
        except ValidationError as error:
            self.set_status(HTTPStatus.BAD_REQUEST)
            self.finish(str(error))
            return None

    def reply(self, document: BaseModel) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(document.model_dump_json())

    def reply_rows(self, rows: list[Row]) -> None:
        self.reply(
            RowsReply(
                rows=[
                    RowDocument(key=row.key, value=row.value, version=row.version)
                    for row in rows
                ]
            )
        )

    def drop_connection(self) -> None:
        self.detach().close()


class _ReadHandler(_Handler):
    async def post(self) -> None:
        request = self.parse(ReadRequest)
        if request is None or not await self.is_admitted(CallKind.READ):
            return
        self.state.counters.reads += 1
        self.reply_rows(self.state.table.read(request.keys))


class _ScanHandler(_Handler):
    async def post(self) -> None:
        request = self.parse(ScanRequest)
        if request is None or not await self.is_admitted(CallKind.READ):
            return
        self.state.counters.reads += 1
        self.reply_rows(
            self.state.table.scan(
                prefix=request.prefix, after=request.after, limit=request.limit
            )
        )


class _TransactHandler(_Handler):
    async def post(self) -> None:
        request = self.parse(TransactRequest)
        if request is None or not await self.is_admitted(CallKind.WRITE):
            return
        outcome = self.state.table.transact(
            [to_write(document) for document in request.writes]
        )
        if isinstance(outcome, Conflict):
            self._refuse(outcome)
            return
        self.state.counters.writes += 1
        self.state.counters.rows_written += len(request.writes)
        if self.state.loses_answer():
            self.drop_connection()
            return
        self._confirm(outcome)

    def _refuse(self, conflict: Conflict) -> None:
        self.state.counters.conflicts += 1
        self.set_status(HTTPStatus.CONFLICT)
        self.reply_rows(list(conflict.rows_by_key.values()))

    def _confirm(self, committed: Committed) -> None:
        self.reply(TransactReply(versions_by_key=committed.versions_by_key))


class _ObjectHandler(_Handler):
    async def get(self, key: str) -> None:
        if not await self.is_admitted(CallKind.READ):
            return
        self.state.counters.reads += 1
        content = self.state.objects_by_key.get(key)
        if content is None:
            self.set_status(HTTPStatus.NOT_FOUND)
            self.finish()
            return
        self.finish(content)

    async def put(self, key: str) -> None:
        if not await self.is_admitted(CallKind.WRITE):
            return
        self.state.objects_by_key[key] = self.request.body
        self._end_write()

    async def delete(self, key: str) -> None:
        if not await self.is_admitted(CallKind.WRITE):
            return
        self.state.objects_by_key.pop(key, None)
        self._end_write()

    def _end_write(self) -> None:
        self.state.counters.writes += 1
        if self.state.loses_answer():
            self.drop_connection()
            return
        self.finish()


class _HostsHandler(_Handler):
    async def get(self) -> None:
        if not await self.is_admitted(CallKind.READ):
            return
        self.state.counters.reads += 1
        self.reply(HostsReply(hosts=list(self.state.hosts_by_id.values())))


class _HostHandler(_Handler):
    def put(self, host_id: str) -> None:
        document = self.parse(HostDocument)
        if document is None:
            return
        if document.host_id != host_id:
            self.set_status(HTTPStatus.BAD_REQUEST)
            self.finish("host_id differs from the path")
            return
        self.state.list_host_later(document)

    def delete(self, host_id: str) -> None:
        self.state.drop_host_later(host_id)


class _FaultHandler(_Handler):
    def post(self) -> None:
        fault = self.parse(PlatformFault)
        if fault is not None:
            self.state.set_fault(fault)


class _CountersHandler(_Handler):
    def get(self) -> None:
        self.finish(asdict(self.state.counters))
