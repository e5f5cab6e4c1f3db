"""The command line."""

from typing import TYPE_CHECKING

from cassiaturn._lazy import lazy_exports
from cassiaturn.cli._exit import ExitCode

if TYPE_CHECKING:
    from cassiaturn.cli._app import main

__getattr__ = lazy_exports(__name__, {"main": "_app"})

__all__ = ["ExitCode", "main"]
