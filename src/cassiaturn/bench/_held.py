"""A task on its way through instances, and what instances tell each other."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiaturn.bench._runner import Start
from cassiaturn.policy import QueuedTask, TargetRow

if TYPE_CHECKING:
    from cassiaturn.bench._instance import Instance


@dataclass(slots=True, kw_only=True, eq=False)
class Held:
    """A task on its way, known to its home and to the holder of its target."""

    start: Start
    """The present attempt."""

    task: QueuedTask
    """The task as the queues see it."""

    home: "Instance"
    """The instance that took the job."""

    holder: "Instance"
    """The instance in whose queue or on whose target it is."""

    target: TargetRow | None = None
    """The target that a start was sent to."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """An instance's load, as its messages carry it."""

    free_slots: int
    """Slots that a task could start in, less the tasks that wait for one."""

    queued: int
    """Tasks queued."""

    expected_wait_s: float
    """Expected wait of a task queued now, in seconds."""

    demand_by_tenant: Mapping[str, int]
    """Running and queued tasks of each tenant."""
