"""Search for the next task among heads, never through the queue."""

from collections.abc import Callable, Set
from typing import TypeAlias

from cassiaturn.policy._queue_tables import Job, Lane, Leaf, Tenant
from cassiaturn.policy._queued_task import QueuedTask
from cassiaturn.policy._ranking import Entry, Ranking

Fits: TypeAlias = Callable[[QueuedTask], bool]


class Selection:
    """Finds the job whose first task goes next.

    A method that does not fit is not asked about again in one search. Tasks of
    one method take the same resources, so one refusal stands for them all, and
    a method that finds no target cannot hide the others behind it.
    """

    __slots__ = ("_drop_expired", "_is_owed", "_unfit_methods")

    def __init__(self, *, drop_expired: Callable[[Job, float], None]) -> None:
        self._drop_expired = drop_expired
        self._unfit_methods: set[str] = set()
        self._is_owed = False

    def begin(self) -> None:
        """Start a new search."""
        if self._unfit_methods:
            self._unfit_methods.clear()

    def first_of(
        self, lane: Lane, now: float, fits: Fits | None, blocked_tenants: Set[str]
    ) -> Job | None:
        """Return the job of a class whose first task goes next and fits."""
        aside: list[Entry[Tenant]] = []
        found: Job | None = None
        ranking = lane.ranking
        self._is_owed = lane.is_owed
        while (tenant := ranking.first()) is not None:
            if tenant.name not in blocked_tenants:
                found = self._fitting_job(tenant, now, fits)
                if found is not None:
                    break
            if tenant.queued:
                aside.append(ranking.set_aside())
        for entry in aside:
            ranking.put_back(entry)
        return found

    def _fitting_job(self, tenant: Tenant, now: float, fits: Fits | None) -> Job | None:
        while (leaf := self._first_leaf(tenant)) is not None:
            job = leaf.jobs.first()
            if job is None:
                continue
            task = job.tasks[0]
            if self._is_owed:
                task.may_use_spare = True
            if task.start_by <= now:
                self._drop_expired(job, now)
            elif fits is None or fits(task):
                return job
            else:
                self._unfit_methods.add(leaf.method)
        return None

    def _first_leaf(self, tenant: Tenant) -> Leaf | None:
        best: Leaf | None = None
        ranking: Ranking[Leaf]
        for method, ranking in tenant.rankings_by_method.items():
            if method in self._unfit_methods:
                continue
            leaf = ranking.first()
            if leaf is None:
                continue
            if best is None or leaf.account.virtual_time < best.account.virtual_time:
                best = leaf
        return best
