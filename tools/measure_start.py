"""How long a member's process takes until callers can connect, and until it runs.

Starts ``python -m cassiaturn serve`` again and again, alone on loopback and without a
table service, and ends each by its id. With ``--profile`` it prints instead which
imports take longest.
"""

import argparse
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

LOOPBACK = "127.0.0.1"

SETTINGS = """\
kind: fleet
member_name: front-0
failure_domain: a
callers: "{callers}"
readiness: "{readiness}"
members: "{members}"
metrics: "{metrics}"
table_service: "{store}"
"""

SETTINGS_VARIABLE = "CASSIATURN_BOOT"

FIRST_LINE = b"event=process_starting"

TIMEOUT_S = 20.0
"""Longest wait for one start, in seconds."""

SHOWN = 25
"""Imports that the profile shows."""


def _free_ports(count: int) -> list[int]:
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports = [row.getsockname()[1] for row in sockets]
    for row in sockets:
        row.close()
    return ports


def _settings(folder: Path) -> tuple[Path, int]:
    names = ("callers", "readiness", "members", "metrics", "store")
    ports = _free_ports(len(names))
    addresses = {
        name: f"{LOOPBACK}:{port}" for name, port in zip(names, ports, strict=True)
    }
    path = folder / "settings.yaml"
    path.write_text(SETTINGS.format(**addresses))
    return path, ports[0]


def _until_connected(port: int, end_at: float) -> None:
    while time.monotonic() < end_at:
        try:
            socket.create_connection((LOOPBACK, port), timeout=0.2).close()
        except OSError:
            time.sleep(0.001)
        else:
            return
    raise TimeoutError("the port of callers never opened")


def measure_start(folder: Path) -> tuple[float, float]:
    """Start a member once; returns when its port opened and when it ran, in seconds."""
    path, port = _settings(folder)
    began_at = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-S", "-m", "cassiaturn", "serve"],
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    try:
        _until_connected(port, began_at + TIMEOUT_S)
        open_s = time.monotonic() - began_at
        for line in process.stdout or ():
            if FIRST_LINE in line:
                break
        return open_s, time.monotonic() - began_at
    finally:
        process.kill()
        process.wait()


def profile() -> str:
    """Return the imports that take longest until a member can serve."""
    code = (
        "import cassiaturn.serving, cassiaturn.fleet, cassiaturn.fleet._process,"
        " cassiaturn.platform; cassiaturn.platform.PlatformAdapter"
    )
    ran = subprocess.run(
        [sys.executable, "-X", "importtime", "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    rows = [line.split("|") for line in ran.stderr.splitlines() if "|" in line][1:]
    by_own_time = sorted(rows, key=lambda row: -int(row[0].split(":")[1]))
    lines = [f"{'own, us':>10} {'with its own, us':>18}  module"]
    lines += [
        f"{row[0].split(':')[1].strip():>10} {row[1].strip():>18}  {row[2].strip()}"
        for row in by_own_time[:SHOWN]
    ]
    return "\n".join(lines)


def main() -> None:
    """Print the medians of some starts, or the profile of one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=15)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    if options.profile:
        print(profile())
        return
    with tempfile.TemporaryDirectory() as folder:
        found = [measure_start(Path(folder)) for _ in range(options.starts)]
    opened, ran = zip(*found, strict=True)
    print(f"starts: {options.starts}")
    print(f"port of callers open after, median: {statistics.median(opened):.3f} s")
    print(f"first line after, median: {statistics.median(ran):.3f} s")


if __name__ == "__main__":
    main()
