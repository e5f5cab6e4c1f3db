"""Types of fields that several sections share."""

from collections.abc import Sequence
from typing import Annotated, Any

from pydantic import AfterValidator, ConfigDict, Field

STRICT_KEYS = ConfigDict(extra="forbid")
"""Refuses unknown keys, in the data classes below as well."""

Positive = Annotated[int, Field(strict=True, gt=0)]
"""A whole number from 1; text and booleans are not converted."""

NotNegative = Annotated[int, Field(strict=True, ge=0)]
"""A whole number from 0."""

Rate = Annotated[float, Field(strict=True, gt=0, allow_inf_nan=False)]
"""A number above 0 a second; fractions are allowed."""

Identifier = Annotated[
    str, Field(strict=True, pattern=r"^[a-z0-9]([a-z0-9-]*[a-z0-9])?$", max_length=63)
]
"""A name such as ``osu-1``: lower case letters, digits and inner hyphens."""

HttpUrl = Annotated[str, Field(strict=True, pattern=r"^https?://[^\s/]+(/\S*)?$")]
"""A base URL, ``http://`` or ``https://``."""


def unique_by(attribute: str) -> AfterValidator:
    """Return a validator that refuses two entries with the same identity.

    :param attribute: the field of the entries that must differ.
    """

    def check(entries: Sequence[Any]) -> Sequence[Any]:
        names = [getattr(entry, attribute) for entry in entries]
        repeated = sorted({name for name in names if names.count(name) > 1})
        if repeated:
            raise ValueError(f"each {attribute} once; repeated: {', '.join(repeated)}")
        return entries

    return AfterValidator(check)
