"""Connections of the commands that act as a caller."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiaturn.cli._connection import CALL_TIMEOUT_S, read_address

if TYPE_CHECKING:
    from cassiaturn.client import Client
    from cassiaturn.entities import Address


@dataclass(frozen=True, slots=True, kw_only=True)
class Connection:
    """Whom to ask as whom; opened inside an event loop."""

    addresses: Sequence["Address"]
    """Instances, tried in turn."""

    tenant: str
    """Tenant of the calls."""

    caller: str
    """Caller within the tenant."""

    def open(self) -> "Client":
        """Return a client that belongs to the running event loop."""
        from cassiaturn.client import Client

        return Client(addresses=self.addresses, tenant=self.tenant, caller=self.caller)


@dataclass(frozen=True, slots=True, kw_only=True)
class IssuedTicket:
    """An id and the instance that is its home."""

    submission_id: str
    """The ticket."""

    address: "Address"
    """Where it was issued."""


def connect(to: Sequence[str], tenant: str, caller: str) -> Connection:
    """Return the connection that options describe, or end the command.

    :param to: addresses of instances.
    :param tenant: tenant of the calls.
    :param caller: caller within the tenant.
    """
    addresses = [read_address(text) for text in to]
    return Connection(addresses=addresses, tenant=tenant, caller=caller)


async def issue_ticket(connection: Connection) -> IssuedTicket | None:
    """Return a ticket before the job, so that its progress can be watched.

    :param connection: whom to ask.
    :returns: None if no instance issued one; the client then asks by itself.
    """
    from grpclib.client import Channel
    from grpclib.exceptions import GRPCError, StreamTerminatedError

    from cassiaturn.client import CALLER_KEY, TENANT_KEY
    from cassiaturn.v1.dispatcher_grpc import DispatcherStub
    from cassiaturn.v1.dispatcher_pb2 import IssueTicketsRequest

    metadata = {TENANT_KEY: connection.tenant, CALLER_KEY: connection.caller}
    for address in connection.addresses:
        async with Channel(address.host, address.port) as channel:
            try:
                reply = await DispatcherStub(channel).IssueTickets(
                    IssueTicketsRequest(count=1),
                    timeout=CALL_TIMEOUT_S,
                    metadata=metadata,
                )
            except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
                continue
        if reply.tickets:
            return IssuedTicket(submission_id=reply.tickets[0], address=address)
    return None
