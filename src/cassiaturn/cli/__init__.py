"""The command line."""

from cassiaturn.cli._app import main
from cassiaturn.cli._exit import ExitCode

__all__ = ["ExitCode", "main"]
