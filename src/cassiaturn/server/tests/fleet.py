"""A fleet of instances and simulated runners in one process, on loopback."""

import asyncio
import gc
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from importlib.resources import files
from pathlib import Path

from grpclib.protocol import H2Protocol

from cassiaturn.client import Client
from cassiaturn.entities import Address, Answer, Schema, TaskKey
from cassiaturn.load._ports import LOOPBACK, free_ports
from cassiaturn.policy import TargetRow
from cassiaturn.server import Instance
from cassiaturn.settings import (
    InstanceSettings,
    PeerSettings,
    PlatformSettings,
    TargetSettings,
    TimingSettings,
)
from cassiaturn.standins import (
    JournalEvent,
    PlatformStandIn,
    RunnerHost,
    RunnerHostSettings,
    RunnerSettings,
    RunTime,
    read_journal,
)
from cassiaturn_examples.kwabena import props_pb2

EXAMPLES = Path(str(files("cassiaturn_examples")))
SCHEMAS = (
    EXAMPLES / "kwabena" / "props.binpb",
    EXAMPLES / "registre" / "register.binpb",
)
CHECK = "kwabena.v1.Props/CheckAvailability"
ORDER = "kwabena.v1.Props/OrderDeck"
TENANT = "kwabena"
POLL_INTERVAL_S = 0.02
TIMEOUT_S = 15.0
CONFIGURATION = "tenants:\n  - {name: kwabena, quota_slots: 1000}\n"
TIMINGS = TimingSettings(
    heartbeat_ms=200,
    suspect_after_ms=500,
    gone_after_ms=1_000,
    lease_ms=3_000,
    start_within_ms=1_000,
    configuration_poll_ms=200,
)


async def eventually(is_true: Callable[[], bool]) -> None:
    """Wait until a condition holds; raise ``TimeoutError`` after ``TIMEOUT_S``."""
    async with asyncio.timeout(TIMEOUT_S):
        while not is_true():  # noqa: ASYNC110 - several tables decide together
            await asyncio.sleep(POLL_INTERVAL_S)


def availability(prop_id: str) -> bytes:
    return props_pb2.AvailabilityRequest(prop_id=prop_id).SerializeToString()


def order(deck_id: str) -> bytes:
    return props_pb2.OrderRequest(deck_id=deck_id).SerializeToString()


DECKS = [order(f"deck-{number}") for number in range(4)]
PROPS = [availability(f"prop-{number}") for number in range(4)]


