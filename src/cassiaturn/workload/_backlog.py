"""How long a job waits for room behind what is queued before it."""

from collections.abc import Callable

from cassiaturn.sharing import queue_key
from cassiaturn.workload._tables import Job, Tables, Target, UsableCpu

USABLE_CPU_MAX_AGE_S = 0.05
"""How long a count of the usable processors holds, in seconds: a tick. Counted anew
for each submission of a burst, it costs a look at every target."""


def usable_check(tables: Tables, service: str, now: float) -> Callable[[Target], bool]:
    """Return a check whether a target of a service may get a start now.

    A target that checks nothing starts whatever it is told to. After a change of leader
    it lists runs of jobs that nobody has passed on yet, so that what they take is not
    known: a start beside them may bring the worker over its capacity, and everything
    on it is late. It gets none until they are known or over; a target that checks
    refuses such a start itself.
    """
    checks_admission = tables.checks_admission(service)

    def is_usable(target: Target) -> bool:
        return (
            target.has_reported
            and not target.leaving
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
    """Return the expected wait of a job's first start, in seconds.

    The queued work ahead of it is spread over all processors of the service, as
    late binding does.
    """
    queue = tables.queue_by_service.get(job.route.service)
    if not queue:
        return 0.0
    queue.advance(now)
    ahead = queue.work_ahead_s(queue_key(job, now))
    if ahead == 0.0:
        return 0.0
    cpu_millis = usable_cpu(tables, job.route.service, now).cpu_millis
    return ahead / cpu_millis if cpu_millis else 0.0


def usable_cpu(tables: Tables, service: str, now: float) -> UsableCpu:
    """Return what the usable targets of a service have in all, as of lately."""
    known = tables.usable_cpu_by_service.get(service)
    if known is not None and now - known.at < USABLE_CPU_MAX_AGE_S:
        return known
    cpu_millis = sum(
        target.capacity.cpu_millis for target in usable_targets(tables, service, now)
    )
    counted = UsableCpu(cpu_millis=cpu_millis, at=now)
    tables.usable_cpu_by_service[service] = counted
    return counted
