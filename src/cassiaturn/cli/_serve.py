"""The command that runs an instance."""

from pathlib import Path
from typing import Annotated

import typer

from cassiaturn.serving import default_settings, open_port_and_serve

SettingsOption = Annotated[
    Path | None,
    typer.Option(
        "--settings",
        help="YAML file of the process; without it, the one that the platform names.",
    ),
]


def serve(
    settings: SettingsOption = None,
    debug: Annotated[
        bool, typer.Option(help="Log events of level debug, too.")
    ] = False,
) -> None:
    """Run an instance until SIGTERM, SIGINT or a drain.

    Exit codes: 0 stopped as planned, 2 a file is wrong, 6 an address cannot be
    listened at, 70 a fault of the program.
    """
    path = settings or default_settings()
    if path is None:
        raise typer.BadParameter("no platform names a file; give --settings")
    raise typer.Exit(open_port_and_serve(path, debug=debug))
