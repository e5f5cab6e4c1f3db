"""Environment variables that the platform sets for a process."""

import os
from pathlib import Path

SETTINGS_VARIABLE = "CASSIATURN_BOOT"
"""Holds the path of the settings file; unrelated to booting despite its name."""


def settings_path() -> Path | None:
    """Return the path of the settings file; None if the platform set none."""
    value = os.environ.get(SETTINGS_VARIABLE)
    return Path(value) if value else None
