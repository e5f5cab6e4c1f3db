"""Worker resources that tasks need."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Resources:
    """Resources that one task needs, or that a worker has."""

    cpu_millis: int = 0
    """CPU share, in thousandths of a core."""

    memory_mib: int = 0
    """Memory, in MiB."""

    accelerators: int = 0
    """Number of whole accelerators."""
