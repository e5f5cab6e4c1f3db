"""Who decides in a shared play: ours, the bound, or ours with one module off."""

import contextlib
from collections.abc import Callable, Iterator, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

from cassiaturn.bench._shared_load import LIMIT_S
from cassiaturn.entities import Route, TaskGroup
from cassiaturn.sharing import (
    Deadlines,
    ExpectedRuns,
    GroupKey,
    Lateness,
    OrderKey,
    TargetIndex,
    job_deadlines,
    queue_key,
)
from cassiaturn.standins import virtual_targets
from cassiaturn.workload import Job, Run, Tables, Target, dispatch
from cassiaturn.workload._dispatch import requeue_task
from cassiaturn.workload._ports import Ports
from cassiaturn.workload._settle import stop
from cassiaturn.workload._tables import RunState

OURS = "ours"

PREEMPTED_SHARE = 0.3
"""Part of its expected run up to which a run is stopped for an urgent job: of what is
further, too much would be done twice."""

MOST_PREEMPTED = 4
"""Runs that are being stopped at any time: as many as one urgent job has tasks."""

ORDER_KEY = "cassiaturn.sharing._job_queue.order_key"
"""What gives jobs their places in the queue."""

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
    return mock.patch(ORDER_KEY, _by_arrival)


@_variant
def priority_first() -> AbstractContextManager[Any]:
    """Start urgent jobs first, also those that are late in any case."""
    return mock.patch(ORDER_KEY, _by_priority)


@_variant
def no_packing() -> AbstractContextManager[Any]:
    """Start each task on the least loaded worker."""
    return mock.patch.object(TargetIndex, "choose", _least_loaded)


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
def short_limit() -> AbstractContextManager[Any]:
    """End jobs after :data:`LIMIT_S`, also those of callers that wait for longer."""
    return _patched("_intake.job_deadlines", _with_short_limit)


@_variant
def no_expected_runs() -> AbstractContextManager[Any]:
    """Trust declared run times."""
    return _patched("_tables.ExpectedRuns.expected_s", _declared)


@_variant
def no_failure_pause() -> AbstractContextManager[Any]:
    """Start on at a worker that fails what it starts."""
    return _patched("_ends.failed_target_pause_s", _no_pause)


@_variant
def no_waits() -> AbstractContextManager[Any]:
    """Take callers that waited in the accept queue for new ones."""
    return mock.patch("cassiaturn.bench._shared_play.spread_arrivals", _all_new)


@_variant
def preemption() -> AbstractContextManager[Any]:
    """Stop young runs of less urgent jobs for an urgent one that could be in time."""
    return _patched("_tick.dispatch", _preempt)


def _preempt(tables: Tables, ports: Ports, now: float) -> Lateness | None:
    left = dispatch(tables, ports, now)
    waiting = [job for job in tables.jobs_by_id.values() if job.waiting]
    urgent = min(waiting, key=lambda job: queue_key(job, now), default=None)
    stopping = sum(
        run.state is RunState.STOPPING for run in tables.runs_by_ref.values()
    )
    if urgent is None or queue_key(urgent, now).lateness or stopping >= MOST_PREEMPTED:
        return left
    young = [
        run
        for run in tables.runs_by_ref.values()
        if _may_be_preempted(tables, run, urgent, now)
    ]
    for run in sorted(young, key=lambda run: -run.started_at)[: len(urgent.waiting)]:
        stop(tables, ports, run, now)
        requeue_task(tables, run.ref)
    return left


def _may_be_preempted(tables: Tables, run: Run, urgent: Job, now: float) -> bool:
    job = tables.jobs_by_id.get(run.ref.job_id)
    if job is None or run.state is not RunState.RUNNING:
        return False
    is_young = now - run.started_at < PREEMPTED_SHARE * job.expected_run_s
    return is_young and job.route.priority > urgent.route.priority


def _by_arrival(**fields: object) -> OrderKey:
    # The queue's rows are kept in order of arrival, and sorting keeps equal ones so.
    return OrderKey(Lateness.IN_TIME, priority=0, is_new=False, due_at=0.0)


def _by_priority(
    *,
    priority: int,
    deadlines: Deadlines,
    expected_run_s: float,
    is_new: bool,
    now: float,
) -> OrderKey:
    rank = 2 * priority + (deadlines.due_at < now)
    return OrderKey(Lateness.IN_TIME, rank, is_new=False, due_at=deadlines.due_at)


def _least_loaded(
    index: TargetIndex[Target],
    group: TaskGroup,
    key: GroupKey,
    *,
    is_usable: Callable[[Target], bool],
    **options: object,
) -> Target | None:
    fitting = [
        target
        for target in index.targets
        if target.has_free(group.resources) and is_usable(target)
    ]
    return min(fitting, key=lambda target: target.used_cpu_millis, default=None)


def _declared(self: ExpectedRuns, route: str, declared_s: float) -> float:
    return declared_s


def _never(*args: object, **options: object) -> bool:
    return False


def _with_short_limit(
    route: Route, *, arrived_at: float, chain_s: float, limit_at: float
) -> Deadlines:
    return job_deadlines(
        route,
        arrived_at=arrived_at,
        chain_s=chain_s,
        limit_at=min(limit_at, arrived_at + LIMIT_S),
    )


def _none(*args: object) -> None:
    return None


def _all_new(count: int, *, opened_at: float, now: float) -> list[float]:
    return [now] * count


def _no_pause(failures_in_row: int) -> float:
    return 0.0
