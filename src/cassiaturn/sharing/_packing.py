"""Choice of a worker for a task that takes a part of it.

Load pattern: tasks that each ask for a third to a half of a worker, on workers
of two sizes, nearly all of them in use. Least loaded first leaves a useless rest
on many workers at once: two 6.8-core tasks fit into 16 cores and three into 24,
and a 9-core task finds no room although 10 cores are free in total.

Grounds: best fit, the worker on which the least is left over, keeps the large
rests together. A target that works slowly goes after all sound ones, however
well the task would fit: on one that takes several times as long the whole job is
late, and a rest that is left over costs at most one place.

Of targets that work alike, those in the failure domain of the caller's member come
first. A cut between domains then parts few jobs: spread over all workers, a job of four
tasks has one behind the cut in two cases of three, and can't be complete in time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

from cassiaturn.entities import Resources, TaskGroup
from cassiaturn.sharing._speed_estimate import SpeedEstimate
from cassiaturn.sharing._target_resources import TargetResources

SLOW_FACTOR = 1.8
"""Run time over the expected one from which a target counts as slow: speeds of
sound workers differ by up to 1.6, and their declared times are off both ways."""

AWAY_COST = 0.1
"""Share of a worker that may be left over more in the failure domain of the caller's
member than in another one."""


class GroupKey(NamedTuple):
    """One group of one occurrence of a job."""

    job_id: str
    """The job."""

    occurrence: int
    """Which repetition."""

    group: int
    """Position of the group in the job."""


@dataclass(slots=True, kw_only=True, eq=False)
class SharedTarget(TargetResources):
    """A target whose worker several tasks share by what each takes."""

    labels: frozenset[str] = frozenset()
    """The worker's kind and its rack."""

    slowness: float = 1.0
    """The last few run times over the expected ones; finds a sick target soon."""

    speed: SpeedEstimate = field(default_factory=SpeedEstimate)
    """Many run times over the expected ones; tells sound targets apart."""

    tasks_by_group: dict[GroupKey, int] = field(default_factory=dict)
    """Tasks here of each group."""

    changed: "set[SharedTarget] | None" = None
    """Where its index keeps those that changed; None: no index holds it."""

    @property
    def is_slow(self) -> bool:
        """Whether a task may take several times as long here."""
        return self.slowness >= SLOW_FACTOR

    def note_change(self) -> None:
        """Tell the index that what is free here, or the speed, may have changed."""
        if self.changed is not None:
            self.changed.add(self)

    def allocate(self, wanted: Resources, group: GroupKey) -> None:
        """Count a task as started here."""
        self.add_usage(wanted)
        self.note_change()
        self.tasks_by_group[group] = self.tasks_by_group.get(group, 0) + 1

    def release(self, wanted: Resources, group: GroupKey) -> None:
        """Count a task as over.

        :raises AssertionError: none of its group was here; the table is broken.
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
    """Return the target that a task should start on, or None.

    :param group: what the task asks for.
    :param group_key: job id and position of the group.
    :param targets: the targets that may take work now.
    :param avoided: targets that failed this task before; taken only if no other
        fits.
    :param is_tight: whether the task needs a large part of its caller's time.
    :param preferred_domain: where the member of its caller runs; empty: not known.
    """
    best: TargetT | None = None
    best_rank: tuple[bool, bool, bool, float, float, float] | None = None
    wanted = group.resources
    for target in targets:
        if not target.has_free(wanted) or not _allowed(group, group_key, target):
            continue
        is_away = bool(preferred_domain) and target.failure_domain != preferred_domain
        rank = (
            target.target_id in avoided,
            target.is_slow,
            bool(group.preferred_rack) and group.preferred_rack not in target.labels,
            target.speed.step + is_away if is_tight else 0,
            _left_over(target, wanted) + AWAY_COST * is_away,
            # The slower of two equal fits: the faster one stays free for what needs it.
            -target.speed.step,
        )
        if best_rank is None or rank < best_rank:
            best = target
            best_rank = rank
    return best


def _allowed(group: TaskGroup, group_key: GroupKey, target: SharedTarget) -> bool:
    if group.required_label and group.required_label not in target.labels:
        return False
    if not group.max_per_target:
        return True
    return target.tasks_by_group.get(group_key, 0) < group.max_per_target


def _left_over(target: SharedTarget, wanted: Resources) -> float:
    """Return the share of its processors that stays free beside the task."""
    total = target.capacity.cpu_millis
    if not total:
        return 0.0
    return (total - target.used_cpu_millis - wanted.cpu_millis) / total
