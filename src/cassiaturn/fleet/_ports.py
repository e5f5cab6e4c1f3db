"""What the members of a fleet ask of the platform that they run on."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from returns.result import Result

from cassiaturn.entities import (
    LeaseReport,
    RoutingTable,
    StartAnswer,
    TargetReport,
    TaskRef,
)
from cassiaturn.services import ReadError, TableService
from cassiaturn.workload import StartOrder

EntryT = TypeVar("EntryT")
EntryT_co = TypeVar("EntryT_co", covariant=True)


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot(Generic[EntryT]):
    """Every entry of a list, as of one moment."""

    version: int
    """Version of the list; changes are asked for after it."""

    entries_by_key: Mapping[str, EntryT]
    """Every entry."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes(Generic[EntryT]):
    """What has changed of a list since a version."""

    version: int
    """Version to ask on from."""

    entries_by_key: Mapping[str, EntryT | None]
    """Changed entries; None: the entry was removed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryLost:
    """The list no longer knows what has changed since that version."""


class Watchable(Protocol[EntryT]):
    """A list that tells its changes."""

    async def snapshot(self) -> Result[Snapshot[EntryT], ReadError]:
        """Return every entry."""

    async def changes(
        self, after: int, wait_s: float
    ) -> Result[Changes[EntryT], ReadError | HistoryLost]:
        """Return what has changed, as soon as anything has.

        :param after: version of the last answer.
        :param wait_s: longest wait for a change, in seconds.
        """


class RoutingReader(Protocol):
    """Reads a published configuration."""

    def __call__(self, document: bytes) -> RoutingTable | None:
        """Return what a document holds, or None if it is malformed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Authority:
    """By what right a leader gives orders to a target."""

    target_id: str
    """Life of the target that is meant."""

    address: str
    """Where it listens, ``host:port``."""

    token: int
    """Fencing token of the leadership."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StartReply:
    """What became of an order to start."""

    answer: StartAnswer
    """The target's answer."""

    clock_ms: int | None = None
    """The target's clock when it answered."""


class CallProblem:
    """Why a target gave no usable answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Superseded(CallProblem):
    """A later leader gives the orders there."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Gone(CallProblem):
    """Another life of the target answered, so nothing of this one runs any more."""

    reason: str
    """How that was seen."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NoAnswer(CallProblem):
    """No answer in time, or none that can be read; the order may have effect."""

    detail: str
    """One sentence for people."""


class TargetCalls(Protocol):
    """Orders to targets; none is repeated, and each ends after its timeout."""

    async def start(
        self,
        authority: Authority,
        order: StartOrder,
        *,
        lease_until_ms: int | None,
        timeout_s: float,
    ) -> StartReply:
        """Order a start.

        :param lease_until_ms: until when the target may begin it and run it, on the
            target's own clock; None: that clock is not known.
        """

    async def stop(
        self, authority: Authority, ref: TaskRef, number: int, *, timeout_s: float
    ) -> Result[int, CallProblem]:
        """Order a run to stop.

        :returns: the target's clock, in milliseconds.
        """

    async def renew(
        self,
        authority: Authority,
        *,
        ended_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> Result[LeaseReport, CallProblem]:
        """Renew the lease of all that runs on a target, and ask what that is.

        :param ended_seen: sequence of the last end that was taken in.
        :param lease_until_ms: end of the lease on the target's own clock; None: it
            stays as it is.
        :param wait_s: how long the target may wait for an end to tell, in seconds.
        """


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformServices:
    """Everything that a member asks of its platform."""

    table: TableService
    """The product's own rows."""

    routing: Watchable[RoutingTable]
    """The configuration that operators publish."""

    read_routing: RoutingReader
    """Reads a version that another member handed on."""

    directory: Watchable[TargetReport]
    """What targets publish of themselves."""

    targets: TargetCalls
    """Orders to targets."""

    bytes_sent: Callable[[], int] = lambda: 0
    """Returns the bytes of all calls since the process began."""
