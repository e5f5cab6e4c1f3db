"""Chooses one of the instance's own targets for a task.

Load pattern: few free slots among many targets, on workers with limited processors,
memory and accelerators. Without exact counts a start is refused because its slot is
taken, and both messages are wasted; without spreading, a worker that is lost or slow
affects more than its share of a job.

Grounds: the instance that holds a target sees every start and end on it, so its
counts are exact and no probe is needed. Choosing the least share in use is join the
shortest queue, which is exact here because tasks are assigned to a target only when
they start (late binding).
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cassiaturn.entities import RequestClass, Resources
from cassiaturn.policy._queued_task import QueuedTask
from cassiaturn.policy._settings import PlacementSettings
from cassiaturn.sharing._target_resources import TargetResources

_DEFAULT_SPARE = PlacementSettings().spare_share_by_class


@dataclass(slots=True, kw_only=True, eq=False)
class TargetRow(TargetResources):
    """A target that this instance holds, with its capacity in use."""

    worker: str
    """Worker on which it runs."""

    slots: int
    """Number of tasks that it may run at a time."""

    in_use: int = 0
    """Number of tasks that this instance started on it and that have not ended."""

    connections: int
    """Number of connections that it accepts."""

    connections_in_use: int = 0
    """Number of connections in use by this instance."""

    methods: frozenset[str] | None = None
    """Methods that it serves; None: all."""

    leaving: bool = False
    """Whether it is draining and gets no new work."""

    connected: bool = True
    """Whether its session is open."""

    allowance: int = field(default=1 << 30)
    """Number of slots that its health permits."""

    def fits(self, task: QueuedTask) -> bool:
        """Return whether the task may start here now."""
        if self.in_use >= self.slots or self.in_use >= self.allowance:
            return False
        if self.leaving or not self.connected:
            return False
        # A target on probation may still fail its tasks. A task that is not
        # repeatable would then fail its job, so only repeatable ones are sent.
        if self.allowance < self.slots and not task.repeatable:
            return False
        if self.connections_in_use >= self.connections:
            return False
        if self.methods is not None and task.method not in self.methods:
            return False
        return self.has_free(task.resources)

    def take(self, resources: Resources) -> None:
        """Reserve a slot and resources for a started task."""
        self.in_use += 1
        self.add_usage(resources)

    def give_back(self, resources: Resources) -> None:
        """Release the slot and resources of a task that has ended.

        :raises AssertionError: no slot was in use, so the counts are wrong.
        """
        if self.in_use <= 0:
            raise AssertionError(f"{self.target_id} gave back a slot it never took")
        self.in_use -= 1
        self.remove_usage(resources)


def choose_target(
    task: QueuedTask,
    targets: Iterable[TargetRow],
    *,
    spare_share_by_class: Mapping[RequestClass, float] = _DEFAULT_SPARE,
) -> TargetRow | None:
    """Return the least loaded target on which the task fits, or None.

    :param task: the task to start.
    :param targets: the instance's own targets, at most a few dozen.
    :param spare_share_by_class: share of the slots that a class leaves to higher
        classes, unless ``task.may_use_spare`` is set; a ratio.
    """
    spare_share = spare_share_by_class.get(task.request_class, 0.0)
    if spare_share == 0.0 or task.may_use_spare:
        return _least_loaded(task, targets)
    best: TargetRow | None = None
    best_share = 1.0
    slots = 0
    free = 0
    for row in targets:
        if row.leaving or not row.connected:
            continue
        in_use = row.in_use
        usable = row.slots if row.slots < row.allowance else row.allowance
        slots += usable
        if in_use >= usable:
            continue
        free += usable - in_use
        share = in_use / row.slots
        if share < best_share and row.fits(task):
            best = row
            best_share = share
    return best if free > round(spare_share * slots) else None


def _least_loaded(task: QueuedTask, targets: Iterable[TargetRow]) -> TargetRow | None:
    best: TargetRow | None = None
    best_share = 1.0
    for row in targets:
        share = row.in_use / row.slots if row.slots else 1.0
        if share < best_share and row.fits(task):
            if share == 0.0:
                return row
            best = row
            best_share = share
    return best
