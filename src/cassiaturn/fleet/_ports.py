"""Interfaces between the members of a fleet and the platform that they run on."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from returns.result import Result

from cassiaturn.entities import (
    DrainRequest,
    LeaseReport,
    RoutingTable,
    StartAnswer,
    TargetReport,
    TaskRef,
)
from cassiaturn.services import ReadError, TableService
from cassiaturn.workload import StartOrder

OperatorEntry = RoutingTable | DrainRequest
"""What operators publish: the configuration, and drains of failure domains."""

EntryT = TypeVar("EntryT")
EntryT_co = TypeVar("EntryT_co", covariant=True)


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot(Generic[EntryT]):
    """All entries of a list at one version."""

    version: int
    """Version of the list; the next call asks for changes after it."""

    entries_by_key: Mapping[str, EntryT]
    """Every entry."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes(Generic[EntryT]):
    """Changes of a list since a version."""

    version: int
    """Version after which to ask for further changes."""

    entries_by_key: Mapping[str, EntryT | None]
    """Changed entries by key; None if the entry was removed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryLost:
    """The list no longer has the changes since that version."""


class Watchable(Protocol[EntryT]):
    """A list whose changes can be polled."""

    async def snapshot(self) -> Result[Snapshot[EntryT], ReadError]:
        """Return every entry."""

    async def changes(
        self, after: int, wait_s: float
    ) -> Result[Changes[EntryT], ReadError | HistoryLost]:
        """Wait for changes and return them.

        :param after: version of the last answer.
        :param wait_s: longest wait for a change, in seconds.
        """


class RoutingReader(Protocol):
    """Reads a published configuration."""

    def __call__(self, document: bytes) -> RoutingTable | None:
        """Return the configuration in a document, or None if it is malformed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Authority:
    """Addressee and fencing token of a leader's orders to a target."""

    target_id: str
    """Incarnation of the target that the orders are meant for."""

    address: str
    """Address at which it listens, ``host:port``."""

    token: int
    """Fencing token of the leadership."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StartReply:
    """Answer to a start order."""

    answer: StartAnswer
    """The target's answer."""

    clock_ms: int | None = None
    """The target's clock when it answered, in milliseconds; None if it was not told."""


class CallProblem:
    """Why a target gave no usable answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Superseded(CallProblem):
    """The target obeys a later leader."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Gone(CallProblem):
    """Another incarnation of the target answered, so no run of this one is left."""

    reason: str
    """How that was detected."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NoAnswer(CallProblem):
    """No readable answer in time; the order may have taken effect."""

    detail: str
    """One human-readable sentence."""


class TargetCalls(Protocol):
    """Sends orders to targets, each once and with a timeout."""

    async def start(
        self,
        authority: Authority,
        order: StartOrder,
        *,
        lease_until_ms: int | None,
        timeout_s: float,
    ) -> StartReply:
        """Order the start of a run.

        :param lease_until_ms: until when the target may start it and let it run, in
            milliseconds on the target's own clock; None if that clock is not known.
        :param timeout_s: longest wait for the answer, in seconds.
        """

    async def stop(
        self, authority: Authority, ref: TaskRef, number: int, *, timeout_s: float
    ) -> Result[int, CallProblem]:
        """Order the stop of a run.

        :param number: number of the run.
        :param timeout_s: longest wait for the answer, in seconds.
        :returns: the target's clock when it answered, in milliseconds.
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
        """Renew the lease of all runs on a target, and ask for a list of them.

        :param ended_seen: sequence number of the last ended run that was processed.
        :param lease_until_ms: end of the lease in milliseconds on the target's own
            clock; None to leave it unchanged.
        :param wait_s: how long the target may hold the request until a run ends, in
            seconds; 0 for an immediate answer.
        :param timeout_s: longest wait for the answer, in seconds.
        """


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformServices:
    """All platform services that a member uses."""

    table: TableService
    """Stores cassiaturn's own rows."""

    operators: Watchable[OperatorEntry]
    """What operators publish."""

    read_routing: RoutingReader
    """Parses a configuration that another member passed on."""

    directory: Watchable[TargetReport]
    """The entries that targets publish about themselves."""

    targets: TargetCalls
    """Orders to targets."""

    bytes_sent: Callable[[], int] = lambda: 0
    """Returns the bytes of all calls since the process started."""
