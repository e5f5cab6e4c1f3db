"""Tests that models built here validate as pydantic's own models do."""

import dataclasses
import functools
import json
import operator
import types
from typing import Annotated, Any, cast, get_args, get_origin

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pydantic import BaseModel, ConfigDict, TypeAdapter, create_model, with_config
from pydantic.alias_generators import to_camel
from pydantic_core import SchemaValidator, ValidationError

from cassiaturn._core_models import EMPTY, Checked, Count, Document, dataclass_validator
from cassiaturn.platform import _documents
from cassiaturn.settings import STRICT_KEYS, FleetSettings

MODELS = [
    model
    for model in vars(_documents).values()
    if isinstance(model, type) and issubclass(model, Document) and model is not Document
]

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-1, 3)
    | st.sampled_from([2**63, 1.5, -0.5, "", "1", "a", "ready", "10.0.0.1:80"]),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=6,
)


def _to_pydantic(model: type[Document]) -> type[BaseModel]:
    """Return pydantic's own model with the same fields."""
    fields: dict[str, Any] = {
        name: (_types_of(annotation), vars(model).get(name, ...))
        for name, annotation in model.__annotations__.items()
    }
    is_strict = cast(dict[str, Any], model.__pydantic_core_schema__)["config"].get(
        "strict", False
    )
    config = ConfigDict(alias_generator=to_camel, strict=is_strict)
    return create_model(model.__name__, __config__=config, **fields)


def _types_of(annotation: Any) -> Any:
    """Return an annotation with pydantic's own models in place of those built here."""
    if isinstance(annotation, type) and issubclass(annotation, Document):
        return _to_pydantic(annotation)
    arguments = tuple(_types_of(row) for row in get_args(annotation))
    if get_origin(annotation) is types.UnionType:
        return functools.reduce(operator.or_, arguments)
    if get_origin(annotation) is list:
        return list[arguments]  # type: ignore[valid-type]
    return annotation


def _outcome(validate: Any, document: Any) -> str:
    try:
        value = validate(document)
    except ValidationError as error:
        return str(error.errors(include_url=False, include_context=False))
    return repr(_plain(value))


def _plain(value: Any) -> Any:
    if isinstance(value, Document | BaseModel):
        return {name: _plain(part) for name, part in vars(value).items()}
    if isinstance(value, list | tuple):
        return [type(value).__name__, *(_plain(part) for part in value)]
    return value


@pytest.mark.parametrize("model", MODELS)
@given(data=st.data())
def test_messages_are_read_as_pydantic_reads_them(
    model: type[Document], data: st.DataObject
) -> None:
    """Guards against a message that is accepted or refused because of how it is built.

    A wrong bound or alias would let a malformed entry into the directory of targets,
    or refuse the jobs of callers.
    """
    reference = _REFERENCES[model]
    keys = st.sampled_from([to_camel(name) for name in model.__annotations__])
    text = json.dumps(data.draw(st.dictionaries(keys, VALUES)))
    found = _outcome(model.model_validate_json, text)
    assert found == _outcome(reference.model_validate_json, text)


_REFERENCES = {model: _to_pydantic(model) for model in MODELS}


VALID = {
    "kind": "fleet",
    "member_name": "front-1",
    "failure_domain": "a",
    "callers": "10.0.0.1:80",
    "readiness": "10.0.0.1:80",
    "members": "10.0.0.1:80",
    "metrics": "10.0.0.1:80",
    "table_service": "10.0.0.1:80",
}


@given(
    changes=st.dictionaries(
        st.sampled_from(
            [*(row.name for row in dataclasses.fields(FleetSettings)), "x"]
        ),
        VALUES,
    ),
    left_out=st.sampled_from([None, *VALID]),
)
def test_settings_are_checked_as_pydantic_checks_them(
    changes: dict[str, Any], left_out: str | None
) -> None:
    """Guards against settings that are served although they are wrong."""
    document = {key: value for key, value in VALID.items() if key != left_out} | changes
    found = _outcome(_VALIDATOR.validate_python, document)
    assert found == _outcome(_ADAPTER.validate_python, document)


_VALIDATOR: SchemaValidator = dataclass_validator(FleetSettings)
_ADAPTER = TypeAdapter(with_config(STRICT_KEYS)(FleetSettings))


def test_a_model_with_an_unknown_annotation_is_refused_at_its_definition() -> None:
    """Guards against a model that fails only when its first message comes."""
    with pytest.raises(KeyError):
        type("Wrong", (Document,), {"__annotations__": {"field": dict[str, int]}})


def test_messages_share_no_list() -> None:
    """Guards against a change of one message that shows in all later ones."""

    class Listing(Document):
        rows: list[Count] = EMPTY
        label: Annotated[str, Checked(schema={"type": "str"})] = ""

    Listing.model_validate_json("{}").rows.append(1)
    assert Listing.model_validate_json("{}").rows == []
    with pytest.raises(AttributeError):
        Listing.model_validate_json("{}").label = "x"
