"""Scenario files."""

from importlib.resources import files
from pathlib import Path

from pydantic import TypeAdapter
from returns.result import Result

from cassiaturn.load._scenario import Scenario
from cassiaturn.settings import SettingsErrors, load_document, validate_document

DEMO_SCENARIO = Path(str(files("cassiaturn.load") / "demo.yaml"))
"""The scenario of the demo."""

_ADAPTER = TypeAdapter(Scenario)


def load_scenario(path: Path) -> Result[Scenario, SettingsErrors]:
    """Read and check a scenario.

    :param path: a YAML file.
    :returns: the scenario, or every error with its file, key, value and what
        is allowed.
    """
    return load_document(path).bind(
        lambda document: validate_document(
            document, adapter=_ADAPTER, model=Scenario, file=path
        )
    )
