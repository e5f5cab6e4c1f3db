"""Real members in one event loop, over the stand-ins of the platform."""

import asyncio
import socket
import time
from collections.abc import Sequence
from typing import Any

import aiohttp
from returns.result import Failure, Result

from cassiaturn.entities import Address
from cassiaturn.fleet import Member, MemberJobService
from cassiaturn.load import Relay, RelayPlace
from cassiaturn.load._ports import free_ports
from cassiaturn.platform import PlatformAdapter
from cassiaturn.platform._caller_server import CallerServer
from cassiaturn.platform.tests.standin_runner import SERVICE, StandinRunner
from cassiaturn.platform.tests.standin_store import LOOPBACK, StandinStore
from cassiaturn.settings import FleetSettings
from cassiaturn.transport import ClosingServer
from cassiaturn.transport.http_client import CallFailure, HttpClient, NoReply, Reply

HOST = "quick.example"

PREFIX = "/jobs/"

NARROW_MBPS = 12.5
"""Link of every member that a test says nothing of."""

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "quick",
            "host": HOST,
            "prefix": PREFIX,
            "timeoutMs": 1500,
            "targetLatencyMs": 60,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 2,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": SERVICE, "admissionCheck": True, "maxConnections": 64}],
}


def free_addresses(count: int) -> Sequence[Address]:
    """Return addresses on loopback that nobody listens at."""
    return [Address(host=LOOPBACK, port=port) for port in free_ports(count)]


class _SilencedClient(HttpClient):
    """A client whose calls can be kept from leaving the host."""

    def __init__(self) -> None:
        super().__init__()
        self.is_silenced = False
        self.is_cut_from = ""

    async def call(
        self, method: str, address: str, path: str, *, timeout_s: float, **options: Any
    ) -> Result[Reply, CallFailure]:
        if not self._is_lost(address):
            result = await super().call(
                method, address, path, timeout_s=timeout_s, **options
            )
            if not self._is_lost(address):
                return result
        await asyncio.sleep(timeout_s)
        return Failure(NoReply(detail="silenced"))

    def _is_lost(self, address: str) -> bool:
        return self.is_silenced or address == self.is_cut_from


class RunningMember:
    """One member with its servers, as a process has them."""

    def __init__(
        self,
        name: str,
        *,
        store: str,
        seeds: tuple[Address, ...],
        link_mbps: float = NARROW_MBPS,
        failure_domain: str = "a",
    ) -> None:
        host, _, port = store.rpartition(":")
        callers, readiness, members, metrics, behind_relay = free_addresses(5)
        self.settings = FleetSettings(
            kind="fleet",
            member_name=name,
            failure_domain=failure_domain,
            callers=callers,
            readiness=readiness,
            members=members,
            metrics=metrics,
            seeds=seeds,
            table_service=Address(host=host, port=int(port)),
            link_mbps=link_mbps,
        )
        self._client = _SilencedClient()
        self.adapter = PlatformAdapter(self.settings, client=self._client)
        self.member = Member(settings=self.settings, services=self.adapter.services())
        self.callers: CallerServer = self.adapter.caller_server(
            MemberJobService(member=self.member),
            socket.create_server((LOOPBACK, self.settings.callers.port)),
            opened_at=time.monotonic(),
        )
        self._members = ClosingServer([self.member.service])
        self._behind_relay = behind_relay
        self._relay = Relay(
            place=RelayPlace(
                listen=self.settings.members,
                destination=self._behind_relay,
                source_domain="b",
                destination_domain="a",
            )
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self.callers.start()
        address = self._behind_relay
        await self._members.start(address.host, address.port)
        await self._relay.start()
        self._task = asyncio.get_running_loop().create_task(self.member.run())

    def stand_still(self) -> None:
        """Say and hear nothing more, and close no connection, as a frozen host does."""
        self._relay.cut()
        self._client.is_silenced = True

    def cut_from_store(self) -> None:
        """Let no call to the store get an answer; others work on."""
        self._client.is_cut_from = str(self.settings.table_service)

    def strand_streams(self) -> None:
        """Let every connection that others have to it fall silent for good."""
        self._relay.strand()

    async def kill(self) -> None:
        """End everything at once, as a killed process does."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._relay.close()
        self._members.close()
        self._members.end_connections()
        await self.callers.close()
        await self.adapter.close()


class Fleet:
    """Three members, four runners and a store."""

    def __init__(self) -> None:
        self.store = StandinStore()
        self.runners = [StandinRunner(f"i-{index}") for index in range(4)]
        self.members: list[RunningMember] = []
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        self.store.start()
        self.store.state.put("op", "config", CONFIGURATION)
        for runner in self.runners:
            runner.start()
            self.publish(runner)
        for index in range(3):
            await self.add_member(f"front-{index}")
        await self.until(lambda: all(row.member.is_ready for row in self.members))
        await self.until(lambda: self.heard_targets() == 4)

    def publish(self, runner: StandinRunner, state: str = "ready") -> None:
        """Let a runner write its entry."""
        self.store.state.put("servers", runner.target.target_id, runner.entry(state))

    async def add_member(
        self,
        name: str,
        *,
        link_mbps: float = NARROW_MBPS,
        failure_domain: str = "a",
    ) -> RunningMember:
        seeds = tuple(row.settings.members for row in self.members[:2])
        member = RunningMember(
            name,
            store=self.store.address,
            seeds=seeds,
            link_mbps=link_mbps,
            failure_domain=failure_domain,
        )
        await member.start()
        self.members.append(member)
        return member

    def leader(self) -> RunningMember:
        return next(row for row in self.members if row.member.leader is not None)

    def heard_targets(self) -> int:
        """Return how many targets the leader hears; 0 without a leader."""
        return max(row.member.leader_hears_targets for row in self.members)

    def followers(self) -> list[RunningMember]:
        return [row for row in self.members if row.member.leader is None]

    async def kill(self, member: RunningMember) -> None:
        self.members.remove(member)
        await member.kill()

    async def until(self, condition, timeout_s: float = 8.0) -> None:  # type: ignore[no-untyped-def]
        """Wait for a condition.

        :raises TimeoutError: it does not come true.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():  # noqa: ASYNC110 - nothing tells of it
                await asyncio.sleep(0.01)

    async def request(
        self, member: RunningMember, method: str, path: str, **options: object
    ) -> tuple[int, str, str]:
        """Make one call; returns status, body and when to come back."""
        headers = {"Host": HOST, "X-Cassiaturn-Deadline-Ms": "1500"}
        headers.update(options.pop("headers", {}))  # type: ignore[call-overload]
        url = f"http://{member.settings.callers}{path}"
        async with self._client().request(
            method,
            url,
            headers=headers,
            **options,  # type: ignore[arg-type]
        ) as response:
            text = await response.text()
            return response.status, text, response.headers.get("Retry-After", "")

    async def readiness(self, member: RunningMember) -> int:
        """Ask as the balancer does; returns the status."""
        url = f"http://{member.settings.readiness}/api/readiness"
        async with self._client().get(url) as response:
            return response.status

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session

    async def submit(
        self, member: RunningMember, job_id: str, count: int = 2, **fields: object
    ) -> tuple[int, str, str]:
        """Submit a job and wait for its answer."""
        step = {"count": count, "cpu": 4_000, "memMb": 64, "estimatedMs": 50}
        document = {"taskSpec": "x", "bestEffort": True, "steps": [step], **fields}
        return await self.request(member, "POST", PREFIX + job_id, json=document)

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()
        for member in list(self.members):
            await self.kill(member)
        for runner in self.runners:
            await runner.close()
        await self.store.close()
