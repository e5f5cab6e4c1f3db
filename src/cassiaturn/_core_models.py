"""Models that pydantic's core validates, built without the rest of pydantic.

A member answers nobody until its settings and the first messages of its platform are
validated. Importing ``pydantic`` and building its models takes a fifth of the
processor time of a start; ``pydantic_core`` alone, which does the validation in both
cases and comes with pydantic, takes a sixth of that. So what a member needs from its
start is built here. Everything else uses pydantic itself.

The values, the errors and their locations are those of pydantic's own models.
"""

import dataclasses
import types
from collections.abc import Mapping
from typing import Annotated, Any, ClassVar, Literal, Self, Union, get_args, get_origin

from pydantic_core import SchemaValidator, ValidationError, core_schema
from pydantic_core.core_schema import CoreConfig, CoreSchema


class Checked:
    """States in an annotation how its value is validated.

    Annotations with it may be used in pydantic's models as well.
    """

    __slots__ = ("schema",)

    def __init__(self, *, schema: CoreSchema) -> None:
        """Validate values by a schema instead of by their type."""
        self.schema = schema

    def __get_pydantic_core_schema__(self, _source: Any, _handler: Any) -> CoreSchema:
        """Return the schema, as pydantic asks for it."""
        return self.schema


Count = Annotated[int, Checked(schema=core_schema.int_schema(ge=0))]
"""A whole number from 0."""

NotNegative = Annotated[float, Checked(schema=core_schema.float_schema(ge=0))]
"""A number from 0, possibly infinite."""

FiniteNumber = Annotated[
    float, Checked(schema=core_schema.float_schema(ge=0, allow_inf_nan=False))
]
"""A number from 0 that is neither infinite nor not a number."""

EMPTY: list[Any] = []
"""Default of a field that holds a list; the core copies it for each message."""


class Document:
    """Base class of messages that are read from JSON; unknown fields are ignored.

    A subclass annotates its fields. A field with a value at the class is optional. On
    the wire, names are in camel case.
    """

    __pydantic_core_schema__: ClassVar[CoreSchema]
    __pydantic_validator__: ClassVar[SchemaValidator]

    # The core sets these on each instance.
    __slots__ = (
        "__dict__",
        "__pydantic_extra__",
        "__pydantic_fields_set__",
        "__pydantic_private__",
    )

    def __init_subclass__(cls, *, strict: bool = False) -> None:
        """Build the validator of a model.

        :param strict: whether values of another type are refused, not converted.
        """
        config = CoreConfig(title=cls.__name__, extra_fields_behavior="ignore")
        if strict:
            config["strict"] = True
        fields = {
            name: core_schema.model_field(
                _with_default(annotation, vars(cls)[name])
                if name in vars(cls)
                else schema_of(annotation),
                validation_alias=_to_camel(name),
            )
            for name, annotation in cls.__annotations__.items()
        }
        cls.__pydantic_core_schema__ = core_schema.model_schema(
            cls,
            core_schema.model_fields_schema(fields, model_name=cls.__name__),
            config=config,
            frozen=True,
        )
        cls.__pydantic_validator__ = SchemaValidator(cls.__pydantic_core_schema__)

    def __setattr__(self, name: str, value: object) -> None:
        raise AttributeError(f"{type(self).__name__} is not changed: {name}")

    @classmethod
    def model_validate_json(cls, document: bytes | str) -> Self:
        """Read a message.

        :raises ValidationError: that of pydantic's core, with every problem.
        """
        message: Self = cls.__pydantic_validator__.validate_json(document)
        return message


def dataclass_validator(model: type) -> SchemaValidator:
    """Return the validator of a data class; unknown keys are errors.

    :param model: a data class with slots that takes keywords only.
    """
    fields = [
        core_schema.dataclass_field(
            entry.name,
            schema_of(entry.type)
            if entry.default is dataclasses.MISSING
            else _with_default(entry.type, entry.default),
            kw_only=True,
        )
        for entry in dataclasses.fields(model)
    ]
    return SchemaValidator(
        core_schema.dataclass_schema(
            model,
            core_schema.dataclass_args_schema(model.__name__, fields),
            [entry.name for entry in dataclasses.fields(model)],
            config=CoreConfig(title=model.__name__, extra_fields_behavior="forbid"),
            slots=True,
        )
    )


_SCHEMA_BY_TYPE: Mapping[Any, CoreSchema] = {
    bool: core_schema.bool_schema(),
    float: core_schema.float_schema(),
    int: core_schema.int_schema(),
    str: core_schema.str_schema(),
}


def schema_of(annotation: Any) -> CoreSchema:
    """Return how a field with an annotation is validated.

    :raises KeyError: nothing here needed such an annotation so far.
    """
    origin, arguments = get_origin(annotation), get_args(annotation)
    if origin is Annotated:
        return next(row for row in arguments if isinstance(row, Checked)).schema
    if origin is Literal:
        return core_schema.literal_schema(list(arguments))
    if origin is list:
        return core_schema.list_schema(schema_of(arguments[0]))
    if origin is tuple:
        is_any_length = arguments[-1] is Ellipsis
        return core_schema.tuple_schema(
            [schema_of(row) for row in arguments if row is not Ellipsis],
            variadic_item_index=0 if is_any_length else None,
        )
    if origin in (Union, types.UnionType):
        return _union_of(arguments)
    if isinstance(annotation, type) and issubclass(annotation, Document):
        return annotation.__pydantic_core_schema__
    return _SCHEMA_BY_TYPE[annotation]


def _union_of(members: tuple[Any, ...]) -> CoreSchema:
    schemas = [schema_of(row) for row in members if row is not types.NoneType]
    schema = schemas[0] if len(schemas) == 1 else core_schema.union_schema([*schemas])
    if types.NoneType in members:
        return core_schema.nullable_schema(schema)
    return schema


def _with_default(annotation: Any, default: Any) -> CoreSchema:
    return core_schema.with_default_schema(schema_of(annotation), default=default)


def _to_camel(name: str) -> str:
    first, *others = name.split("_")
    return first + "".join(part.capitalize() for part in others)


def describe_error(error: ValidationError) -> str:
    """Return a readable description of the first error in a message."""
    first = error.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(part) for part in first["loc"]) or "the body"
    return f"{place}: {first['msg']}"
