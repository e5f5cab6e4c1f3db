"""Runs the process of one settings file."""

import contextlib
import gc
import socket
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cassiaturn.cli._exit import ExitCode
from cassiaturn.serving._early_port import listen_for_callers, open_early

if TYPE_CHECKING:
    from returns.result import Result

    from cassiaturn.entities import Address
    from cassiaturn.settings import FleetSettings, SettingsErrors


def default_settings() -> Path | None:
    """Return the settings file that the platform names; None: it names none."""
    from cassiaturn.platform import settings_path

    return settings_path()


def open_port_and_serve(path: Path, *, debug: bool = False) -> int:
    """Open the port of callers, then import and run the process of a file.

    :param path: the settings file.
    :param debug: whether events of level debug are logged, too.
    :returns: the exit code of the process.
    """
    callers = open_early(path)
    opened_at = time.monotonic()
    with _without_collections():
        from cassiaturn.observability import BoundedOutput, configure_logging
        from cassiaturn.settings import is_fleet_document, load_document

    document = load_document(path)
    is_fleet = is_fleet_document(document.value_or(None))
    stream = None
    if is_fleet:
        stream = BoundedOutput(descriptor=sys.stdout.fileno())
    output = configure_logging(stream=stream, debug=debug)
    try:
        if is_fleet:
            return _check_and_run_member(document, path, callers, opened_at)
        return _run_instance(path)
    finally:
        output.close()


def _check_and_run_member(
    document: "Result[Any, SettingsErrors]",
    path: Path,
    callers: socket.socket | None,
    opened_at: float,
) -> int:
    from returns.result import Failure, Success

    from cassiaturn.settings import check_fleet_settings

    match document.bind(lambda values: check_fleet_settings(values, file=path)):
        case Success(settings):
            return _run_member(settings, path, callers, opened_at)
        case Failure(errors):
            return _report(errors)
    raise AssertionError("a result is a success or a failure")


def _run_instance(path: Path) -> int:
    from returns.result import Failure, Success

    # Only here: an instance's settings bring pydantic and the policies with them.
    from cassiaturn.settings import load_instance_settings

    match load_instance_settings(path):
        case Success(settings):
            from cassiaturn.server import run

            return run(settings)
        case Failure(errors):
            return _report(errors)
    raise AssertionError("a result is a success or a failure")


def _run_member(
    settings: "FleetSettings",
    path: Path,
    callers: socket.socket | None,
    opened_at: float,
) -> int:
    from cassiaturn.observability import Event, log_event

    address = settings.callers
    try:
        if callers is None or not _listens_at(callers, address):
            callers = listen_for_callers(address.host, address.port)
            opened_at = time.monotonic()
    except OSError as error:
        log_event(Event.LISTEN_FAILED, address=address, detail=str(error))
        return ExitCode.UNREACHABLE
    with _without_collections():
        from cassiaturn.fleet import run
        from cassiaturn.platform import PlatformAdapter

    adapter = PlatformAdapter(settings)
    return run(
        settings, path=path, adapter=adapter, callers=callers, opened_at=opened_at
    )


def _listens_at(port: socket.socket, address: "Address") -> bool:
    host, number = port.getsockname()[:2]
    return bool(host == address.host and number == address.port)


@contextlib.contextmanager
def _without_collections() -> Iterator[None]:
    """Import without collecting garbage, and leave out later what was imported.

    Collections find nothing in what is imported and take a part of its time; a later
    one of everything stands the member still for tens of milliseconds.
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
