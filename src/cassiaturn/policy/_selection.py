"""Finds the next task to start by looking only at the first task of each queue."""

from collections.abc import Callable, Set
from typing import TypeAlias

from cassiaturn.policy._queue_tables import ClassQueue, Job, MethodQueue, Tenant
from cassiaturn.policy._queued_task import QueuedTask
from cassiaturn.policy._ranking import Entry, Ranking

Fits: TypeAlias = Callable[[QueuedTask], bool]


class Selection:
    """Finds the job whose first task is the next to start.

    Tasks of one method use the same resources, so a method without a free target
    is skipped for the rest of a search and does not block other methods.
    """

    __slots__ = ("_drop_expired", "_has_credit", "_unfit_methods")

    def __init__(self, *, drop_expired: Callable[[Job, float], None]) -> None:
        self._drop_expired = drop_expired
        self._unfit_methods: set[str] = set()
        self._has_credit = False

    def begin(self) -> None:
        """Start a new search."""
        if self._unfit_methods:
            self._unfit_methods.clear()

    def next_job(
        self,
        class_queue: ClassQueue,
        now: float,
        fits: Fits | None,
        blocked_tenants: Set[str],
    ) -> Job | None:
        """Return the next job of a class whose first task fits, or None.

        :param class_queue: queue of the class.
        :param now: present time, in seconds.
        :param fits: whether a target is free for a task; None: always.
        :param blocked_tenants: tenants that may not start a task now.
        """
        skipped: list[Entry[Tenant]] = []
        found: Job | None = None
        ranking = class_queue.ranking
        self._has_credit = class_queue.has_credit
        while (tenant := ranking.first()) is not None:
            if tenant.name not in blocked_tenants:
                found = self._fitting_job(tenant, now, fits)
                if found is not None:
                    break
            if tenant.queued:
                skipped.append(ranking.take_first())
        for entry in skipped:
            ranking.put_back(entry)
        return found

    def _fitting_job(self, tenant: Tenant, now: float, fits: Fits | None) -> Job | None:
        while (method_queue := self._first_method_queue(tenant)) is not None:
            job = method_queue.jobs.first()
            if job is None:
                continue
            task = job.tasks[0]
            if self._has_credit:
                task.may_use_spare = True
            if task.start_by <= now:
                self._drop_expired(job, now)
            elif fits is None or fits(task):
                return job
            else:
                self._unfit_methods.add(method_queue.method)
        return None

    def _first_method_queue(self, tenant: Tenant) -> MethodQueue | None:
        best: MethodQueue | None = None
        ranking: Ranking[MethodQueue]
        for method, ranking in tenant.rankings_by_method.items():
            if method in self._unfit_methods:
                continue
            method_queue = ranking.first()
            if method_queue is None:
                continue
            if (
                best is None
                or method_queue.account.virtual_time < best.account.virtual_time
            ):
                best = method_queue
        return best
