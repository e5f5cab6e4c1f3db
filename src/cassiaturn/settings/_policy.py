"""The policy's tunables in a settings file.

The data classes of :mod:`cassiaturn.policy` are the model; this module adds
what a file needs beside their types: request classes by name, and ranges.
"""

import math
from collections.abc import Iterator, Mapping
from dataclasses import asdict
from typing import Annotated, Any

from pydantic import AfterValidator, BeforeValidator

from cassiaturn.entities import RequestClass
from cassiaturn.policy import PolicySettings
from cassiaturn.settings._classes import class_from_name

BY_CLASS_SUFFIX = "_by_class"
"""Ends the names of tunables that have one value a request class."""

SHARES = frozenset(
    {
        "busy_share",
        "claim_share",
        "ejected_share",
        "failure_margin",
        "failure_share",
        "floor_by_class",
        "hysteresis",
        "least_share_by_class",
        "learning_rate",
        "resume",
        "safety",
        "share",
        "slow_margin",
        "slow_share",
        "spare_share_by_class",
    }
)
"""Tunables that are a part of a whole: at most 1."""


def _name_classes(document: Any) -> Any:
    if not isinstance(document, Mapping):
        return document
    defaults_by_section = asdict(PolicySettings())
    return {
        section: _name_classes_of(section, given, defaults_by_section.get(section, {}))
        for section, given in document.items()
    }


def _name_classes_of(
    section: str, given: Any, defaults_by_key: Mapping[str, Any]
) -> Any:
    if not isinstance(given, Mapping):
        return given
    named = dict(given)
    for key, value in given.items():
        default = defaults_by_key.get(key)
        if str(key).endswith(BY_CLASS_SUFFIX) and isinstance(value, Mapping):
            named[key] = _with_defaults(f"{section}.{key}", value, default or {})
    return named


def _with_defaults(
    path: str, given: Mapping[Any, Any], default: Mapping[RequestClass, float]
) -> Mapping[RequestClass, Any]:
    by_class: dict[RequestClass, Any] = dict(default)
    for name, value in given.items():
        try:
            request_class = class_from_name(name)
        except ValueError as error:
            raise ValueError(f"{path}: {name!r} is not {error}") from None
        if default and request_class not in default:
            raise ValueError(f"{path}: {name} cannot be set here")
        by_class[request_class] = value
    return by_class


def _check_ranges(settings: PolicySettings) -> PolicySettings:
    wrong = [
        f"{path}: {value} must be from 0 to {'1' if upper == 1 else 'any number'}"
        for path, value, upper in _ranged_values(settings)
        if not (math.isfinite(value) and 0 <= value <= upper)
    ]
    if wrong:
        raise ValueError("; ".join(wrong))
    return settings


def _ranged_values(settings: PolicySettings) -> Iterator[tuple[str, float, float]]:
    for section, values_by_key in asdict(settings).items():
        for key, value in values_by_key.items():
            upper = 1.0 if key in SHARES else math.inf
            if isinstance(value, Mapping):
                for request_class, part in value.items():
                    name = request_class.name.lower()
                    yield f"{section}.{key}.{name}", part, upper
            else:
                yield f"{section}.{key}", value, upper


PolicyField = Annotated[
    PolicySettings, BeforeValidator(_name_classes), AfterValidator(_check_ranges)
]
"""The policy's tunables, each optional, checked against their ranges."""
