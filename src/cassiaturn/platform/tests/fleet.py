"""Real members in one event loop, on fakes of the platform's store and runners."""

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

DEFAULT_LINK_MBPS = 12.5
"""Bandwidth of a member's link unless a test sets another, in megabits per second; too
narrow for a leader of many callers."""

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
    """Return addresses on loopback that nothing listens on."""
    return [Address(host=LOOPBACK, port=port) for port in free_ports(count)]


class _InterruptibleClient(HttpClient):
    """An HTTP client whose calls can be made to time out."""

    def __init__(self) -> None:
        super().__init__()
        self.is_unreachable = False
        self.blocked_address = ""

    async def call(
        self, method: str, address: str, path: str, *, timeout_s: float, **options: Any
    ) -> Result[Reply, CallFailure]:
        if not self._is_blocked(address):
            result = await super().call(
                method, address, path, timeout_s=timeout_s, **options
            )
            if not self._is_blocked(address):
                return result
        await asyncio.sleep(timeout_s)
        return Failure(NoReply(detail="silenced"))

    def _is_blocked(self, address: str) -> bool:
        return self.is_unreachable or address == self.blocked_address


class RunningMember:
    """One member with the servers that its process has."""

    def __init__(
        self,
        name: str,
        *,
        store: str,
        seeds: tuple[Address, ...],
        link_mbps: float = DEFAULT_LINK_MBPS,
        failure_domain: str = "a",
        share_estimates: bool = False,
        cpu_cores: float | None = None,
        admission: str = "backlog",
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
            share_estimates=share_estimates,
            cpu_share=cpu_cores,
            admission=admission,
        )
        self._client = _InterruptibleClient()
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

    def freeze_host(self) -> None:
        """Block all traffic without closing connections, as a frozen host does."""
        self._relay.cut()
        self._client.is_unreachable = True

    def cut_from_store(self) -> None:
        """Make every call to the store time out; other calls still work."""
        self._client.blocked_address = str(self.settings.table_service)

    def silence_open_connections(self) -> None:
        """Block the open connections of other members for good; new ones work."""
        self._relay.strand()

    async def kill(self) -> None:
        """End everything at once, like a killed process."""
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

    def __init__(
        self, *, share_estimates: bool = False, admission: str = "backlog"
    ) -> None:
        self.share_estimates = share_estimates
        self._admission = admission
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
        await self.until(lambda: all(member.member.is_ready for member in self.members))
        await self.until(lambda: self.count_reporting_targets() == 4)

    def publish(self, runner: StandinRunner, state: str = "ready") -> None:
        """Write a runner's directory entry."""
        self.store.state.put("servers", runner.target.target_id, runner.entry(state))

    async def add_member(
        self,
        name: str,
        *,
        link_mbps: float = DEFAULT_LINK_MBPS,
        failure_domain: str = "a",
        cpu_cores: float | None = None,
    ) -> RunningMember:
        seeds = tuple(seed.settings.members for seed in self.members[:2])
        member = RunningMember(
            name,
            store=self.store.address,
            seeds=seeds,
            link_mbps=link_mbps,
            failure_domain=failure_domain,
            share_estimates=self.share_estimates,
            cpu_cores=cpu_cores,
            admission=self._admission,
        )
        await member.start()
        self.members.append(member)
        return member

    def leader(self) -> RunningMember:
        return next(
            member for member in self.members if member.member.leader is not None
        )

    def count_reporting_targets(self) -> int:
        """Return how many targets have reported to the leader; 0 without a leader."""
        return max(member.member.leader_hears_targets for member in self.members)

    def count_unconfirmed_targets(self) -> int:
        """Return how many targets wait until all followers know them."""
        leader = self.leader().member.leader
        return len(leader.tables.unconfirmed_ids) if leader is not None else 0

    def followers(self) -> list[RunningMember]:
        return [member for member in self.members if member.member.leader is None]

    async def kill(self, member: RunningMember) -> None:
        self.members.remove(member)
        await member.kill()

    async def until(self, condition, timeout_s: float = 8.0) -> None:  # type: ignore[no-untyped-def]
        """Poll until a condition holds.

        :raises TimeoutError: it does not hold within the timeout.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():  # noqa: ASYNC110 - no event to wait for
                await asyncio.sleep(0.01)

    async def request(
        self, member: RunningMember, method: str, path: str, **options: object
    ) -> tuple[int, str, str]:
        """Make one request; return status, body and Retry-After header."""
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
        """Return the status of the load balancer's readiness probe."""
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
