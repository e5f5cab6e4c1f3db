"""Connections of the commands that act as a caller."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiaturn.cli._connection import read_address

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


def connect(to: Sequence[str], tenant: str, caller: str) -> Connection:
    """Return the connection that options describe, or end the command.

    :param to: addresses of instances.
    :param tenant: tenant of the calls.
    :param caller: caller within the tenant.
    """
    addresses = [read_address(text) for text in to]
    return Connection(addresses=addresses, tenant=tenant, caller=caller)
