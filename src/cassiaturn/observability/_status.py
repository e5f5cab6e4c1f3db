"""The status of an instance, as operators and programs read it."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from pydantic import BaseModel, ConfigDict


class InstanceState(Enum):
    """What an instance does with new submissions."""

    STARTING = "starting"
    """It takes none yet."""

    READY = "ready"
    """It takes them."""

    LEAVING = "leaving"
    """It takes none any more and finishes what it has."""


class BreakerState(Enum):
    """Whether the table service is asked."""

    CLOSED = "closed"
    """It is asked."""

    OPEN = "open"
    """It failed repeatedly and is left alone for a while."""

    HALF_OPEN = "half_open"
    """It is asked once, to see whether it is back."""

    ABSENT = "absent"
    """The settings name no table service."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Ready:
    """Whether the balancer should send callers here."""

    ready: bool
    """Whether submissions are taken."""

    reason: str = ""
    """Why not, in plain language; empty when ready."""


class StatusModel(BaseModel):
    """A part of the status document; keys may be added in later versions."""

    model_config = ConfigDict(frozen=True, use_enum_values=True)


class ConfigurationStatus(StatusModel):
    """The shared configuration in force."""

    version: int
    """Its version; 0: that of the file, before any was stored."""

    confirmed: bool
    """Whether the table service confirmed lately that it is the newest."""

    age_ms: int | None = None
    """Time since that confirmation, in milliseconds; None: never."""


class PeerStatus(StatusModel):
    """Another instance as this one sees it."""

    instance_id: str
    """Its name."""

    failure_domain: str
    """Its failure domain."""

    state: str
    """What membership says of it."""

    connected: bool
    """Whether the stream to it is up."""

    heard_ms: int | None = None
    """Time since its last frame, in milliseconds; None: never."""

    free_slots: int = 0
    """Free slots that it reported."""

    queued: int = 0
    """Queued tasks that it reported."""

    configuration_version: int = 0
    """Configuration version that it reported."""


class TargetStatus(StatusModel):
    """A target as this instance sees it."""

    target_id: str
    """Its name."""

    failure_domain: str
    """Its failure domain."""

    worker: str
    """The worker that it runs on."""

    holder: str
    """The instance that sends it starts; empty: a peer, not this instance."""

    connected: bool
    """Whether the stream to it is up, on its holder."""

    leaving: bool
    """Whether it gets no new start."""

    health: str
    """Its health by comparison with its peers; empty where a peer holds it."""

    slots: int
    """Slots that it has."""

    slots_in_use: int = 0
    """Slots that run a task."""


class TenantStatus(StatusModel):
    """A tenant's tasks on this instance."""

    name: str
    """Its name."""

    weight: float
    """Its share against the others."""

    quota_slots: int
    """Slots that it may use everywhere."""

    running: int = 0
    """Its tasks that run."""

    queued: int = 0
    """Its tasks that wait."""


class QueueStatus(StatusModel):
    """The tasks of one class that wait on this instance."""

    request_class: str
    """The class."""

    queued: int
    """Tasks that wait."""

    expected_wait_ms: int = 0
    """Expected wait of a task that comes now, in milliseconds."""


class StatusDocument(StatusModel):
    """Everything that an instance says of itself."""

    instance_id: str
    """Its name."""

    incarnation: str
    """This run of it."""

    failure_domain: str
    """Its failure domain."""

    state: InstanceState
    """What it does with new submissions."""

    ready: bool
    """Whether the balancer should send callers here."""

    reason: str = ""
    """Why it is not ready."""

    uptime_ms: int
    """Time since it started, in milliseconds."""

    open_submissions: int = 0
    """Submissions without an answer."""

    store_breaker: BreakerState
    """Whether the table service is asked."""

    configuration: ConfigurationStatus
    """The shared configuration in force."""

    peers: Sequence[PeerStatus] = ()
    """The other instances."""

    targets: Sequence[TargetStatus] = ()
    """Every target of the settings."""

    tenants: Sequence[TenantStatus] = ()
    """Tenants of the shared configuration."""

    queues: Sequence[QueueStatus] = ()
    """What waits, by class."""


class StatusSource(Protocol):
    """What the pages read; the instance implements it."""

    def ready(self) -> Ready:
        """Return whether submissions are taken, at no cost."""

    def status(self) -> StatusDocument:
        """Return the whole status."""
