"""Regenerate the committed protobuf and grpclib code from the schema files."""

import subprocess
import sys
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src"
EXAMPLES = ("kwabena/props", "registre/register")


def run_protoc(*arguments: str) -> None:
    """Run the protoc that grpcio-tools brings, from the source root."""
    command = [sys.executable, "-m", "grpc_tools.protoc", "-I.", *arguments]
    subprocess.run(command, cwd=SOURCE, check=True)


def main() -> None:
    """Write ``*_pb2.py``, ``*_pb2.pyi``, ``*_grpc.py`` and descriptor sets."""
    sources = sorted(str(p.relative_to(SOURCE)) for p in SOURCE.rglob("*.proto"))
    outputs = ("--python_out=.", "--mypy_out=.", "--grpclib_python_out=.")
    run_protoc(*outputs, *sources)
    for example in EXAMPLES:
        name = f"cassiaturn_examples/{example}"
        run_protoc(
            "--include_imports", f"--descriptor_set_out={name}.binpb", f"{name}.proto"
        )


if __name__ == "__main__":
    main()
