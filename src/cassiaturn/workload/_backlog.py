"""How long a job waits for room behind what is queued before it."""

from collections.abc import Callable

from cassiaturn.sharing import OrderKey, order_key
from cassiaturn.workload._tables import Job, Tables, Target


def usable_check(tables: Tables, service: str, now: float) -> Callable[[Target], bool]:
    """Return a check whether a target of a service may get a start now.

    A target that checks nothing starts whatever it is told to. After a change of leader
    it lists runs of jobs that nobody has passed on yet, so that what they take is not
    known: a start beside them may bring the worker over its capacity, and everything
    on it is late. It gets none until they are known or over; a target that checks
    refuses such a start itself.
    """
    checks_room = tables.checks_room(service)

    def is_usable(target: Target) -> bool:
        return (
            target.heard
            and not target.leaving
            and not target.silent
            and target.paused_until <= now
            and (checks_room or target.room_is_known)
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
    own_key = queue_key(job, now)
    ahead = 0.0
    for other in tables.jobs_by_id.values():
        if not other.waiting or other.route.service != job.route.service:
            continue
        if queue_key(other, now) <= own_key:
            ahead += other.expected_run_s * sum(
                task.group.resources.cpu_millis for task in other.waiting
            )
    if ahead == 0.0:
        return 0.0
    cpu_millis = sum(
        target.capacity.cpu_millis
        for target in usable_targets(tables, job.route.service, now)
    )
    return ahead / cpu_millis if cpu_millis else 0.0


def queue_key(job: Job, now: float) -> OrderKey:
    """Return a job's place in the queue."""
    return order_key(
        priority=job.route.priority,
        deadlines=job.deadlines,
        expected_run_s=job.expected_run_s,
        is_new=len(job.waiting) == len(job.tasks_by_ref),
        now=now,
    )
