"""YAML documents, validated as a whole with every error named at once."""

from collections.abc import Hashable, Iterator, Sequence
from dataclasses import dataclass, fields, is_dataclass
from pathlib import Path
from typing import (
    Annotated,
    Any,
    Protocol,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
)

import yaml
from pydantic_core import ErrorDetails, ValidationError
from returns.result import Failure, Result, Success

ValueT = TypeVar("ValueT")
ValidatedT = TypeVar("ValidatedT", covariant=True)

MAX_SHOWN_CHARACTERS = 80
"""Longest rendering of a wrong value in an error."""

UNKNOWN_KEY = "unexpected_keyword_argument"
MISSING_KEY = "missing"
WHOLE_DOCUMENT = "(whole document)"


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingsError:
    """One thing that is wrong in a file."""

    file: str
    """Path of the file."""

    key: str
    """Path of the key in it, such as ``targets.3.slots``."""

    value: str
    """What stands there."""

    allowed: str
    """What may stand there."""

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.value}: {self.allowed}"


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingsErrors:
    """Everything that is wrong in a file, never empty."""

    errors: Sequence[SettingsError]
    """In the order of the file's model."""

    def __str__(self) -> str:
        return "\n".join(str(error) for error in self.errors)


class DocumentValidator(Protocol[ValidatedT]):
    """Validates a whole document: a pydantic adapter, or a validator of its core."""

    def validate_python(self, document: Any, /) -> ValidatedT:
        """Return the value that plain values stand for.

        :raises ValidationError: with every problem.
        """


class _UniqueKeyLoader(yaml.SafeLoader):
    """Refuses a mapping with the same key twice.

    Plain YAML loading keeps the last one: a target that was pasted twice
    would lose its first address without a word.
    """

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        seen: set[Hashable] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if isinstance(key, Hashable) and key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} stands twice", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


def load_document(path: Path) -> Result[Any, SettingsErrors]:
    """Read one YAML document.

    :param path: the file.
    :returns: the plain values in it, or why it cannot be read.
    """
    try:
        content = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(_whole(path, str(error), "a readable file of UTF-8 text"))
    try:
        return Success(yaml.load(content, Loader=_UniqueKeyLoader))
    except (yaml.YAMLError, ValueError, TypeError, RecursionError) as error:
        problem = " ".join(str(error).split())
        return Failure(_whole(path, problem, "one YAML document, each key once"))


def validate_document(
    document: Any,
    *,
    adapter: DocumentValidator[ValueT],
    model: Any,
    file: Path,
) -> Result[ValueT, SettingsErrors]:
    """Turn plain values into a data class, or name every error in them.

    :param document: what a YAML or JSON document holds.
    :param adapter: validates the whole document.
    :param model: the data class at the top, to name the allowed keys.
    :param file: where the document stands, for the errors.
    """
    try:
        return Success(adapter.validate_python(document))
    except ValidationError as error:
        details = error.errors(include_url=False)
    errors = [_to_error(detail, model=model, file=file) for detail in details]
    return Failure(SettingsErrors(errors=errors))


def _whole(path: Path, value: str, allowed: str) -> SettingsErrors:
    error = SettingsError(
        file=str(path), key=WHOLE_DOCUMENT, value=value, allowed=allowed
    )
    return SettingsErrors(errors=[error])


def _to_error(detail: ErrorDetails, *, model: Any, file: Path) -> SettingsError:
    location = detail["loc"]
    value = _shown(detail["input"])
    allowed = detail["msg"].removeprefix("Value error, ")
    if detail["type"] == UNKNOWN_KEY:
        keys = ", ".join(_keys_at(model, location[:-1]))
        allowed = f"unknown key; allowed here: {keys}"
    elif detail["type"] == MISSING_KEY:
        value = "(missing)"
        allowed = "must be given"
    elif detail["type"] == "dataclass_type":
        keys = ", ".join(_keys_at(model, location))
        allowed = f"must be a mapping with keys of: {keys}"
    key = ".".join(str(part) for part in location) or WHOLE_DOCUMENT
    return SettingsError(file=str(file), key=key, value=value, allowed=allowed)


def _shown(value: object) -> str:
    text = repr(value)
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[: MAX_SHOWN_CHARACTERS - 3] + "..."
    return text


def _keys_at(model: Any, location: Sequence[int | str]) -> Iterator[str]:
    for part in location:
        model = _member(model, part)
    model = _without_wrappers(model)
    if is_dataclass(model):
        yield from (entry.name for entry in fields(model))


def _member(model: Any, part: int | str) -> Any:
    model = _without_wrappers(model)
    if is_dataclass(model) and isinstance(model, type):
        return get_type_hints(model, include_extras=True).get(str(part))
    arguments = get_args(model)
    return arguments[-1] if get_origin(model) is dict else next(iter(arguments), None)


def _without_wrappers(model: Any) -> Any:
    while get_origin(model) is Annotated:
        model = get_args(model)[0]
    return model
