"""Counts how much of a target's resources tasks use."""

from dataclasses import dataclass

from cassiaturn.entities import Resources


@dataclass(slots=True, kw_only=True, eq=False)
class TargetResources:
    """Resources of a target, counted exactly by the process that starts its tasks."""

    target_id: str
    """Id of the target."""

    failure_domain: str
    """Failure domain of its host."""

    capacity: Resources
    """Share of its worker's resources that the target may use; two targets of one
    worker have a share each."""

    used_cpu_millis: int = 0
    """Processor time in use, in thousandths of a core."""

    used_memory_mib: int = 0
    """Memory in use, in MiB."""

    used_accelerators: int = 0
    """Accelerators in use."""

    def has_free(self, wanted: Resources) -> bool:
        """Return whether the resources of a task are free."""
        capacity = self.capacity
        return (
            self.used_cpu_millis + wanted.cpu_millis <= capacity.cpu_millis
            and self.used_memory_mib + wanted.memory_mib <= capacity.memory_mib
            and self.used_accelerators + wanted.accelerators <= capacity.accelerators
        )

    def add_usage(self, wanted: Resources) -> None:
        """Count a task's resources as in use."""
        self.used_cpu_millis += wanted.cpu_millis
        self.used_memory_mib += wanted.memory_mib
        self.used_accelerators += wanted.accelerators

    def remove_usage(self, wanted: Resources) -> None:
        """Count a task's resources as free again."""
        self.used_cpu_millis -= wanted.cpu_millis
        self.used_memory_mib -= wanted.memory_mib
        self.used_accelerators -= wanted.accelerators
