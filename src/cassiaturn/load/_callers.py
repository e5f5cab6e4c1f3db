"""The callers of a run: they send each job, some twice, and time the answers."""

import asyncio
import statistics
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from cassiaturn.client import CALLER_KEY, TENANT_KEY, Client
from cassiaturn.entities import Address
from cassiaturn.load._answers import CallerAnswer
from cassiaturn.load._plan import PlannedJob
from cassiaturn.v1.dispatcher_grpc import DispatcherStub
from cassiaturn.v1.dispatcher_pb2 import IssueTicketsRequest

TICKETS_AT_ONCE = 4
"""Tickets fetched in one call."""

TICKET_TIMEOUT_S = 1.0

TICKET_LIFE_S = 1.0
"""Tickets kept longer than this are thrown away, in seconds. Instances take them
for longer, but under a ticket of a dead home nobody can answer until its
successor has taken over."""

IDLE_ROUND_TRIPS = 200
"""Round trips that the idle median is taken from."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _HeldTicket:
    """A ticket in store."""

    ticket: str
    """Its text."""

    fetched_at: float
    """Monotonic time, in seconds."""


class TicketStore:
    """Tickets of one caller at one instance.

    A job that is sent twice needs its id before the first sending, so the
    callers here hold tickets themselves.
    """

    def __init__(self, *, address: Address, tenant: str, caller: str) -> None:
        """Start without tickets.

        :param address: the instance.
        :param tenant: tenant of the caller.
        :param caller: the caller.
        """
        self._channel = Channel(address.host, address.port)
        self._metadata = {TENANT_KEY: tenant, CALLER_KEY: caller}
        self._held: deque[_HeldTicket] = deque()

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    async def take(self) -> str | None:
        """Return a ticket; None if the instance gives none."""
        now = time.monotonic()
        while self._held and now - self._held[0].fetched_at > TICKET_LIFE_S:
            self._held.popleft()
        if not self._held:
            await self.fetch(TICKETS_AT_ONCE)
        return self._held.popleft().ticket if self._held else None

    async def fetch(self, count: int) -> None:
        """Ask the instance for tickets.

        :param count: how many.
        """
        stub = DispatcherStub(self._channel)
        request = IssueTicketsRequest(count=count)
        try:
            reply = await stub.IssueTickets(
                request, timeout=TICKET_TIMEOUT_S, metadata=self._metadata
            )
        except (GRPCError, OSError, StreamTerminatedError, TimeoutError):
            return
        now = time.monotonic()
        held = (_HeldTicket(ticket=text, fetched_at=now) for text in reply.tickets)
        self._held.extend(held)


class Callers:
    """Every caller of a run."""

    def __init__(self, *, addresses: Sequence[Address], seed: int) -> None:
        """Prepare callers; connections open on use.

        :param addresses: the instances.
        :param seed: seed of the order in which a caller tries instances.
        """
        self._addresses = addresses
        self._seed = seed
        self._clients_by_caller: dict[tuple[str, str], Client] = {}
        self._stores_by_caller: dict[tuple[str, str, int], TicketStore] = {}
        self.answers: list[CallerAnswer] = []
        self.late_s: list[float] = []

    @property
    def resubmissions(self) -> int:
        """Sendings that a lost answer or an unknown outcome forced."""
        clients = self._clients_by_caller.values()
        return sum(client.resubmissions for client in clients)

    def close(self) -> None:
        """Close every connection."""
        for client in self._clients_by_caller.values():
            client.close()
        for store in self._stores_by_caller.values():
            store.close()

    async def idle_round_trip_s(self, tenant: str) -> float:
        """Return the median time of a call that runs nothing, in seconds.

        :param tenant: a tenant of the run.
        """
        store = self._store(tenant, "idle", 0)
        samples: list[float] = []
        for _ in range(IDLE_ROUND_TRIPS):
            begun_at = time.perf_counter()
            await store.fetch(1)
            samples.append(time.perf_counter() - begun_at)
        return statistics.median(samples)

    async def run(self, jobs: Sequence[PlannedJob]) -> None:
        """Send every job at its time and wait for every answer.

        :param jobs: in the order of their times; the load begins now.
        """
        begun_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for job in jobs:
                pause_s = begun_at + job.at_s - time.monotonic()
                if pause_s > 0:
                    await asyncio.sleep(pause_s)
                self.late_s.append(time.monotonic() - begun_at - job.at_s)
                group.create_task(self._send_job(job))

    async def _send_job(self, job: PlannedJob) -> None:
        submission_id = job.own_id or await self._ticket(job)
        sendings = [self._send(job, submission_id, job.instance, is_first=True)]
        if job.resubmit_after_s is not None:
            sendings.append(self._send_again(job, submission_id, job.resubmit_after_s))
        await asyncio.gather(*sendings)

    async def _ticket(self, job: PlannedJob) -> str:
        give_up = time.monotonic() + job.deadline_s
        instance = job.instance
        while time.monotonic() < give_up:
            store = self._store(job.tenant, job.caller, instance)
            ticket = await store.take()
            if ticket is not None:
                return ticket
            instance = (instance + 1) % len(self._addresses)
        return f"no-ticket-{job.caller}-{job.at_s:.9f}"

    async def _send_again(
        self, job: PlannedJob, submission_id: str, after_s: float
    ) -> None:
        await asyncio.sleep(after_s)
        await self._send(job, submission_id, job.other_instance, is_first=False)

    async def _send(
        self, job: PlannedJob, submission_id: str, instance: int, *, is_first: bool
    ) -> None:
        client = self._client(job.tenant, job.caller)
        begun_at = time.monotonic()
        answer = await client.submit(
            job.method,
            job.payloads,
            deadline_s=job.deadline_s,
            submission_id=submission_id,
            address=self._addresses[instance],
        )
        self.answers.append(
            CallerAnswer(
                job=job,
                submission_id=submission_id,
                answer=answer,
                response_s=time.monotonic() - begun_at,
                is_first=is_first,
            )
        )

    def _client(self, tenant: str, caller: str) -> Client:
        key = (tenant, caller)
        if key not in self._clients_by_caller:
            self._clients_by_caller[key] = Client(
                addresses=self._addresses,
                tenant=tenant,
                caller=caller,
                seed=self._seed,
            )
        return self._clients_by_caller[key]

    def _store(self, tenant: str, caller: str, instance: int) -> TicketStore:
        key = (tenant, caller, instance)
        if key not in self._stores_by_caller:
            self._stores_by_caller[key] = TicketStore(
                address=self._addresses[instance], tenant=tenant, caller=caller
            )
        return self._stores_by_caller[key]
