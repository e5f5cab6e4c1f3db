"""Check the file that ``make dist`` built: commands, one process, the demo."""

import argparse
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

NAME = "cassiaturn"

COMMAND_TIMEOUT_S = 60.0

DEMO_TIMEOUT_S = 180.0

START_TIMEOUT_S = 30.0

STOP_TIMEOUT_S = 60.0

LOOPBACK = "127.0.0.1"

EXPECTED_COUNTS = ("started_twice=0", "lost=0")

INSTANCE = """\
instance_id: dist-1
failure_domain: dist
listen: {loopback}:{rpc}
http: {loopback}:{http}
schemas: [{schema}]
configuration_file: {shared}
"""

SCHEMA = ROOT / "src" / "cassiaturn_examples" / "kwabena" / "props.binpb"

SHARED = ROOT / "settings" / "kwabena" / "shared.yaml"

EXAMPLES = (
    ROOT / "settings" / "kwabena" / "osu-1.yaml",
    ROOT / "settings" / "registre" / "rennes-a-1.yaml",
)


class CheckError(Exception):
    """The built file does not do what it should."""


def main() -> None:
    """Run every check, and exit with code 1 at the first that fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    default = ROOT / "dist" / NAME
    parser.add_argument("program", nargs="?", type=Path, default=default)
    program = parser.parse_args().program.resolve()
    try:
        with tempfile.TemporaryDirectory() as directory:
            check_commands(program)
            check_one_process(program, Path(directory))
            line = check_demo(program)
    except CheckError as error:
        print(f"event=dist_check_failed detail={str(error)!r}")
        sys.exit(1)
    print(line)
    print(f"event=dist_check_done file={program}")


def check_commands(program: Path) -> None:
    """Run commands that need no other process.

    :param program: the built file.
    """
    run(program, "--help")
    run(program, "check", "settings", *map(str, EXAMPLES))
    run(program, "check", "schema", str(SCHEMA))
    run(program, "check", "configuration", str(SHARED))


def check_one_process(program: Path, directory: Path) -> None:
    """Start an instance, look for other processes, and stop it gracefully.

    :param program: the built file.
    :param directory: for its settings.
    """
    rpc, http = free_port(), free_port()
    settings = directory / "dist-1.yaml"
    settings.write_text(
        INSTANCE.format(
            loopback=LOOPBACK, rpc=rpc, http=http, schema=SCHEMA, shared=SHARED
        )
    )
    log = directory / "dist-1.log"
    with log.open("w") as stream:
        instance = subprocess.Popen(
            [program, "serve", "--settings", settings],
            stderr=stream,
            start_new_session=True,
        )
    try:
        wait_until_live(instance, http, log)
        children = children_of(instance.pid)
        if children:
            raise CheckError(f"a running instance has child processes: {children}")
        instance.send_signal(signal.SIGTERM)
        code = instance.wait(STOP_TIMEOUT_S)
        if code != 0:
            raise CheckError(f"a planned stop ended with exit code {code}")
    finally:
        if instance.poll() is None:
            # A child that outlives its parent would hold our output open.
            os.killpg(instance.pid, signal.SIGKILL)
            instance.wait()


def check_demo(program: Path) -> str:
    """Run the demo with every instance started from the built file.

    :param program: the built file.
    :returns: the line with the demo's counts.
    """
    command = [sys.executable, "-m", "cassiaturn.load", "demo", "--program", program]
    finished = subprocess.run(
        command, capture_output=True, text=True, timeout=DEMO_TIMEOUT_S, check=False
    )
    lines = finished.stdout.splitlines()
    line = lines[-1] if lines else ""
    if finished.returncode != 0 or not line.startswith("event=demo_done"):
        raise CheckError(f"exit code {finished.returncode}: {line}{finished.stderr}")
    missing = [count for count in EXPECTED_COUNTS if count not in line.split()]
    if missing:
        raise CheckError(f"the demo lacks {missing}: {line}")
    return line


def run(program: Path, *arguments: str) -> None:
    """Run one command and expect exit code 0.

    :param program: the built file.
    :param arguments: of the command.
    """
    finished = subprocess.run(
        [program, *arguments],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
    if finished.returncode != 0:
        detail = f"{arguments} ended with {finished.returncode}: {finished.stderr}"
        raise CheckError(detail)


def children_of(process_id: int) -> list[str]:
    """Return the ids of a process's children.

    :param process_id: the process.
    """
    tasks = Path(f"/proc/{process_id}/task")
    return [
        child
        for task in os.listdir(tasks)
        for child in (tasks / task / "children").read_text().split()
    ]


def free_port() -> int:
    """Return a port that nothing listens at."""
    with socket.create_server((LOOPBACK, 0)) as server:
        port: int = server.getsockname()[1]
        return port


def wait_until_live(instance: "subprocess.Popen[bytes]", port: int, log: Path) -> None:
    """Wait until an instance listens, or tell why it ended.

    :param instance: its process.
    :param port: where it will listen, on loopback.
    :param log: its output.
    """
    give_up = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < give_up and instance.poll() is None:
        try:
            socket.create_connection((LOOPBACK, port), timeout=1.0).close()
        except OSError:
            time.sleep(0.1)
        else:
            return
    raise CheckError(f"the instance does not listen: {log.read_text()}")


if __name__ == "__main__":
    main()
