"""Shared configuration as YAML files of operators and rows of the table."""

from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import yaml
from pydantic import TypeAdapter, ValidationError, with_config
from returns.result import Failure, Result, Success

from cassiaturn.configuration._shared import (
    FILE_VERSION,
    ConfigurationContent,
    SharedConfiguration,
)
from cassiaturn.settings import (
    STRICT_KEYS,
    NotNegative,
    SettingsErrors,
    load_document,
    validate_document,
)

ValueT = TypeVar("ValueT")

KEY_PREFIX = "configuration/"

VERSION_KEY = "configuration/current"
"""Row that names the version in force; the only one that instances poll."""

_VERSION_DIGITS = 12
"""Digits of a version in a key, so that keys sort as versions do."""


@with_config(STRICT_KEYS)
@dataclass(frozen=True, slots=True, kw_only=True)
class VersionRow:
    """Content of the version row."""

    version: NotNegative
    """The version in force."""

    author: str
    """Who proposed it, for those who lose against it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MalformedRow:
    """A row that this program cannot read; the last good version stays."""

    key: str
    """The row."""

    detail: str
    """What is wrong with it, on one line."""


_CONTENT: TypeAdapter[ConfigurationContent] = TypeAdapter(ConfigurationContent)
_SHARED: TypeAdapter[SharedConfiguration] = TypeAdapter(SharedConfiguration)
_VERSION: TypeAdapter[VersionRow] = TypeAdapter(VersionRow)


def document_key(version: int) -> str:
    """Return the key of the row that holds a version.

    :param version: from 1.
    """
    return f"{KEY_PREFIX}{version:0{_VERSION_DIGITS}d}"


def load_content(path: Path) -> Result[ConfigurationContent, SettingsErrors]:
    """Read and check what an operator wrote.

    :param path: a YAML file.
    """
    return load_document(path).bind(
        lambda document: validate_document(
            document, adapter=_CONTENT, model=ConfigurationContent, file=path
        )
    )


def load_initial(path: Path) -> Result[SharedConfiguration, SettingsErrors]:
    """Read the configuration that holds until the table gives one.

    :param path: a YAML file.
    """
    return load_content(path).map(
        lambda content: SharedConfiguration(version=FILE_VERSION, content=content)
    )


def to_yaml(content: ConfigurationContent) -> str:
    """Return what an operator would have written.

    :param content: what was agreed.
    """
    document = _CONTENT.dump_python(content, mode="json")
    return yaml.safe_dump(document, sort_keys=False, allow_unicode=True)


def to_json(configuration: SharedConfiguration) -> str:
    """Return the value of the row that holds a configuration."""
    return _SHARED.dump_json(configuration).decode()


def from_json(key: str, text: str) -> Result[SharedConfiguration, MalformedRow]:
    """Read the value of a row that holds a configuration.

    :param key: the row, for the error.
    :param text: its value.
    """
    return _parse(_SHARED, key, text)


def to_version_json(row: VersionRow) -> str:
    """Return the value of the version row."""
    return _VERSION.dump_json(row).decode()


def from_version_json(text: str) -> Result[VersionRow, MalformedRow]:
    """Read the value of the version row.

    :param text: its value.
    """
    return _parse(_VERSION, VERSION_KEY, text)


def _parse(
    adapter: TypeAdapter[ValueT], key: str, text: str
) -> Result[ValueT, MalformedRow]:
    try:
        return Success(adapter.validate_json(text))
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        detail = f"{place}: {first['msg']}"
        return Failure(MalformedRow(key=key, detail=detail))
