"""Settings of a process: YAML files, validated as a whole, as data classes."""

from typing import TYPE_CHECKING

from cassiaturn._lazy import lazy_exports
from cassiaturn.entities import Address
from cassiaturn.settings._address import AddressField, parse_address
from cassiaturn.settings._classes import ClassName
from cassiaturn.settings._document import (
    SettingsError,
    SettingsErrors,
    load_document,
    validate_document,
)
from cassiaturn.settings._fields import (
    STRICT_KEYS,
    HttpUrl,
    Identifier,
    Label,
    NotNegative,
    Positive,
    Rate,
    unique_by,
)
from cassiaturn.settings._fleet import (
    FleetSettings,
    is_fleet_file,
    load_fleet_settings,
)
from cassiaturn.settings._limits import LimitSettings
from cassiaturn.settings._timings import TimingSettings

if TYPE_CHECKING:
    from cassiaturn.settings._instance import (
        InstanceSettings,
        PeerSettings,
        PlatformSettings,
        TargetSettings,
    )
    from cassiaturn.settings._load import load_instance_settings

__getattr__ = lazy_exports(
    __name__,
    {
        "InstanceSettings": "_instance",
        "PeerSettings": "_instance",
        "PlatformSettings": "_instance",
        "TargetSettings": "_instance",
        "load_instance_settings": "_load",
    },
)

__all__ = [
    "Address",
    "AddressField",
    "ClassName",
    "FleetSettings",
    "HttpUrl",
    "Identifier",
    "InstanceSettings",
    "Label",
    "LimitSettings",
    "NotNegative",
    "PeerSettings",
    "PlatformSettings",
    "Positive",
    "Rate",
    "STRICT_KEYS",
    "SettingsError",
    "SettingsErrors",
    "TargetSettings",
    "TimingSettings",
    "is_fleet_file",
    "load_document",
    "load_fleet_settings",
    "load_instance_settings",
    "parse_address",
    "unique_by",
    "validate_document",
]
