"""Search for the next task among heads, never through the queue."""

from collections.abc import Callable, Set
from typing import TypeAlias

from cassiaturn.policy._queue_tables import Head, Job, Lane, Leaf, Tenant
from cassiaturn.policy._queued_task import QueuedTask

Fits: TypeAlias = Callable[[QueuedTask], bool]


class Selection:
    """One search; asks ``fits`` once a method.

    Tasks of one method take the same resources, so one answer serves them all
    and a method that finds no target cannot hide the others behind it.
    """

    __slots__ = ("_blocked_tenants", "_drop_expired", "_fits", "_fits_by_method")

    def __init__(
        self,
        *,
        fits: Fits | None,
        blocked_tenants: Set[str],
        drop_expired: Callable[[Job], None],
    ) -> None:
        self._fits = fits
        self._blocked_tenants = blocked_tenants
        self._drop_expired = drop_expired
        self._fits_by_method: dict[str, bool] = {}

    def head_of(self, lane: Lane, now: float) -> Head | None:
        """Return the first task of a class that fits, or None."""
        aside: list[Tenant] = []
        head: Head | None = None
        while head is None:
            tenant = lane.ranking.first()
            if tenant is None:
                break
            job = self._job_of(tenant, now)
            if job is not None:
                head = Head(lane, tenant, job)
            elif tenant.queued:
                lane.ranking.set_aside()
                aside.append(tenant)
        for tenant in aside:
            lane.ranking.refresh(tenant)
        return head

    def _job_of(self, tenant: Tenant, now: float) -> Job | None:
        if tenant.name in self._blocked_tenants:
            return None
        best: Job | None = None
        best_time = 0.0
        for method, ranking in tenant.rankings_by_method.items():
            if self._fits_by_method.get(method) is False:
                continue
            while (leaf := ranking.first()) is not None:
                job = self._live_job(leaf, now)
                if job is not None:
                    break
            if leaf is None or job is None:
                continue
            time = leaf.account.virtual_time
            if (best is None or time < best_time) and self._admits(job):
                best = job
                best_time = time
        return best

    def _live_job(self, leaf: Leaf, now: float) -> Job | None:
        while (job := leaf.jobs.first()) is not None:
            if job.tasks[0].start_by > now:
                return job
            self._drop_expired(job)
        return None

    def _admits(self, job: Job) -> bool:
        if self._fits is None:
            return True
        method = job.leaf.method
        verdict = self._fits_by_method.get(method)
        if verdict is None:
            verdict = self._fits(job.tasks[0])
            self._fits_by_method[method] = verdict
        return verdict
