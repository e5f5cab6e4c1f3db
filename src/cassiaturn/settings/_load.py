"""The settings file of an instance."""

from dataclasses import replace
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, TypeAdapter
from returns.result import Result

from cassiaturn.settings._document import (
    SettingsErrors,
    load_document,
    validate_document,
)
from cassiaturn.settings._instance import InstanceSettings, check_identity

_ADAPTER: TypeAdapter[InstanceSettings] = TypeAdapter(
    Annotated[InstanceSettings, AfterValidator(check_identity)]
)


def load_instance_settings(path: Path) -> Result[InstanceSettings, SettingsErrors]:
    """Read and check the settings file of an instance.

    :param path: a YAML file; paths in it are relative to its directory.
    :returns: the settings, or every error of the file.
    """
    checked = load_document(path).bind(
        lambda document: validate_document(
            document, adapter=_ADAPTER, model=InstanceSettings, file=path
        )
    )
    return checked.map(lambda settings: _resolve_paths(settings, path.parent))


def _resolve_paths(settings: InstanceSettings, directory: Path) -> InstanceSettings:
    configuration = settings.configuration_file
    return replace(
        settings,
        schemas=tuple(directory / schema for schema in settings.schemas),
        configuration_file=configuration and directory / configuration,
    )
