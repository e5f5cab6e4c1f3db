"""Members as rows of a table, and what one tells about itself."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from cassiaturn.submission import booted_ms
from cassiaturn.v1 import peer_pb2 as pb


class MemberState(Enum):
    """What is believed of a member, and what that stops."""

    STARTING = "starting"
    """It sends no work yet and holds no target; nothing is spilled to it."""

    READY = "ready"
    """Nothing is stopped."""

    LEAVING = "leaving"
    """It holds targets no more and gets no spilled tasks; what it has goes on."""

    SUSPECTED = "suspected"
    """It gets no spilled tasks. It keeps its targets, so that a short silence
    moves nothing, and it is probed until heard or gone."""

    GONE = "gone"
    """Its targets move to others, and a takeover of its submissions may begin."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberFacts:
    """What a member tells about itself in a heartbeat."""

    instance_id: str
    """Stays through restarts."""

    incarnation: str
    """One life of its process."""

    failure_domain: str
    """Where it runs."""

    state: MemberState
    """STARTING, READY or LEAVING; nobody says of itself that it is suspected."""

    configuration_version: int = 0
    """Shared configuration in force there."""

    slots: int = 0
    """Slots of the targets that it holds."""

    free_slots: int = 0
    """Those free."""

    queued: int = 0
    """Tasks that wait there."""

    expected_wait_ms: int = 0
    """Time that a new task would wait there, in milliseconds."""

    suspected: Sequence[str] = ()
    """Incarnations that it cannot hear."""

    @classmethod
    def from_message(cls, message: pb.Heartbeat) -> "MemberFacts":
        """Return the facts that a heartbeat carries.

        :raises ValueError: its state is unknown here.
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
    """One instance as seen from here, in its newest known incarnation."""

    facts: MemberFacts
    """What it told last; of the platform's list alone, only its name is known."""

    heard_at: float | None = None
    """Time of the last frame from it, in seconds; None: never heard."""

    sent_at: float | None = None
    """Time of the last frame to it, in seconds."""

    linked_at: float | None = None
    """Since when it is a neighbour, in seconds; None: it is none."""

    refused_at: float | None = None
    """Time at which its address refused a connection first, in seconds."""

    probed_since: float | None = None
    """Since when it is asked to speak although it is none; None: it is not."""

    owes_answer: bool = False
    """Whether it is to be spoken to once: it asked, or may be back after a cut."""

    gone_at: float | None = None
    """Time at which it was taken for gone, in seconds."""

    suspected: bool = False
    """Whether it is silent, or its link broke."""

    listed_leaving: bool = False
    """Whether the platform's list says that its host is about to go."""

    @property
    def state(self) -> MemberState:
        """What is believed of it."""
        if self.gone_at is not None:
            return MemberState.GONE
        if self.suspected:
            return MemberState.SUSPECTED
        if self.listed_leaving:
            return MemberState.LEAVING
        return self.facts.state


@dataclass(frozen=True, slots=True, kw_only=True)
class HostHint:
    """An entry of the platform's list of hosts, which lags."""

    instance_id: str
    """The instance on that host."""

    failure_domain: str
    """Where it runs."""

    leaving: bool = False
    """Whether the platform is about to take the host away."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberChange:
    """A member's state became another one, or a newer incarnation took over."""

    instance_id: str
    """The member."""

    incarnation: str
    """The life of it that changed; empty for one known by the list alone."""

    before: MemberState | None
    """State until now; None: not known before."""

    after: MemberState
    """State from now on."""

    superseded_by: str = ""
    """Later life of the same instance, which proves that this one has ended."""


def replaces(incarnation: str, row: MemberRow) -> bool:
    """Whether another life of an instance takes the place of the known one.

    A late frame of an earlier life must not: the living one would be taken for
    dead, and its submissions taken over. After a clock that went back the later
    life has the lower start time, and is accepted once the known one is gone.
    """
    known = row.facts.incarnation
    return row.gone_at is not None or booted_ms(incarnation) > booted_ms(known)


def asked_incarnations(rows: Iterable[MemberRow]) -> Sequence[str]:
    """Return the incarnations that are asked to speak and may yet live."""
    return [
        row.facts.incarnation
        for row in rows
        if row.probed_since is not None
        and row.gone_at is None
        and row.facts.incarnation
    ]


def holding_instances(rows: Iterable[MemberRow], failure_domain: str) -> Sequence[str]:
    """Return the instances of a failure domain that may hold targets, sorted."""
    return sorted(
        row.facts.instance_id
        for row in rows
        if row.facts.failure_domain == failure_domain
        and row.state in _HOLDING
        and row.facts.state is MemberState.READY
    )


_HOLDING = frozenset({MemberState.READY, MemberState.SUSPECTED})

_STATES_BY_NUMBER = {
    int(pb.INSTANCE_STATE_STARTING): MemberState.STARTING,
    int(pb.INSTANCE_STATE_READY): MemberState.READY,
    int(pb.INSTANCE_STATE_LEAVING): MemberState.LEAVING,
}
