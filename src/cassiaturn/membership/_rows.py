"""Rows of the membership table, and the contents of a heartbeat."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from cassiaturn.submission import booted_ms
from cassiaturn.v1 import peer_pb2 as pb


class MemberState(Enum):
    """State of a member as this instance sees it, and what follows from it."""

    STARTING = "starting"
    """It holds no target, sends no work and gets no spilled tasks yet."""

    READY = "ready"
    """Nothing is restricted."""

    LEAVING = "leaving"
    """It holds no targets any more and gets no spilled tasks; it finishes its work."""

    SUSPECTED = "suspected"
    """It gets no spilled tasks. It keeps its targets, so that a short silence moves
    none of them, and it is probed until it is heard or gone."""

    GONE = "gone"
    """Its targets move to others, and a takeover of its submissions may begin."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberFacts:
    """What a member reports of itself in a heartbeat."""

    instance_id: str
    """Id of the instance, the same after a restart."""

    incarnation: str
    """Name of this run of its process."""

    failure_domain: str
    """Failure domain that it runs in."""

    state: MemberState
    """STARTING, READY or LEAVING; no member reports itself as suspected or gone."""

    configuration_version: int = 0
    """Version of the shared configuration in force there."""

    slots: int = 0
    """Slots of the targets that it holds."""

    free_slots: int = 0
    """Free slots among them."""

    queued: int = 0
    """Tasks queued there."""

    expected_wait_ms: int = 0
    """Expected wait of a new task there, in milliseconds."""

    suspected: Sequence[str] = ()
    """Incarnations that it probes, since it or another member suspects them."""

    @classmethod
    def from_message(cls, message: pb.Heartbeat) -> "MemberFacts":
        """Return the facts in a heartbeat message.

        :raises ValueError: the state in the message is unknown.
        """
        state = _STATES_BY_NUMBER.get(int(message.state))
        if state is None:
            raise ValueError(f"instance state {message.state} is unknown")
        return cls(
            instance_id=message.instance_id,
            incarnation=message.incarnation,
            failure_domain=message.failure_domain,
            state=state,
            configuration_version=message.configuration_version,
            slots=message.slots,
            free_slots=message.free_slots,
            queued=message.queued,
            expected_wait_ms=message.expected_wait_ms,
            suspected=tuple(message.suspected),
        )


@dataclass(slots=True, kw_only=True)
class MemberRow:
    """One instance as this instance sees it, in its newest known incarnation."""

    facts: MemberFacts
    """Its last heartbeat. Of a member known from the platform's list alone, only the
    instance id and failure domain are set."""

    heard_at: float | None = None
    """Monotonic time of the last frame from it, in seconds; None if there was none."""

    sent_at: float | None = None
    """Monotonic time of the last heartbeat to it, in seconds; None if one is due."""

    linked_at: float | None = None
    """Monotonic time since which it is a neighbour, in seconds; None if it is not."""

    refused_at: float | None = None
    """Monotonic time at which its address first refused a connection, in seconds."""

    probed_since: float | None = None
    """Monotonic time from which its silence is counted while it is probed and is no
    neighbour, in seconds; None if it is not probed."""

    needs_heartbeat: bool = False
    """Whether it is to be sent one heartbeat, since it probes this instance or may be
    reachable again after a network partition."""

    gone_at: float | None = None
    """Monotonic time at which it was declared gone, in seconds."""

    suspected: bool = False
    """Whether it is silent, or its link broke."""

    listed_leaving: bool = False
    """Whether the platform's list says that its host is about to be removed."""

    @property
    def state(self) -> MemberState:
        """State of the member as this instance sees it."""
        if self.gone_at is not None:
            return MemberState.GONE
        if self.suspected:
            return MemberState.SUSPECTED
        if self.listed_leaving:
            return MemberState.LEAVING
        return self.facts.state


@dataclass(frozen=True, slots=True, kw_only=True)
class HostHint:
    """An entry of the platform's list of hosts, which may be out of date."""

    instance_id: str
    """The instance on that host."""

    failure_domain: str
    """Failure domain that it runs in."""

    leaving: bool = False
    """Whether the platform is about to remove the host."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberChange:
    """A change of a member's state, or its replacement by another incarnation."""

    instance_id: str
    """Id of the instance."""

    incarnation: str
    """Incarnation that changed; empty if known from the platform's list alone."""

    before: MemberState | None
    """State before the change; None if it was not known."""

    after: MemberState
    """State after the change."""

    superseded_by: str = ""
    """Later incarnation of the same instance, which proves that this one ended;
    empty if there is none."""


def replaces(incarnation: str, row: MemberRow) -> bool:
    """Return whether another incarnation of an instance replaces the known one.

    A late frame of an earlier incarnation must not replace it: the running one would
    be considered dead, and its submissions taken over. If the clock of the host was
    set back, the later incarnation has the lower start time; it is accepted once the
    known one is gone.
    """
    known = row.facts.incarnation
    return row.gone_at is not None or booted_ms(incarnation) > booted_ms(known)


def probed_incarnations(rows: Iterable[MemberRow]) -> Sequence[str]:
    """Return the known incarnations that are probed and not gone."""
    return [
        row.facts.incarnation
        for row in rows
        if row.probed_since is not None
        and row.gone_at is None
        and row.facts.incarnation
    ]


def eligible_holders(rows: Iterable[MemberRow], failure_domain: str) -> Sequence[str]:
    """Return the instances of a failure domain that may hold targets, sorted."""
    return sorted(
        row.facts.instance_id
        for row in rows
        if row.facts.failure_domain == failure_domain
        and row.state in _HOLDER_STATES
        and row.facts.state is MemberState.READY
    )


_HOLDER_STATES = frozenset({MemberState.READY, MemberState.SUSPECTED})

_STATES_BY_NUMBER = {
    int(pb.INSTANCE_STATE_STARTING): MemberState.STARTING,
    int(pb.INSTANCE_STATE_READY): MemberState.READY,
    int(pb.INSTANCE_STATE_LEAVING): MemberState.LEAVING,
}
