"""Settings of a process: YAML files, validated as a whole, as data classes."""

from typing import TYPE_CHECKING

from cassiaturn._lazy import lazy_exports
from cassiaturn.entities import Address
from cassiaturn.settings._address import AddressField, parse_address
from cassiaturn.settings._document import (
    SettingsError,
    SettingsErrors,
    load_document,
    validate_document,
)
from cassiaturn.settings._fleet import (
    FleetSettings,
    check_fleet_settings,
    is_fleet_document,
    load_fleet_settings,
)
from cassiaturn.settings._label import Label

if TYPE_CHECKING:
    from cassiaturn.settings._classes import ClassName
    from cassiaturn.settings._fields import (
        STRICT_KEYS,
        HttpUrl,
        Identifier,
        NotNegative,
        Positive,
        Rate,
        unique_by,
    )
    from cassiaturn.settings._instance import (
        InstanceSettings,
        PeerSettings,
        PlatformSettings,
        TargetSettings,
    )
    from cassiaturn.settings._limits import LimitSettings
    from cassiaturn.settings._load import load_instance_settings
    from cassiaturn.settings._timings import TimingSettings

# A member starts with what its own settings need; pydantic is imported for the others.
__getattr__ = lazy_exports(
    __name__,
    {
        "ClassName": "_classes",
        "HttpUrl": "_fields",
        "Identifier": "_fields",
        "InstanceSettings": "_instance",
        "LimitSettings": "_limits",
        "NotNegative": "_fields",
        "PeerSettings": "_instance",
        "PlatformSettings": "_instance",
        "Positive": "_fields",
        "Rate": "_fields",
        "STRICT_KEYS": "_fields",
        "TargetSettings": "_instance",
        "TimingSettings": "_timings",
        "load_instance_settings": "_load",
        "unique_by": "_fields",
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
    "check_fleet_settings",
    "is_fleet_document",
    "load_document",
    "load_fleet_settings",
    "load_instance_settings",
    "parse_address",
    "unique_by",
    "validate_document",
]
