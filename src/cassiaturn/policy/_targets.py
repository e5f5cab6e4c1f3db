"""Choice of one of the instance's own targets.

Load pattern: a few free slots among many targets, on workers of limited
processors, memory and accelerators. Without exact counts a start finds its slot
taken and its answer is a wasted message; without spreading, a worker that is
lost or slow takes more of a job with it than its share.

Grounds: the holder sees every start and end of its targets, so its counts are
exact and no probe is needed; least share in use first is join the shortest
queue, which late binding makes exact.
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
    """A target that this instance holds, with what is in use of it."""

    worker: str
    """The worker it runs on."""

    slots: int
    """Tasks it may run at a time."""

    in_use: int = 0
    """Tasks started and not ended, as counted here."""

    connections: int
    """Connections it accepts."""

    connections_in_use: int = 0
    """Connections open, as counted here."""

    methods: frozenset[str] | None = None
    """Methods that it serves; None: all."""

    leaving: bool = False
    """It is to get no new work."""

    connected: bool = True
    """Its session is open."""

    allowance: int = field(default=1 << 30)
    """Slots that its health permits."""

    def fits(self, task: QueuedTask) -> bool:
        """Return whether the task may start here now."""
        if self.in_use >= self.slots or self.in_use >= self.allowance:
            return False
        if self.leaving or not self.connected:
            return False
        # A target on probation may still fail what it is given. A task that may
        # not be repeated would then fail its job, so only others put it to trial.
        if self.allowance < self.slots and not task.repeatable:
            return False
        if self.connections_in_use >= self.connections:
            return False
        if self.methods is not None and task.method not in self.methods:
            return False
        return self.has_free(task.resources)

    def take(self, resources: Resources) -> None:
        """Count a task as started."""
        self.in_use += 1
        self.add_usage(resources)

    def give_back(self, resources: Resources) -> None:
        """Count a task as over.

        :raises AssertionError: nothing was in use; the table is broken.
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
    """Return the least loaded target that the task fits, or None.

    :param task: the task to start.
    :param targets: the instance's own targets, at most a few dozen.
    :param spare_share_by_class: share of the slots that a class leaves to higher
        ones, unless the task may use them.
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
