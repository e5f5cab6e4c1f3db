"""The command that runs an instance."""

from pathlib import Path
from typing import Annotated

import typer

from cassiaturn.cli._exit import ExitCode

SettingsOption = Annotated[
    Path, typer.Option("--settings", help="YAML file of the instance.")
]


def serve(
    settings: SettingsOption,
    debug: Annotated[
        bool, typer.Option(help="Log events of level debug, too.")
    ] = False,
) -> None:
    """Run an instance until SIGTERM, SIGINT or a drain.

    Exit codes: 0 stopped as planned, 2 a file is wrong, 6 an address cannot be
    listened at, 70 a fault of the program.
    """
    from cassiaturn.observability import configure_logging

    output = configure_logging(debug=debug)
    try:
        code = _run(settings)
    finally:
        output.close()
    raise typer.Exit(code)


def _run(path: Path) -> int:
    from returns.pipeline import is_successful

    from cassiaturn.observability import Event, log_event
    from cassiaturn.settings import load_instance_settings

    loaded = load_instance_settings(path)
    if not is_successful(loaded):
        for error in loaded.failure().errors:
            log_event(
                Event.SETTINGS_INVALID,
                file=error.file,
                key=error.key,
                value=error.value,
                allowed=error.allowed,
            )
        return ExitCode.USAGE

    from cassiaturn.server import run

    return run(loaded.unwrap())
