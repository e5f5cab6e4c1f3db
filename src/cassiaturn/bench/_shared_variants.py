"""Who decides in a shared play: ours, the bound, or ours with one module off."""

import contextlib
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

from cassiaturn.entities import TaskGroup
from cassiaturn.policy import ExpectedRuns, GroupKey, OrderKey
from cassiaturn.standins import virtual_targets
from cassiaturn.workload import Target

OURS = "ours"

EXACT = "exact"
"""The bound: one queue without ways, which knows how long each task takes."""

Variant = Callable[[], AbstractContextManager[Any]]
"""Makes the context in which a play runs."""

_VARIANTS_BY_NAME: dict[str, Variant] = {OURS: contextlib.nullcontext}


def variants_by_name() -> Mapping[str, Variant]:
    """Return every variant."""
    return _VARIANTS_BY_NAME


def _variant(function: Variant) -> Variant:
    """Register a variant under its name."""
    _VARIANTS_BY_NAME[function.__name__] = function
    return function


def _patched(name: str, replacement: object) -> AbstractContextManager[Any]:
    """Replace a function of the leader's systems by what one would do without it."""
    return mock.patch(f"cassiaturn.workload.{name}", replacement)


@_variant
@contextlib.contextmanager
def exact() -> Iterator[None]:
    """Know how long each task takes, and send orders in no time."""
    with (
        mock.patch.object(virtual_targets, "WAY_S", 0.0),
        mock.patch.object(ExpectedRuns, "expected_s", _declared),
    ):
        yield


@_variant
def no_order() -> AbstractContextManager[Any]:
    """Start jobs in order of arrival."""
    return _patched("_backlog.order_key", _by_arrival)


@_variant
def priority_first() -> AbstractContextManager[Any]:
    """Start urgent jobs first, also those that are late in any case."""
    return _patched("_backlog.order_key", _by_priority)


@_variant
def no_packing() -> AbstractContextManager[Any]:
    """Start each task on the least loaded worker."""
    return _patched("_dispatch.choose_shared", _least_loaded)


@_variant
def no_pace() -> AbstractContextManager[Any]:
    """Let long tasks run on slow workers."""
    return _patched("_tables.needs_fast_target", _never)


@_variant
def no_outlook() -> AbstractContextManager[Any]:
    """Run on what outlasts its caller."""
    return _patched("_tick._cannot_finish", _never)


@_variant
def no_refusal() -> AbstractContextManager[Any]:
    """Queue whatever comes."""
    return _patched("_intake._refusal", _none)


@_variant
def no_expected_runs() -> AbstractContextManager[Any]:
    """Trust declared run times."""
    return _patched("_tables.ExpectedRuns.expected_s", _declared)


@_variant
def no_failure_pause() -> AbstractContextManager[Any]:
    """Start on at a worker that fails what it starts."""
    return _patched("_ends.failed_target_pause_s", _no_pause)


def _by_arrival(**fields: object) -> OrderKey:
    # The queue's rows are kept in order of arrival, and sorting keeps equal ones so.
    return OrderKey(late=False, priority=0, is_new=False, due_at=0.0)


def _by_priority(
    *, priority: int, due_at: float, expected_run_s: float, is_new: bool, now: float
) -> OrderKey:
    rank = 2 * priority + (due_at < now)
    return OrderKey(late=False, priority=rank, is_new=False, due_at=due_at)


def _least_loaded(
    group: TaskGroup, key: GroupKey, targets: Iterable[Target], **options: object
) -> Target | None:
    fitting = [target for target in targets if target.has(group.resources)]
    return min(fitting, key=lambda target: target.used_cpu_millis, default=None)


def _declared(self: ExpectedRuns, route: str, declared_s: float) -> float:
    return declared_s


def _never(*args: object, **options: object) -> bool:
    return False


def _none(*args: object) -> None:
    return None


def _no_pause(failures_in_row: int) -> float:
    return 0.0
