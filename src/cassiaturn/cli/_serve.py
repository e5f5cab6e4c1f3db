"""The command that runs an instance."""

import contextlib
import gc
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer
from returns.result import Failure, Success

from cassiaturn.cli._exit import ExitCode

if TYPE_CHECKING:
    from cassiaturn.settings import FleetSettings, SettingsErrors

CALLERS_BACKLOG = 1024
"""Callers that may wait to be accepted: some 10 s of all callers of a small site; one
that finds the queue full tries again only after seconds."""

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
    import sys

    from cassiaturn.observability import BoundedOutput, configure_logging
    from cassiaturn.settings import is_fleet_file

    path = settings or _path_of_the_platform()
    stream = None
    if is_fleet_file(path):
        stream = BoundedOutput(descriptor=sys.stdout.fileno())
    output = configure_logging(stream=stream, debug=debug)
    try:
        code = _run(path)
    finally:
        output.close()
    raise typer.Exit(code)


def _path_of_the_platform() -> Path:
    from cassiaturn.platform import settings_path

    path = settings_path()
    if path is None:
        raise typer.BadParameter("no platform names a file; give --settings")
    return path


def _run(path: Path) -> int:
    from cassiaturn.settings import (
        is_fleet_file,
        load_fleet_settings,
        load_instance_settings,
    )

    if is_fleet_file(path):
        match load_fleet_settings(path):
            case Success(settings):
                return _run_member(settings, path)
            case Failure(errors):
                return _report(errors)
    match load_instance_settings(path):
        case Success(settings):
            from cassiaturn.server import run

            return run(settings)
        case Failure(errors):
            return _report(errors)
    raise AssertionError("a result is a success or a failure")


def _run_member(settings: "FleetSettings", path: Path) -> int:
    from cassiaturn.observability import Event, log_event

    address = settings.callers
    try:
        # Callers of a host that starts again are refused until something listens, and
        # come back after most of their time. The rest of the imports takes 0.4 s of
        # the 0.7 s until a member serves; what connects meanwhile waits for it.
        callers = socket.create_server(
            (address.host, address.port), backlog=CALLERS_BACKLOG
        )
    except OSError as error:
        log_event(Event.LISTEN_FAILED, address=address, detail=str(error))
        return ExitCode.UNREACHABLE
    with _without_collections():
        from cassiaturn.fleet import run
        from cassiaturn.platform import PlatformAdapter

    adapter = PlatformAdapter(settings)
    return run(settings, path=path, adapter=adapter, callers=callers)


@contextlib.contextmanager
def _without_collections() -> Iterator[None]:
    """Import without collecting garbage, and leave out later what was imported.

    Collections find nothing in what is imported, and take a fourteenth of its time
    (0.76 to 0.71 s, median of 14 starts each); a later one of everything stands the
    member still for 45 ms.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


def _report(errors: "SettingsErrors") -> int:
    from cassiaturn.observability import Event, log_event

    for error in errors.errors:
        log_event(
            Event.SETTINGS_INVALID,
            file=error.file,
            key=error.key,
            value=error.value,
            allowed=error.allowed,
        )
    return ExitCode.USAGE
