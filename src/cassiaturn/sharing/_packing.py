"""Chooses a target for a task that takes a part of its worker.

Load pattern: tasks that each ask for a third to a half of a worker, on workers of two
sizes, with nearly all resources in use. Least loaded first leaves fragments on many
workers at once: two 6.8-core tasks fit into 16 cores and three into 24, and a 9-core
task finds no worker although 10 cores are free in total.

Grounds: best fit, the worker with the least capacity left over, preserves large free
parts.
A slow target goes after all healthy ones, however well the task would fit: on a target
that takes several times as long the whole job is late, whereas leaving resources unused
costs at most one task's capacity.

Among otherwise equal targets, those in the failure domain of the caller's member come
first, so that a network partition between domains affects few jobs. If tasks are spread
over all workers, a job of four tasks has one beyond the partition in two cases of three
and cannot complete in time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

from cassiaturn.entities import Resources, TaskGroup
from cassiaturn.sharing._speed_estimate import SpeedEstimate
from cassiaturn.sharing._target_resources import TargetResources

SLOW_FACTOR = 1.8
"""Run time over the expected one from which a target counts as slow. Speeds of healthy
workers differ by up to 1.6, and declared times are off in both directions."""

REMOTE_DOMAIN_PENALTY = 0.1
"""Added to the left-over share of a target outside the failure domain of the caller's
member: of otherwise equal targets, one there is chosen only if it fits better by more
than this share."""


class GroupKey(NamedTuple):
    """One group of one occurrence of a job."""

    job_id: str
    """Id of the job."""

    occurrence: int
    """Which repetition of a scheduled job; 0 for a job that runs once."""

    group: int
    """Position of the group in the job."""


@dataclass(slots=True, kw_only=True, eq=False)
class SharedTarget(TargetResources):
    """A target whose worker's resources several tasks share."""

    labels: frozenset[str] = frozenset()
    """The worker's kind and its rack."""

    slowness: float = 1.0
    """Moving average of the last few run times over the expected ones; detects a
    degraded target quickly."""

    speed: SpeedEstimate = field(default_factory=SpeedEstimate)
    """Estimate from many run times over the expected ones; distinguishes healthy
    targets."""

    tasks_by_group: dict[GroupKey, int] = field(default_factory=dict)
    """Number of tasks of each group on this target."""

    changed_targets: "set[SharedTarget] | None" = None
    """Set in which its index collects changed targets; None: it is in no index."""

    @property
    def is_slow(self) -> bool:
        """Whether a task may take several times as long here."""
        return self.slowness >= SLOW_FACTOR

    def note_change(self) -> None:
        """Tell the index that the free resources or the speed may have changed."""
        if self.changed_targets is not None:
            self.changed_targets.add(self)

    def allocate(self, wanted: Resources, group: GroupKey) -> None:
        """Count a task as started here."""
        self.add_usage(wanted)
        self.note_change()
        self.tasks_by_group[group] = self.tasks_by_group.get(group, 0) + 1

    def release(self, wanted: Resources, group: GroupKey) -> None:
        """Count a task as ended.

        :raises AssertionError: no task of the group is counted here, so the counts are
            inconsistent.
        """
        count = self.tasks_by_group.get(group, 0)
        if count <= 0:
            raise AssertionError(f"{self.target_id}: a task of {group} never began")
        if count == 1:
            del self.tasks_by_group[group]
        else:
            self.tasks_by_group[group] = count - 1
        self.remove_usage(wanted)
        self.note_change()


TargetT = TypeVar("TargetT", bound=SharedTarget)


def choose_shared_target(
    group: TaskGroup,
    group_key: GroupKey,
    targets: Iterable[TargetT],
    *,
    avoided: frozenset[str] = frozenset(),
    is_tight: bool = False,
    preferred_domain: str = "",
) -> TargetT | None:
    """Return the target that a task should start on, or None if none fits.

    :param group: group of the task, with its resources and constraints.
    :param group_key: key of that group.
    :param targets: the targets that may take work now.
    :param avoided: ids of targets that failed this task before; chosen only if no other
        fits.
    :param is_tight: whether the task needs a large part of its caller's time.
    :param preferred_domain: failure domain of its caller's member; empty: unknown.
    """
    best: TargetT | None = None
    best_rank: tuple[bool, bool, bool, float, float, float] | None = None
    wanted = group.resources
    for target in targets:
        if not target.has_free(wanted) or not _is_allowed(group, group_key, target):
            continue
        is_remote = bool(preferred_domain) and target.failure_domain != preferred_domain
        rank = (
            target.target_id in avoided,
            target.is_slow,
            bool(group.preferred_rack) and group.preferred_rack not in target.labels,
            target.speed.step + is_remote if is_tight else 0,
            _left_over(target, wanted) + REMOTE_DOMAIN_PENALTY * is_remote,
            # Of equal fits the slower target: fast ones stay free for tight tasks.
            -target.speed.step,
        )
        if best_rank is None or rank < best_rank:
            best = target
            best_rank = rank
    return best


def _is_allowed(group: TaskGroup, group_key: GroupKey, target: SharedTarget) -> bool:
    if group.required_label and group.required_label not in target.labels:
        return False
    if not group.max_per_target:
        return True
    return target.tasks_by_group.get(group_key, 0) < group.max_per_target


def _left_over(target: SharedTarget, wanted: Resources) -> float:
    """Return the share of its processors that stays free beside the task, 0 to 1."""
    total = target.capacity.cpu_millis
    if not total:
        return 0.0
    return (total - target.used_cpu_millis - wanted.cpu_millis) / total
