"""What a worker has for tasks, and what is taken of it."""

from dataclasses import dataclass

from cassiaturn.entities import Resources


@dataclass(slots=True, kw_only=True, eq=False)
class TargetResources:
    """Resources of a target, counted exactly by its holder."""

    target_id: str
    """Its name."""

    failure_domain: str
    """Where it runs."""

    capacity: Resources
    """What of its worker the target may use; two targets of one worker each have
    a part of it."""

    used_cpu_millis: int = 0
    """Processor time taken by tasks, in thousandths of a core."""

    used_memory_mib: int = 0
    """Memory taken by tasks, in MiB."""

    used_accelerators: int = 0
    """Accelerators taken by tasks."""

    def has_free(self, wanted: Resources) -> bool:
        """Return whether a task finds its resources free."""
        capacity = self.capacity
        return (
            self.used_cpu_millis + wanted.cpu_millis <= capacity.cpu_millis
            and self.used_memory_mib + wanted.memory_mib <= capacity.memory_mib
            and self.used_accelerators + wanted.accelerators <= capacity.accelerators
        )

    def add_usage(self, wanted: Resources) -> None:
        """Count a task's resources as taken."""
        self.used_cpu_millis += wanted.cpu_millis
        self.used_memory_mib += wanted.memory_mib
        self.used_accelerators += wanted.accelerators

    def remove_usage(self, wanted: Resources) -> None:
        """Count a task's resources as free again."""
        self.used_cpu_millis -= wanted.cpu_millis
        self.used_memory_mib -= wanted.memory_mib
        self.used_accelerators -= wanted.accelerators
