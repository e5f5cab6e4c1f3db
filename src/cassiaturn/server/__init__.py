"""The process of an instance: streams, calls and loops around the engine."""

from cassiaturn.server._instance import Instance
from cassiaturn.server._run import run

__all__ = ["Instance", "run"]
