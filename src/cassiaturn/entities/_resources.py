"""What tasks take of a worker."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Resources:
    """What one task takes of a worker, or what a worker has."""

    cpu_millis: int = 0
    """Processor time, in thousandths of a core."""

    memory_mib: int = 0
    """Memory, in MiB."""

    accelerators: int = 0
    """Whole accelerators."""
