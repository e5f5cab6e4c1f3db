"""Settings of a process: YAML files, validated as a whole, as data classes."""

from cassiaturn.settings._address import Address
from cassiaturn.settings._document import (
    SettingsError,
    SettingsErrors,
    load_document,
    validate_document,
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

__all__ = [
    "Address",
    "InstanceSettings",
    "LimitSettings",
    "PeerSettings",
    "PlatformSettings",
    "SettingsError",
    "SettingsErrors",
    "TargetSettings",
    "TimingSettings",
    "load_document",
    "load_instance_settings",
    "validate_document",
]
