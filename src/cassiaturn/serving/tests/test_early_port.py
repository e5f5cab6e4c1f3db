"""The port that callers reach before a member's imports."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from cassiaturn.load._ports import free_ports
from cassiaturn.serving._early_port import open_early

LOOPBACK = "127.0.0.1"

LIGHT = {"asyncio", "pydantic", "yaml", "typer", "tornado", "logbook"}
"""What must not be imported before the port is open."""


def _write(folder: Path, *lines: str) -> Path:
    path = folder / "settings.yaml"
    path.write_text("\n".join(lines) + "\n")
    return path


@pytest.mark.parametrize("quote", ['"', "'", ""])
def test_the_port_that_the_file_names_listens(tmp_path: Path, quote: str) -> None:
    """Every host starts again, and callers connect before anything is imported.

    Refused, they turn away; the connection waits instead.
    """
    (port,) = free_ports(1)
    address = f"{quote}{LOOPBACK}:{port}{quote}"
    path = _write(tmp_path, "member_name: a", f"callers: {address}", "kind: fleet")
    opened = open_early(path)
    assert opened is not None
    with opened, socket.create_connection((LOOPBACK, port), timeout=1.0):
        pass


@pytest.mark.parametrize(
    "lines",
    [
        (),
        ("kind: fleet",),
        ("kind: instance", "callers: 127.0.0.1:1"),
        ("callers: 127.0.0.1:1",),
        ("kind: fleet", "callers: nowhere:80"),
        ("kind: fleet", "callers: 127.0.0.1:99999"),
        ("kind: fleet", "callers: 256.1.1.1:80"),
        ("kind: fleet", "  callers: 127.0.0.1:80"),
        ("kind: fleet", "callers: [127.0.0.1, 80]"),
    ],
)
def test_other_files_open_nothing(tmp_path: Path, lines: tuple[str, ...]) -> None:
    assert open_early(_write(tmp_path, *lines)) is None


def test_a_missing_file_or_a_port_in_use_opens_nothing(tmp_path: Path) -> None:
    assert open_early(tmp_path / "none.yaml") is None
    with socket.create_server((LOOPBACK, 0)) as taken:
        address = f"{LOOPBACK}:{taken.getsockname()[1]}"
        path = _write(tmp_path, "kind: fleet", f"callers: {address}")
        assert open_early(path) is None


def test_nothing_heavy_is_imported_before_the_port_is_open() -> None:
    code = "import sys, cassiaturn.serving; print(*sys.modules)"
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert not LIGHT & set(found.stdout.split())
