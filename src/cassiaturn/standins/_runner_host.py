"""A process that hosts runners, with an HTTP port for faults and counters."""

import asyncio
import json
from collections.abc import Mapping, Sequence

from pydantic import BaseModel, ConfigDict, ValidationError
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from cassiaturn.standins._fault import RunnerFault
from cassiaturn.standins._runner import RunnerStandIn
from cassiaturn.standins._runner_settings import RunnerHostSettings

BAD_REQUEST = 400


class FaultRequest(BaseModel):
    """Body of ``POST /fault``."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    target_ids: Sequence[str] = ()
    """Runners that show the fault; empty: all of this process."""

    fault: RunnerFault = RunnerFault()
    """The fault; the default one clears it."""


class RunnerHost:
    """Runners of one process; use one process for those killed together."""

    def __init__(self, *, settings: RunnerHostSettings) -> None:
        """Prepare the runners; :meth:`start` opens their ports.

        :param settings: the runners and what they have in common.
        """
        self.control_port = settings.control_port
        self._settings = settings
        self._runners_by_id: Mapping[str, RunnerStandIn] = {
            runner.target_id: RunnerStandIn(settings=runner, host=settings)
            for runner in settings.runners
        }
        application = Application(
            [
                ("/fault", _FaultHandler, {"host": self}),
                ("/counters", _CountersHandler, {"host": self}),
            ],
            log_function=lambda handler: None,
        )
        self._http = HTTPServer(application)

    @property
    def runners_by_id(self) -> Mapping[str, RunnerStandIn]:
        """The runners, by target."""
        return self._runners_by_id

    async def start(self) -> None:
        """Open every port."""
        for runner in self._runners_by_id.values():
            await runner.start()
        sockets = bind_sockets(self.control_port, self._settings.host)
        self.control_port = sockets[0].getsockname()[1]
        self._http.add_sockets(sockets)

    async def close(self) -> None:
        """Close every port."""
        self._http.stop()
        closings = (runner.close() for runner in self._runners_by_id.values())
        await asyncio.gather(*closings)

    def set_fault(self, request: FaultRequest) -> None:
        """Show a fault on the named runners.

        :param request: the runners and the fault.
        """
        for target_id in request.target_ids or self._runners_by_id:
            self._runners_by_id[target_id].set_fault(request.fault)


class _HostHandler(RequestHandler):
    def initialize(self, host: RunnerHost) -> None:
        self._host = host


class _FaultHandler(_HostHandler):
    def post(self) -> None:
        try:
            request = FaultRequest.model_validate_json(self.request.body)
        except ValidationError as error:
            self.set_status(BAD_REQUEST)
            self.finish(str(error))
            return
        unknown = set(request.target_ids) - set(self._host.runners_by_id)
        if unknown:
            self.set_status(BAD_REQUEST)
            self.finish(f"unknown target_ids: {sorted(unknown)}")
            return
        self._host.set_fault(request)
        self.finish("ok\n")


class _CountersHandler(_HostHandler):
    def get(self) -> None:
        counters = {
            target_id: {
                "starts": runner.starts,
                "refusals": runner.refusals,
                "running": len(runner.table.running_by_key),
                "port": runner.port,
            }
            for target_id, runner in self._host.runners_by_id.items()
        }
        self.finish(json.dumps(counters))
