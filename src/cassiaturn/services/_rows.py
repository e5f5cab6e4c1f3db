"""Rows of the table service and the writes that change them."""

from collections.abc import Mapping
from dataclasses import dataclass

ABSENT_VERSION = 0
"""Version to expect of a row that must not exist."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row as it was when it was read."""

    key: str
    """Its key."""

    value: str
    """Its content."""

    version: int
    """Above 0; higher after each write."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """Write a row, on a condition or none."""

    key: str
    """Its key."""

    value: str
    """Its new content."""

    expected_version: int | None = None
    """Version that the row must have; 0: it must not exist; None: any."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Delete:
    """Remove a row, on a condition or none."""

    key: str
    """Its key."""

    expected_version: int | None = None
    """Version that the row must have; None: any."""


Write = Put | Delete
"""What a transaction is made of."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """Every write of a transaction took effect."""

    versions_by_key: Mapping[str, int]
    """Versions of the rows that were put."""
