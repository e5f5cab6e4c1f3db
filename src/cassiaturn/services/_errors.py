"""Outcomes of calls to the platform that are not what was asked for."""

from collections.abc import Mapping
from dataclasses import dataclass

from cassiaturn.services._rows import Row


@dataclass(frozen=True, slots=True, kw_only=True)
class Unavailable:
    """The service gave no answer, and the call had no effect."""

    detail: str
    """One sentence for people."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Throttled:
    """The service is at its limit, and the call had no effect."""

    retry_after_s: float
    """When to come back, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Misused:
    """The service refuses what was asked, or its answer is malformed."""

    detail: str
    """One sentence for people."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Missing:
    """The object does not exist."""

    key: str
    """Its key."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """A condition did not hold, and nothing was written."""

    rows_by_key: Mapping[str, Row]
    """Rows of the transaction as they are; absent ones are left out."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerLost:
    """The write may or may not have taken effect; a read settles it."""

    detail: str
    """One sentence for people."""


ReadError = Unavailable | Throttled | Misused
"""Why a read failed."""

WriteError = Unavailable | Throttled | Misused | AnswerLost
"""Why a write failed or is in doubt."""
