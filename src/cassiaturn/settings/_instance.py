"""What one instance is told about itself, its peers and its targets."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, Field, with_config

from cassiaturn.entities import Resources
from cassiaturn.policy import PolicySettings
from cassiaturn.settings._address import AddressField
from cassiaturn.settings._fields import (
    STRICT_KEYS,
    HttpUrl,
    Identifier,
    Positive,
    unique_by,
)
from cassiaturn.settings._label import Label
from cassiaturn.settings._limits import LimitSettings, check_retention
from cassiaturn.settings._policy import PolicyField
from cassiaturn.settings._timings import TimingSettings, check_order

MethodName = Annotated[
    str, Field(strict=True, pattern=r"^[A-Za-z_][\w.]*/[A-Za-z_]\w*$")
]
"""Full name of a method, ``package.Service/Method``."""


def check_resources(resources: Resources) -> Resources:
    """Refuse a worker with less than nothing.

    :param resources: whole numbers of any sign.
    :raises ValueError: one of them is negative.
    """
    if min(resources.cpu_millis, resources.memory_mib, resources.accelerators) < 0:
        raise ValueError("cpu_millis, memory_mib and accelerators: 0 or more each")
    return resources


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """Another instance, wherever it runs."""

    instance_id: Identifier
    """Name of the instance, the same over its restarts."""

    address: AddressField
    """Where it serves callers and peers."""

    failure_domain: Identifier
    """The failure domain that it is lost with."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetSettings:
    """A runner that tasks are sent to."""

    target_id: Identifier
    """Name of the target."""

    address: AddressField
    """Where its runner listens."""

    failure_domain: Identifier
    """The failure domain that it is lost with."""

    worker: Label
    """The worker that it runs on."""

    rack: Label = "unknown"
    """The rack of that worker."""

    slots: Positive = 8
    """Tasks that it runs at once."""

    connections: Positive = 64
    """Connections that it takes."""

    resources: Annotated[Resources, AfterValidator(check_resources)] = field(
        default_factory=Resources
    )
    """What its worker has for tasks; 0 means: not counted."""

    methods: tuple[MethodName, ...] | None = None
    """Methods that it serves; none given: all of the schema."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Where the platform's services are; without one, it is never available."""

    table_url: HttpUrl | None = None
    """Transactional table service."""

    objects_url: HttpUrl | None = None
    """Object store."""

    hosts_url: HttpUrl | None = None
    """List of live and leaving hosts."""


@with_config(STRICT_KEYS)
@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceSettings:
    """Everything that one instance is told when it starts.

    What all instances must agree on is no part of it; see
    :mod:`cassiaturn.configuration`.
    """

    instance_id: Identifier
    """Name of the instance, the same over its restarts."""

    failure_domain: Identifier
    """The failure domain of its host."""

    listen: AddressField
    """Where it serves callers, operators and peers."""

    http: AddressField
    """Where it serves readiness, metrics and the status page."""

    peers: Annotated[tuple[PeerSettings, ...], unique_by("instance_id")] = ()
    """The other instances, of every failure domain."""

    targets: Annotated[tuple[TargetSettings, ...], unique_by("target_id")] = ()
    """Every target of the service, of every failure domain."""

    schemas: Annotated[tuple[Path, ...], Field(min_length=1)]
    """Descriptor sets of the requests; relative to the settings file."""

    platform: PlatformSettings = field(default_factory=PlatformSettings)
    """Where the platform's services are."""

    limits: Annotated[LimitSettings, AfterValidator(check_retention)] = field(
        default_factory=LimitSettings
    )
    """Sizes and rates."""

    timings: Annotated[TimingSettings, AfterValidator(check_order)] = field(
        default_factory=TimingSettings
    )
    """Periods and timeouts."""

    policy: PolicyField = field(default_factory=PolicySettings)
    """Tunables of the decisions under load."""

    configuration_file: Path | None = None
    """Shared configuration until the table service gives one."""

    otlp_endpoint: HttpUrl | None = None
    """Collector that metrics are pushed to, beside the metrics page."""


def check_identity(settings: InstanceSettings) -> InstanceSettings:
    """Refuse an instance that is listed among its own peers.

    :param settings: values that are each valid alone.
    :raises ValueError: naming the peer.
    """
    if any(peer.instance_id == settings.instance_id for peer in settings.peers):
        raise ValueError(
            f"peers must not list the instance itself ({settings.instance_id})"
        )
    return settings
