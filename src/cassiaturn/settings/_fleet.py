"""What one member of a fleet is told about itself."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from pydantic_core.core_schema import float_schema, nullable_schema, str_schema
from returns.result import Result

from cassiaturn._core_models import Checked, dataclass_validator
from cassiaturn.settings._address import AddressField
from cassiaturn.settings._document import (
    SettingsErrors,
    load_document,
    validate_document,
)
from cassiaturn.settings._label import Label

KIND = "fleet"
"""Value of ``kind`` in the settings of a member."""

AboveZero = Annotated[float, Checked(schema=float_schema(gt=0))]


def _matching(pattern: str) -> Checked:
    return Checked(schema=str_schema(pattern=pattern))


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Everything that a member is told when it starts.

    It learns the other members, the targets and the configuration from the
    platform's table service.
    """

    kind: Annotated[str, _matching(f"^{KIND}$")]
    """Tells these settings from those of an instance with its own schema."""

    member_name: Label
    """Name of the member, the same over its restarts."""

    failure_domain: Label
    """The failure domain of its host."""

    callers: AddressField
    """Where it serves callers."""

    readiness: AddressField
    """Where a balancer asks whether it takes callers."""

    members: AddressField
    """Where it serves other members."""

    metrics: AddressField
    """Where it serves its metrics."""

    seeds: tuple[AddressField, ...] = ()
    """Where some members may be, for a start without the table service."""

    table_service: AddressField
    """The platform's table service."""

    orders: Annotated[str, _matching("^(call)?$")] = "call"
    """How targets take orders: by calls. Orders that wait for a target's own
    heartbeat are not served: a member that gave some would start nothing."""

    lease_ms: AboveZero = 1_000.0
    """Longest lease that a target grants, in milliseconds."""

    link_mbps: AboveZero = 12.5
    """Width of its host's link, in megabits a second: what the narrowest host of the
    users has, where nothing else is told."""

    grace_s: AboveZero = 6.0
    """Time from the order to stop to the kill, in seconds."""

    cpu_share: Annotated[
        float | None, Checked(schema=nullable_schema(float_schema(gt=0)))
    ] = None
    """Share of a core that the host gives the process; None: not known."""

    cpu_speed: AboveZero = 1.0
    """How many times as fast as one core that share is."""

    admission: Annotated[str, _matching("^(backlog|forecast)$")] = "backlog"
    """How a leader decides which jobs to refuse: by the work queued before them, or by
    a forecast of their start."""

    share_estimates: bool = False
    """Whether a leader shares with its followers what it has learned of targets."""

    remote_rack_factor: Annotated[float, Checked(schema=float_schema(ge=1))] = 1.0
    """How many times as long a task takes on another rack than the one it names."""

    @property
    def cpu_cores(self) -> float:
        """Processor capacity of the host, in cores; 0 if it is not known."""
        return (self.cpu_share or 0.0) * self.cpu_speed


_VALIDATOR = dataclass_validator(FleetSettings)


def load_fleet_settings(path: Path) -> Result[FleetSettings, SettingsErrors]:
    """Read and check the settings file of a member.

    :param path: a YAML file.
    :returns: the settings, or every error of the file.
    """
    return load_document(path).bind(
        lambda document: check_fleet_settings(document, file=path)
    )


def check_fleet_settings(
    document: Any, *, file: Path
) -> Result[FleetSettings, SettingsErrors]:
    """Check the settings of a member.

    :param document: the plain values in the settings file.
    :param file: that file, for the errors.
    """
    return validate_document(
        document, adapter=_VALIDATOR, model=FleetSettings, file=file
    )


def is_fleet_document(document: Any) -> bool:
    """Return whether settings are those of a fleet's member.

    :param document: the plain values in a settings file; None if it cannot be read.
    """
    return isinstance(document, dict) and document.get("kind") == KIND
