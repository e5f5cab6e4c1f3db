"""The platform's list of live and leaving hosts, which lags."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result
from tornado.httpclient import HTTPResponse

from cassiaturn.entities import Address
from cassiaturn.services._errors import ReadError
from cassiaturn.services._http import (
    HttpCaller,
    HttpMethod,
    as_read_error,
    parse_reply,
)
from cassiaturn.services._wire import HostDocument, HostsReply


class HostState(Enum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """One host as the list shows it; a hint, since the list lags."""

    host_id: str
    """Its name."""

    address: Address
    """Where its process listens."""

    failure_domain: str
    """The failure domain that it is lost with."""

    state: HostState
    """Live or leaving; a host that is gone is not listed."""


class HostList(Protocol):
    """The list of hosts."""

    async def hosts(self) -> Result[Sequence[Host], ReadError]:
        """Return the list as the platform has it now."""


class HttpHostList:
    """The list of hosts over HTTP."""

    def __init__(self, *, caller: HttpCaller) -> None:
        """Use a caller whose base URL is that of the service.

        :param caller: makes the calls; closed by whoever made it.
        """
        self._caller = caller

    async def hosts(self) -> Result[Sequence[Host], ReadError]:
        """Return the list as the platform has it now."""
        response = await self._caller.call(HttpMethod.GET, "/hosts")
        return response.alt(as_read_error).bind(_to_hosts)


def _to_hosts(response: HTTPResponse) -> Result[Sequence[Host], ReadError]:
    return parse_reply(HostsReply, response).map(
        lambda reply: [_to_host(document) for document in reply.hosts]
    )


def _to_host(document: HostDocument) -> Host:
    return Host(
        host_id=document.host_id,
        address=Address(host=document.host, port=document.port),
        failure_domain=document.failure_domain,
        state=HostState(document.state),
    )
