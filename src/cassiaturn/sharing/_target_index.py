"""Finds the target for a task without a look at each one.

Load pattern: thousands of starts a second on hundreds of targets. With a look at each
target for each task, the choice takes most of a leader's processor time, and callers
wait for it rather than for a place.

Grounds: the order of preference depends on a target's size, on its speed and on what is
free. Targets that differ only in what is free are kept in order of it, so that the best
of each such class is found by bisection.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Sequence
from typing import Generic, NamedTuple, TypeVar

from cassiaturn.entities import Resources, TaskGroup
from cassiaturn.sharing._packing import (
    AWAY_COST,
    GroupKey,
    SharedTarget,
    choose_shared_target,
)

TargetT = TypeVar("TargetT", bound=SharedTarget)


class _Class(NamedTuple):
    """Targets that differ only in what is free."""

    is_slow: bool
    """Whether a task may take several times as long there."""

    pace_step: int
    """How slow they are, in steps."""

    total_cpu_millis: int
    """Size of their workers, in thousandths of a core."""

    failure_domain: str
    """Where they run."""


class _Row(NamedTuple, Generic[TargetT]):
    """A target in its class."""

    free_cpu_millis: int
    """What is free, in thousandths of a core."""

    number: int
    """Tells targets apart that have as much free; the earlier one goes first."""

    target: TargetT
    """The target."""


class TargetIndex(Generic[TargetT]):
    """The targets of one service, by what they have free."""

    def __init__(self) -> None:
        """Hold no target."""
        self._rows_by_class: dict[_Class, list[_Row[TargetT]]] = {}
        self._class_by_id: dict[str, _Class] = {}
        self._row_by_id: dict[str, _Row[TargetT]] = {}
        self._changed: set[SharedTarget] = set()
        self._added = 0

    def add(self, target: TargetT) -> None:
        """Take a target in; from now on it tells of its changes."""
        self._added += 1
        self._insert(target, self._added)
        target.changed = self._changed

    def remove(self, target: TargetT) -> None:
        """Let a target go."""
        self._delete(target.target_id)
        self._changed.discard(target)
        target.changed = None

    @property
    def targets(self) -> Sequence[TargetT]:
        """Every target, in the order in which they were added."""
        rows = sorted(self._row_by_id.values(), key=lambda row: row.number)
        return [row.target for row in rows]

    def largest_free_cpu_millis(self, is_usable: Callable[[TargetT], bool]) -> int:
        """Return the most that a usable target has free, in thousandths of a core.

        :param is_usable: whether a target may take work now.
        """
        self._update()
        return max(
            (_largest_free(rows, is_usable) for rows in self._rows_by_class.values()),
            default=0,
        )

    def choose(
        self,
        group: TaskGroup,
        group_key: GroupKey,
        *,
        is_usable: Callable[[TargetT], bool],
        avoided: frozenset[str] = frozenset(),
        is_tight: bool = False,
        preferred_domain: str = "",
    ) -> TargetT | None:
        """Return the target that :func:`choose_shared_target` would choose.

        :param is_usable: whether a target may take work now.
        :param preferred_domain: where the member of its caller runs; empty: not known.
        """
        self._update()
        if avoided or group.required_label or group.preferred_rack:
            return self._choose_among_all(
                group, group_key, is_usable, avoided, is_tight, preferred_domain
            )
        if group.max_per_target:
            return self._choose_among_all(
                group, group_key, is_usable, avoided, is_tight, preferred_domain
            )
        best: _Row[TargetT] | None = None
        best_rank: tuple[bool, float, float, float, int] | None = None
        wanted = group.resources
        for alike, rows in self._rows_by_class.items():
            row = _first_fit(rows, wanted, is_usable)
            if row is None:
                continue
            is_away = (
                bool(preferred_domain) and alike.failure_domain != preferred_domain
            )
            rank = (
                alike.is_slow,
                alike.pace_step + is_away if is_tight else 0,
                _left_over(row.free_cpu_millis - wanted.cpu_millis, alike)
                + AWAY_COST * is_away,
                -alike.pace_step,
                row.number,
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

    def _update(self) -> None:
        for target in self._changed:
            row = self._row_by_id[target.target_id]
            self._delete(target.target_id)
            self._insert(row.target, row.number)
        self._changed.clear()

    def _insert(self, target: TargetT, number: int) -> None:
        total = target.capacity.cpu_millis
        alike = _Class(target.is_slow, target.speed.step, total, target.failure_domain)
        row = _Row(total - target.used_cpu_millis, number, target)
        insort(self._rows_by_class.setdefault(alike, []), row)
        self._class_by_id[target.target_id] = alike
        self._row_by_id[target.target_id] = row

    def _delete(self, target_id: str) -> None:
        alike = self._class_by_id.pop(target_id)
        row = self._row_by_id.pop(target_id)
        rows = self._rows_by_class[alike]
        del rows[bisect_left(rows, row)]
        if not rows:
            del self._rows_by_class[alike]


def _first_fit(
    rows: list[_Row[TargetT]],
    wanted: Resources,
    is_usable: Callable[[TargetT], bool],
) -> _Row[TargetT] | None:
    """Return the usable target with the least that is enough."""
    begin = bisect_left(rows, (wanted.cpu_millis,))
    for place in range(begin, len(rows)):
        target = rows[place].target
        if target.has_free(wanted) and is_usable(target):
            return rows[place]
    return None


def _largest_free(
    rows: list[_Row[TargetT]], is_usable: Callable[[TargetT], bool]
) -> int:
    for row in reversed(rows):
        if is_usable(row.target):
            return row.free_cpu_millis
    return 0


def _left_over(free_cpu_millis: int, alike: _Class) -> float:
    total = alike.total_cpu_millis
    return free_cpu_millis / total if total else 0.0
