"""A deployment on loopback: its processes and their control."""

import asyncio
import sys
from collections.abc import Mapping, Sequence
from http import HTTPStatus

from pydantic import BaseModel
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from cassiaturn.entities import Address
from cassiaturn.load._configuration import ConfigurationChanger
from cassiaturn.load._layout import Layout
from cassiaturn.load._ports import LOOPBACK
from cassiaturn.load._process import DRAIN_TIMEOUT_S, ChildProcess
from cassiaturn.load._relay import Relay

READY_TIMEOUT_S = 30.0
"""Longest wait for every process to be ready."""

HEAD_START_S = 2.0
"""How much older runners are than instances. A successor takes a runner's word
that it began nothing only if the runner is surely older than the dead home."""

READY_POLL_S = 0.1

CONTROL_TIMEOUT_S = 2.0


def stand_in_command(kind: str) -> Sequence[str]:
    """Return what starts a stand-in, to which its settings are added.

    :param kind: name of the stand-in's command.
    """
    return (sys.executable, "-m", "cassiaturn.standins", kind)


class SiteError(Exception):
    """The run cannot go on: a process of it is not as it should be."""


class Site:
    """Every process of a run."""

    def __init__(self, *, layout: Layout, program: Sequence[str]) -> None:
        """Prepare the processes; :meth:`start` starts them.

        :param layout: whose settings files are written.
        :param program: the dispatcher, to which ``serve`` is added.
        """
        self.layout = layout
        self.relays = [Relay(place=place) for place in layout.relays]
        self.platform = self._stand_in("platform", "platform")
        self.runner_hosts = [
            self._stand_in("runners", f"runners-{host}")
            for host in range(len(layout.control_ports))
        ]
        self.instances = [
            self._child(place.instance_id, [*program, "serve"])
            for place in layout.instances
        ]
        self.configuration = ConfigurationChanger(
            platform=layout.platform, initial=layout.settings_of("configuration")
        )
        self.exit_codes: list[int | None] = []
        self._http = AsyncHTTPClient(force_instance=True)

    async def start(self) -> None:
        """Start everything and wait until every instance is ready.

        :raises SiteError: a process ended or is not ready in time.
        """
        for relay in self.relays:
            await relay.start()
        for child in [self.platform, *self.runner_hosts]:
            await child.start()
        await asyncio.sleep(HEAD_START_S)
        for child in self.instances:
            await child.start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            for index in range(len(self.instances)):
                await self.wait_ready(index)

    async def wait_ready(self, index: int) -> None:
        """Wait until an instance says that it is ready.

        :param index: the instance.
        :raises SiteError: its process has ended.
        """
        child = self.instances[index]
        url = f"http://{self.layout.instances[index].http}/ready"
        while not await self._is_ready(url):
            if not child.is_running:
                log = self.layout.log_of(child.name).read_text()[-2000:]
                raise SiteError(f"{child.name} has ended:\n{log}")
            await asyncio.sleep(READY_POLL_S)

    @property
    def held_by_relays(self) -> int:
        """How often a cut held bytes or a connection back."""
        return sum(relay.held for relay in self.relays)

    def running_pages(self) -> Sequence[Address]:
        """Return where the instances that run serve their pages."""
        pairs = zip(self.instances, self.layout.instances, strict=True)
        return [place.http for child, place in pairs if child.is_running]

    async def stop_instance(self, index: int) -> None:
        """Ask an instance to end gracefully and note how it ended.

        :param index: the instance.
        """
        child = self.instances[index]
        self.exit_codes.append(await child.stop(timeout_s=DRAIN_TIMEOUT_S))

    async def stop(self) -> None:
        """End everything, instances first, and note how these ended."""
        running = [child for child in self.instances if child.is_running]
        self.exit_codes += await asyncio.gather(*(child.stop() for child in running))
        self.configuration.close()
        for relay in self.relays:
            await relay.close()
        others = [self.platform, *self.runner_hosts]
        await asyncio.gather(*(child.stop() for child in others))
        self._http.close()

    async def control_runners(self, host: int, request: BaseModel) -> None:
        """Send a fault to the runners of a process.

        :param host: index of the process.
        :param request: body of ``POST /fault``.
        """
        await self._post_fault(self.layout.control_ports[host], request)

    async def control_platform(self, request: BaseModel) -> None:
        """Send a fault to the platform.

        :param request: body of ``POST /fault``.
        """
        await self._post_fault(self.layout.platform.port, request)

    def killed_at_us_by_target(self) -> Mapping[str, Sequence[int]]:
        """Return the wall clock of each kill of a runner's process."""
        return {
            runner.target_id: self.runner_hosts[runner.host].killed_at_us
            for runner in self.layout.runners
        }

    async def _post_fault(self, port: int, request: BaseModel) -> None:
        await self._http.fetch(
            f"http://{LOOPBACK}:{port}/fault",
            method="POST",
            body=request.model_dump_json(),
            request_timeout=CONTROL_TIMEOUT_S,
        )

    async def _is_ready(self, url: str) -> bool:
        try:
            response = await self._http.fetch(url, raise_error=False)
        except (OSError, HTTPClientError):
            return False
        return response.code == HTTPStatus.OK

    def _stand_in(self, command: str, name: str) -> ChildProcess:
        return self._child(name, stand_in_command(command))

    def _child(self, name: str, command: Sequence[str]) -> ChildProcess:
        settings = str(self.layout.settings_of(name))
        return ChildProcess(
            name=name,
            arguments=[*command, "--settings", settings],
            log=self.layout.log_of(name),
        )
