"""Tests that what is imported late can be imported."""

import importlib
import pkgutil

import pytest

import cassiaturn

MODULES = [
    module.name
    for module in pkgutil.walk_packages(cassiaturn.__path__, "cassiaturn.")
    if not {"tests", "__main__"} & set(module.name.split("."))
]


@pytest.mark.parametrize("name", MODULES)
def test_every_module_and_every_name_of_it_can_be_imported(name: str) -> None:
    """Guards against a module that is missing or broken and shows so only on use.

    Packages import some of their modules when a name is first used, which in a running
    process may be while callers wait.
    """
    module = importlib.import_module(name)
    missing = [
        entry for entry in getattr(module, "__all__", ()) if not hasattr(module, entry)
    ]
    assert not missing
