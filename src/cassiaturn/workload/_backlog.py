"""Estimates how long a job waits in the queue before its first start."""

from collections.abc import Callable

from cassiaturn.sharing import queue_key
from cassiaturn.workload._tables import Job, Tables, Target, UsableCpu

USABLE_CPU_MAX_AGE_S = 0.05
"""How long a count of the usable processors stays valid, in seconds: one tick. Counting
for every submission of a burst would scan all targets each time."""


def usable_check(tables: Tables, service: str, now: float) -> Callable[[Target], bool]:
    """Return a predicate that tells whether a target may get a start now.

    A target without admission control starts every task that it is ordered to. After a
    change of leader it lists runs of jobs that no member has passed on yet, so the
    resources that they use are unknown: a start beside them may exceed the worker's
    capacity and delay everything on it. Such a target gets no start until those runs
    are known or have ended. A target with admission control refuses such a start
    itself.

    :param service: the targets' service.
    :param now: time in seconds.
    """
    checks_admission = tables.checks_admission(service)

    def is_usable(target: Target) -> bool:
        return (
            target.has_reported
            and target.target_id not in tables.unconfirmed_ids
            and not target.leaving
            and target.is_described
            and tables.may_start_on(target)
            and not target.silent
            and target.paused_until <= now
            and (checks_admission or target.usage_is_known)
        )

    return is_usable


def usable_targets(tables: Tables, service: str, now: float) -> list[Target]:
    """Return the targets of a service that may get a start now."""
    is_usable = usable_check(tables, service, now)
    return [
        target
        for target in tables.targets_by_id.values()
        if target.service == service and is_usable(target)
    ]


def backlog_s(tables: Tables, job: Job, now: float) -> float:
    """Return the expected wait before a job's first start, in seconds.

    The queued work ahead of it is divided by all processors of the service, because
    tasks are bound to targets only when they start.
    """
    queue = tables.queue_by_service.get(job.route.service)
    if not queue:
        return 0.0
    queue.advance(now)
    work_ahead_millicore_s = queue.work_ahead_millicore_s(queue_key(job, now))
    if work_ahead_millicore_s == 0.0:
        return 0.0
    cpu_millis = usable_cpu(tables, job.route.service, now).cpu_millis
    return work_ahead_millicore_s / cpu_millis if cpu_millis else 0.0


def usable_cpu(tables: Tables, service: str, now: float) -> UsableCpu:
    """Return the total CPU of a service's usable targets, cached for a tick."""
    cached = tables.usable_cpu_by_service.get(service)
    if cached is not None and now - cached.at < USABLE_CPU_MAX_AGE_S:
        return cached
    cpu_millis = sum(
        target.capacity.cpu_millis for target in usable_targets(tables, service, now)
    )
    counted = UsableCpu(cpu_millis=cpu_millis, at=now)
    tables.usable_cpu_by_service[service] = counted
    return counted