class Fleet:
    """Several instances in two failure domains, with the targets of both."""

    def __init__(
        self,
        *,
        directory: Path,
        domains: Sequence[str] = ("osu", "osu", "tema"),
        targets_by_domain: int = 2,
        table_url: str | None = None,
        run_ms: float = 100.0,
    ) -> None:
        self.directory = directory
        self.table_url = table_url
        ports = iter(free_ports(2 * len(domains) + targets_by_domain * len(domains)))
        self.addresses = [Address(host=LOOPBACK, port=next(ports)) for _ in domains]
        self._http = [Address(host=LOOPBACK, port=next(ports)) for _ in domains]
        self._domains = domains
        self.targets = self._plan_targets(ports, targets_by_domain)
        self._journals = [
            directory / f"{target.target_id}.jsonl" for target in self.targets
        ]
        self.runners = RunnerHost(
            settings=RunnerHostSettings(
                runners=[
                    RunnerSettings(
                        target_id=target.target_id,
                        port=target.address.port,
                        journal=journal,
                    )
                    for target, journal in zip(
                        self.targets, self._journals, strict=True
                    )
                ],
                run_time=RunTime(median_ms=run_ms),
            )
        )
        (directory / "shared.yaml").write_text(CONFIGURATION)
        self.instances: list[Instance] = []

    async def __aenter__(self) -> "Fleet":
        await self.runners.start()
        # A runner started after a home cannot prove what the home did not start.
        await asyncio.sleep(0.6)
        for index in range(len(self._domains)):
            await self.start(index)
        await self.settle()
        return self

    async def __aexit__(self, *_: object) -> None:
        for instance in self.instances:
            await instance.close()
        await self.runners.close()

    async def start(self, index: int) -> Instance:
        """Start an instance, replacing the ended one at this index if there is one."""
        instance = Instance(
            settings=self._settings(index), schema=Schema.load(SCHEMAS).unwrap()
        )
        await instance.start()
        self.instances[index : index + 1] = [instance]
        return instance

    async def restart(self, index: int) -> Instance:
        """Replace an instance by a new incarnation that no peer has heard from."""
        await self.kill(index)
        return await self.start(index)

    async def kill(self, index: int) -> None:
        """End an instance without a drain: its connections are aborted."""
        instance = self.instances[index]
        server = instance._server
        assert server is not None
        handlers = set(server._handlers)
        protocols = [
            candidate
            for candidate in gc.get_objects()
            if isinstance(candidate, H2Protocol) and candidate.handler in handlers
        ]
        # A connection accepted in this iteration of the event loop is only set up in
        # the next one.
        async with asyncio.timeout(1.0):
            while not all(hasattr(candidate, "connection") for candidate in protocols):  # noqa: ASYNC110
                await asyncio.sleep(0)
        for protocol in protocols:
            protocol.connection._transport.abort()
        await instance.close()

    async def settle(self) -> None:
        """Wait until every instance is ready and linked and every target is held."""
        links = len(self.instances) - 1

        def is_settled() -> bool:
            held = [
                row
                for instance in self.instances
                for row in instance.state.targets_by_id.values()
                if row.connected
            ]
            linked = all(
                len(instance.peers.links_by_incarnation) == links
                for instance in self.instances
            )
            ready = all(instance.ready().ready for instance in self.instances)
            return ready and linked and len(held) == len(self.targets)

        await eventually(is_settled)

    def client(self) -> Client:
        return Client(addresses=self.addresses, tenant=TENANT, caller="test", seed=1)

    def starts_by_task(self) -> Counter[TaskKey]:
        """Return how often each task was started, from the runners' journals."""
        return Counter(
            entry.key
            for journal in self._journals
            for entry in read_journal(journal)
            if entry.event is JournalEvent.STARTED
        )

    def row_of(self, target_id: str) -> TargetRow:
        """Return the row of a target at its holder."""
        for instance in self.instances:
            row = instance.state.targets_by_id.get(target_id)
            if row is not None:
                return row
        raise AssertionError(f"no instance holds {target_id}")

    def _plan_targets(
        self, ports: Iterator[int], by_domain: int
    ) -> Sequence[TargetSettings]:
        return [
            TargetSettings(
                target_id=f"{domain}-{index}-{number}",
                address=Address(host=LOOPBACK, port=next(ports)),
                failure_domain=domain,
                worker=f"{domain}-{index}-{number}",
            )
            for index, domain in enumerate(self._domains)
            for number in range(by_domain)
        ]

    def _settings(self, index: int) -> InstanceSettings:
        return InstanceSettings(
            instance_id=f"i{index}",
            failure_domain=self._domains[index],
            listen=self.addresses[index],
            http=self._http[index],
            peers=tuple(
                PeerSettings(
                    instance_id=f"i{other}",
                    address=self.addresses[other],
                    failure_domain=domain,
                )
                for other, domain in enumerate(self._domains)
                if other != index
            ),
            targets=tuple(self.targets),
            schemas=SCHEMAS,
            timings=TIMINGS,
            platform=PlatformSettings(
                table_url=self.table_url, objects_url=self.table_url
            ),
            configuration_file=self.directory / "shared.yaml",
        )


def fleet_with(
    platform: PlatformStandIn, directory: Path, *, run_ms: float = 100.0
) -> Fleet:
    return Fleet(
        directory=directory,
        table_url=f"http://127.0.0.1:{platform.port}",
        run_ms=run_ms,
    )


async def ticket_of(client: Client, fleet: Fleet, index: int) -> str:
    ticket = await client.ticket(address=fleet.addresses[index], timeout_s=TIMEOUT_S)
    assert ticket is not None
    return ticket.submission_id


def submit(
    client: Client, fleet: Fleet, ticket: str, tasks: list[bytes], *, index: int
) -> "asyncio.Task[Answer]":
    return asyncio.create_task(
        client.submit(
            ORDER,
            tasks,
            deadline_s=20,
            submission_id=ticket,
            address=fleet.addresses[index],
        )
    )
