"""The server process of an instance: its streams, gRPC calls and background tasks."""

from cassiaturn.server._instance import Instance
from cassiaturn.server._run import run

__all__ = ["Instance", "run"]
