"""Request classes by their names."""

from typing import Annotated, Any

from pydantic import BeforeValidator, PlainSerializer

from cassiaturn.entities import RequestClass

CLASS_NAMES = tuple(member.name.lower() for member in RequestClass)


def class_from_name(value: Any) -> RequestClass:
    """Return the class that a name such as ``urgent`` means.

    :param value: a name, or a class already.
    :raises ValueError: no class has this name.
    """
    if isinstance(value, RequestClass):
        return value
    if not isinstance(value, str) or value not in CLASS_NAMES:
        raise ValueError(f"one of: {', '.join(CLASS_NAMES)}")
    return RequestClass[value.upper()]


def _to_name(value: RequestClass) -> str:
    return value.name.lower()


ClassName = Annotated[
    RequestClass, BeforeValidator(class_from_name), PlainSerializer(_to_name)
]
"""A request class that is written by its name in a file."""
