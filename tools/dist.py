"""Build one executable file that holds the program and every dependency.

PyInstaller collects the interpreter, the libraries and the program in a
directory; that directory is packed behind a short shell header. The header
unpacks it once a host and version, to a directory in memory, and then replaces
itself by the program with ``exec``, so that a running instance is one process.
See docs/decisions/libraries.md for the other packers and their figures.
"""

import argparse
import hashlib
import io
import shutil
import tarfile
import tempfile
from pathlib import Path

import PyInstaller.__main__

ROOT = Path(__file__).resolve().parent.parent

NAME = "cassiaturn"

ENTRY = "from cassiaturn.cli import main\n\nmain()\n"

DATA_PACKAGES = ("cassiaturn", "cassiaturn_examples")

METADATA = ("opentelemetry-api", "opentelemetry-sdk")
"""Distributions whose entry points are looked up when the program runs."""

HIDDEN_IMPORTS = (
    "cassiaturn_examples.kwabena.props_pb2",
    "cassiaturn_examples.registre.register_pb2",
    "opentelemetry.context.contextvars_context",
)
"""Modules that are imported by name only."""

EXCLUDED_MODULES = (
    "ast_serialize",
    "cassiaturn.bench",
    "hypothesis",
    "matplotlib",
    "mypy",
    "numpy",
    "PIL",
    "pytest",
    "setuptools",
    "tkinter",
)
"""Modules of tests and plots, and what the libraries use only for those."""

COMPRESSION_LEVEL = 9

DIGEST_CHARACTERS = 16

HEADER = """\
#!/bin/sh
# Unpacks the program to a directory in memory once, then becomes the program.
set -eu
base="${{CASSIATURN_UNPACK_DIR:-${{TMPDIR:-/tmp}}}}"
home="$base/{name}-{digest}"
if [ ! -d "$home" ]; then
  fresh=$(mktemp -d "$base/{name}.XXXXXXXX")
  tail -n +{lines} "$0" | tar -xzf - -C "$fresh"
  # Of two first starts at once, one rename wins; the other uses its result.
  mv -T "$fresh" "$home" 2>/dev/null || rm -rf "$fresh"
fi
# Another user could have put a program of theirs there before us.
if [ ! -O "$home" ]; then
  echo "{name}: $home belongs to somebody else; set CASSIATURN_UNPACK_DIR" >&2
  exit 70
fi
exec "$home/{name}" "$@"
"""


def main() -> None:
    """Build the file that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__)
    default = ROOT / "dist" / NAME
    parser.add_argument("--output", type=Path, default=default, help="file to write")
    output = parser.parse_args().output
    with tempfile.TemporaryDirectory() as directory:
        program = collect(Path(directory))
        write_executable(output, pack(program))
    print(f"event=dist_done file={output} bytes={output.stat().st_size}")


def collect(directory: Path) -> Path:
    """Collect the program and its dependencies with PyInstaller.

    :param directory: an empty directory.
    :returns: the directory that holds the program.
    """
    entry = directory / "entry.py"
    entry.write_text(ENTRY)
    arguments = [
        *("--noconfirm", "--clean", "--onedir", "--log-level", "ERROR"),
        *("--name", NAME),
        *("--distpath", str(directory / "dist")),
        *("--workpath", str(directory / "work")),
        *("--specpath", str(directory)),
    ]
    if shutil.which("strip"):
        arguments.append("--strip")
    for option, values in (
        ("--collect-data", DATA_PACKAGES),
        ("--copy-metadata", METADATA),
        ("--hidden-import", HIDDEN_IMPORTS),
        ("--exclude-module", EXCLUDED_MODULES),
    ):
        for value in values:
            arguments += [option, value]
    PyInstaller.__main__.run([*arguments, str(entry)])
    return directory / "dist" / NAME


def pack(program: Path) -> bytes:
    """Return a compressed archive of a directory.

    :param program: the directory.
    """
    content = io.BytesIO()
    with tarfile.open(
        fileobj=content, mode="w:gz", compresslevel=COMPRESSION_LEVEL
    ) as archive:
        for path in sorted(program.rglob("*")):
            archive.add(path, str(path.relative_to(program)), recursive=False)
    return content.getvalue()


def write_executable(output: Path, archive: bytes) -> None:
    """Write the header and the archive behind it.

    :param output: the file.
    :param archive: what the header unpacks.
    """
    digest = hashlib.sha256(archive).hexdigest()[:DIGEST_CHARACTERS]
    lines = HEADER.count("\n") + 1
    header = HEADER.format(name=NAME, digest=digest, lines=lines)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_bytes(header.encode() + archive)
    output.chmod(0o755)


if __name__ == "__main__":
    main()
