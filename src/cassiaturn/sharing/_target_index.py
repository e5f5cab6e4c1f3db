"""Indexes targets, to find the one for a task without examining each of them.

Load pattern: thousands of starts per second on hundreds of targets. If each target is
examined for each task, the choice takes most of a leader's processor time, and callers
wait for the leader rather than for capacity.

Grounds: the order of preference depends on a target's size, its speed and its free
resources. Targets that differ only in free resources are kept sorted by them, so the
best one of each such class is found by bisection. A task that names a rack looks at the
targets of that rack first, which are few.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Sequence
from typing import Generic, NamedTuple, TypeVar

from cassiaturn.entities import Resources, TaskGroup
from cassiaturn.sharing._packing import (
    REMOTE_DOMAIN_PENALTY,
    GroupKey,
    SharedTarget,
    choose_shared_target,
)

TargetT = TypeVar("TargetT", bound=SharedTarget)


class _TargetClass(NamedTuple):
    """Properties that are equal for all targets of a class."""

    is_slow: bool
    """Whether a task may take several times as long there."""

    speed_step: int
    """Step of their speed estimate; lower is faster."""

    total_cpu_millis: int
    """Size of their workers, in thousandths of a core."""

    failure_domain: str
    """Failure domain of their hosts."""


class _Row(NamedTuple, Generic[TargetT]):
    """A target in its class."""

    free_cpu_millis: int
    """Free processor time, in thousandths of a core."""

    sequence: int
    """Position in order of addition; breaks ties."""

    target: TargetT
    """The target."""


class TargetIndex(Generic[TargetT]):
    """The targets of one service, sorted by free processor time."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows_by_class: dict[_TargetClass, list[_Row[TargetT]]] = {}
        self._class_by_id: dict[str, _TargetClass] = {}
        self._row_by_id: dict[str, _Row[TargetT]] = {}
        self._ids_by_label: dict[str, dict[str, None]] = {}
        """Targets with each label."""

        self._labels_by_id: dict[str, frozenset[str]] = {}
        """Labels by which each target is indexed; those of the target may have changed
        since."""

        self._changed: set[SharedTarget] = set()
        self._added = 0

    def add(self, target: TargetT) -> None:
        """Add a target; from now on it reports its changes to the index."""
        self._added += 1
        self._insert(target, self._added)
        self._index_labels(target.target_id, target.labels)
        target.changed_targets = self._changed

    def remove(self, target: TargetT) -> None:
        """Remove a target."""
        self._delete(target.target_id)
        self._index_labels(target.target_id, frozenset())
        del self._labels_by_id[target.target_id]
        self._changed.discard(target)
        target.changed_targets = None

    @property
    def targets(self) -> Sequence[TargetT]:
        """All targets, in the order in which they were added."""
        rows = sorted(self._row_by_id.values(), key=lambda row: row.sequence)
        return [row.target for row in rows]

    def largest_free_cpu_millis(self, is_usable: Callable[[TargetT], bool]) -> int:
        """Return the most that one usable target has free, in thousandths of a core.

        :param is_usable: whether a target may take work now.
        """
        self._update()
        largest = 0
        for rows in self._rows_by_class.values():
            largest = _largest_free(rows, is_usable, largest)
        return largest

    def choose(
        self,
        group: TaskGroup,
        group_key: GroupKey,
        *,
        is_usable: Callable[[TargetT], bool],
        avoided: frozenset[str] = frozenset(),
        is_tight: bool = False,
        preferred_domain: str = "",
        remote_factor: float = 1.0,
    ) -> TargetT | None:
        """Return the target that a task should start on, or None if none fits.

        It is the one that :func:`choose_shared_target` would choose, but for a degraded
        target on the rack that the group names: it is chosen if a task still ends there
        sooner than on another rack.

        :param is_usable: whether a target may take work now.
        :param avoided: ids of targets that failed this task before.
        :param is_tight: whether the task needs a large part of its caller's time.
        :param preferred_domain: failure domain of its caller's member; empty: unknown.
        :param remote_factor: how many times as long a task runs on another rack than
            the one that its group names.
        """
        self._update()
        if avoided or group.required_label or group.max_per_target:
            return self._choose_among_all(
                group, group_key, is_usable, avoided, is_tight, preferred_domain
            )
        on_rack: TargetT | None = None
        if group.preferred_rack:
            on_rack = self._choose_on_rack(
                group, group_key, is_usable, is_tight, preferred_domain
            )
        if on_rack is not None and (
            not on_rack.is_slow or on_rack.slowness <= remote_factor
        ):
            return on_rack
        elsewhere = self._choose_by_class(group, is_usable, is_tight, preferred_domain)
        if on_rack is not None and (elsewhere is None or elsewhere.is_slow):
            return on_rack
        return elsewhere

    def _choose_on_rack(
        self,
        group: TaskGroup,
        group_key: GroupKey,
        is_usable: Callable[[TargetT], bool],
        is_tight: bool,
        preferred_domain: str,
    ) -> TargetT | None:
        """Return the best target of the rack that a group names; None: none is free."""
        ids = self._ids_by_label.get(group.preferred_rack, {})
        rows = sorted(
            (self._row_by_id[target_id] for target_id in ids),
            key=lambda row: row.sequence,
        )
        targets = (row.target for row in rows)
        return choose_shared_target(
            group,
            group_key,
            (target for target in targets if is_usable(target)),
            is_tight=is_tight,
            preferred_domain=preferred_domain,
        )

    def _choose_by_class(
        self,
        group: TaskGroup,
        is_usable: Callable[[TargetT], bool],
        is_tight: bool,
        preferred_domain: str,
    ) -> TargetT | None:
        """Return the best target for a group without regard to racks."""
        best: _Row[TargetT] | None = None
        best_rank: tuple[bool, float, float, float, int] | None = None
        wanted = group.resources
        for target_class, rows in self._rows_by_class.items():
            row = _best_fit(rows, wanted, is_usable)
            if row is None:
                continue
            is_remote = (
                bool(preferred_domain)
                and target_class.failure_domain != preferred_domain
            )
            rank = (
                target_class.is_slow,
                target_class.speed_step + is_remote if is_tight else 0,
                _left_over(row.free_cpu_millis - wanted.cpu_millis, target_class)
                + REMOTE_DOMAIN_PENALTY * is_remote,
                -target_class.speed_step,
                row.sequence,
            )
            if best_rank is None or rank < best_rank:
                best = row
                best_rank = rank
        return best.target if best is not None else None

    def _choose_among_all(
        self,
        group: TaskGroup,
        group_key: GroupKey,
        is_usable: Callable[[TargetT], bool],
        avoided: frozenset[str],
        is_tight: bool,
        preferred_domain: str,
    ) -> TargetT | None:
        usable = (target for target in self.targets if is_usable(target))
        return choose_shared_target(
            group,
            group_key,
            usable,
            avoided=avoided,
            is_tight=is_tight,
            preferred_domain=preferred_domain,
        )

    def _index_labels(self, target_id: str, labels: frozenset[str]) -> None:
        """Index a target by its labels instead of those before."""
        before = self._labels_by_id.get(target_id, frozenset())
        for label in before - labels:
            ids = self._ids_by_label[label]
            del ids[target_id]
            if not ids:
                del self._ids_by_label[label]
        for label in labels - before:
            self._ids_by_label.setdefault(label, {})[target_id] = None
        self._labels_by_id[target_id] = labels

    def _update(self) -> None:
        for target in self._changed:
            row = self._row_by_id[target.target_id]
            if self._labels_by_id[target.target_id] != target.labels:
                self._index_labels(target.target_id, target.labels)
            self._delete(target.target_id)
            self._insert(row.target, row.sequence)
        self._changed.clear()

    def _insert(self, target: TargetT, sequence: int) -> None:
        total = target.capacity.cpu_millis
        target_class = _TargetClass(
            target.is_slow, target.speed.step, total, target.failure_domain
        )
        row = _Row(total - target.used_cpu_millis, sequence, target)
        insort(self._rows_by_class.setdefault(target_class, []), row)
        self._class_by_id[target.target_id] = target_class
        self._row_by_id[target.target_id] = row

    def _delete(self, target_id: str) -> None:
        target_class = self._class_by_id.pop(target_id)
        row = self._row_by_id.pop(target_id)
        rows = self._rows_by_class[target_class]
        del rows[bisect_left(rows, row)]
        if not rows:
            del self._rows_by_class[target_class]


def _best_fit(
    rows: list[_Row[TargetT]],
    wanted: Resources,
    is_usable: Callable[[TargetT], bool],
) -> _Row[TargetT] | None:
    """Return the usable target with the least free processor time that suffices."""
    begin = bisect_left(rows, (wanted.cpu_millis,))
    for index in range(begin, len(rows)):
        target = rows[index].target
        if target.has_free(wanted) and is_usable(target):
            return rows[index]
    return None


def _largest_free(
    rows: list[_Row[TargetT]], is_usable: Callable[[TargetT], bool], least: int
) -> int:
    """Return the most that a usable target has free, at least what is given."""
    for row in reversed(rows):
        if row.free_cpu_millis <= least:
            return least
        if is_usable(row.target):
            return row.free_cpu_millis
    return least


def _left_over(free_cpu_millis: int, target_class: _TargetClass) -> float:
    total = target_class.total_cpu_millis
    return free_cpu_millis / total if total else 0.0
