"""Order of queued tasks: class, tenant, caller, job.

Load pattern: more work is queued than slots are free, from tenants and callers
of very different appetite, with long jobs among short ones. Without it a first
come, first served queue gives whoever submits most the most service, and a
750-task job delays every single task behind it.

Grounds: start-time fair queueing (Goyal, Vin and Cheng, 1996) keeps two
backlogged tenants within one task's service of their weights; least attained
service is the policy of choice when run times are unknown and vary widely
(Nuyens and Wierman, 2008).
"""

from collections.abc import Mapping, Sequence, Set

from cassiaturn.entities import RequestClass
from cassiaturn.policy._expiry import ExpiryIndex
from cassiaturn.policy._lanes import Lanes
from cassiaturn.policy._queue_tables import Job, Tenant
from cassiaturn.policy._queued_task import QueuedTask
from cassiaturn.policy._selection import Fits, Selection
from cassiaturn.policy._settings import OrderSettings

_NO_TENANTS: Set[str] = frozenset()


class FairQueue:
    """Queued tasks of an instance; each pushed task leaves exactly once.

    A task leaves by :meth:`pop`, :meth:`cancel` or :meth:`expire`. A popped task
    is charged its expected run time at once and the difference when
    :meth:`charge` tells what it took; a start that never ran is charged 0.
    """

    def __init__(
        self, *, settings: OrderSettings, weights_by_tenant: Mapping[str, float]
    ) -> None:
        """Make an empty queue.

        :param settings: the tunables.
        :param weights_by_tenant: share of each tenant, relative to the others.
        """
        self._settings = settings
        self._weights_by_tenant = dict(weights_by_tenant)
        self._level_base_s = settings.level_base_s
        self._lanes = Lanes(floor_by_class=settings.floor_by_class)
        self._selection = Selection(drop_expired=self._drop_expired)
        self._jobs_by_id: dict[str, Job] = {}
        self._expiry: ExpiryIndex[Job] = ExpiryIndex(step_s=settings.expiry_step_s)
        self._expired: list[QueuedTask] = []
        self._queued = 0

    def __len__(self) -> int:
        return self._queued

    def push(self, task: QueuedTask) -> None:
        """Queue a task; one that was started before goes ahead in its job."""
        job = self._jobs_by_id.get(task.key.submission_id)
        if job is None:
            job = self._new_job(task)
        if task.attempt:
            job.tasks.appendleft(task)
        else:
            job.tasks.append(task)
        if task.job_remaining < job.remaining:
            job.remaining = task.job_remaining
            job.update_level(self._level_base_s)
            if job.queued:
                job.leaf.jobs.refresh(job)
        if not job.queued:
            self._activate(job)
            job.first_start_by = task.start_by
            self._expiry.file(job, task.start_by)
        elif task.start_by < job.first_start_by:
            job.first_start_by = task.start_by
            self._expiry.file(job, task.start_by)
        self._add(job, 1)

    def pop(
        self,
        *,
        now: float,
        fits: Fits | None = None,
        blocked_tenants: Set[str] = _NO_TENANTS,
    ) -> QueuedTask | None:
        """Remove and return the next task.

        :param now: present time, in seconds.
        :param fits: whether a target is free for a task's method. One refusal
            stands for the method, so it must not depend on more of the task; the
            last call is the one for the task returned.
        :param blocked_tenants: tenants that may start nothing now.
        :returns: the task, or None if none may start.
        """
        job = self._find(now=now, fits=fits, blocked_tenants=blocked_tenants)
        if job is None:
            return None
        task = job.tasks.popleft()
        self._serve(job)
        self._add(job, -1)
        return task

    def peek(
        self,
        *,
        now: float,
        fits: Fits | None = None,
        blocked_tenants: Set[str] = _NO_TENANTS,
    ) -> QueuedTask | None:
        """Return the task that :meth:`pop` would, without removing it."""
        job = self._find(now=now, fits=fits, blocked_tenants=blocked_tenants)
        return job.tasks[0] if job is not None else None

    def cancel(self, submission_id: str) -> int:
        """Drop the queued tasks of a job, in constant time.

        :returns: how many were queued.
        """
        job = self._jobs_by_id.get(submission_id)
        if job is None or not job.queued:
            return 0
        dropped = job.queued
        job.tasks.clear()
        self._add(job, -dropped)
        return dropped

    def expire(self, now: float) -> Sequence[QueuedTask]:
        """Remove and return the tasks whose start-by time has passed.

        :param now: present time, in seconds.
        """
        for job in self._expiry.due(now):
            self._drop_expired(job, now)
            if job.queued:
                job.first_start_by = min(task.start_by for task in job.tasks)
                self._expiry.file(job, job.first_start_by)
        expired = self._expired
        self._expired = []
        return expired

    def charge(
        self, *, tenant: str, caller: str, submission_id: str, run_s: float
    ) -> None:
        """Replace the expected run time of a popped task by the observed one.

        :param tenant: tenant of the task.
        :param caller: caller of the task.
        :param submission_id: job of the task.
        :param run_s: time it held a slot, in seconds; 0: it never began.
        """
        job = self._jobs_by_id.get(submission_id)
        if job is None or job.outstanding == 0:
            return
        job.outstanding -= 1
        if run_s > 0.0:
            job.observed_s += run_s
            job.charged_runs += 1
            job.remaining = max(job.remaining - 1, 0)
        self._correct(job, run_s - job.estimate_s)
        self._drop_if_over(job)

    def forget_job(self, submission_id: str) -> None:
        """Drop a job and what is known of it; its queued tasks are cancelled."""
        self.cancel(submission_id)
        self._jobs_by_id.pop(submission_id, None)

    def set_weights(self, weights_by_tenant: Mapping[str, float]) -> None:
        """Put new shares in force for all later service."""
        self._weights_by_tenant = dict(weights_by_tenant)
        for lane in self._lanes:
            for name, tenant in lane.tenants_by_name.items():
                tenant.account.weight = self._weight_of(name)

    def queued_of(self, tenant: str) -> int:
        """Return the queued tasks of one tenant."""
        rows = (lane.tenants_by_name.get(tenant) for lane in self._lanes)
        return sum(row.queued for row in rows if row is not None)

    def queued_by_tenant(self) -> Mapping[str, int]:
        """Return the queued tasks of each tenant that has any."""
        queued: dict[str, int] = {}
        for lane in self._lanes:
            for name, tenant in lane.tenants_by_name.items():
                if tenant.queued:
                    queued[name] = queued.get(name, 0) + tenant.queued
        return queued

    def queued_by_class(self) -> Mapping[RequestClass, int]:
        """Return the queued tasks of each class."""
        return {name: lane.queued for name, lane in self._lanes.lanes_by_class.items()}

    def _find(
        self, *, now: float, fits: Fits | None, blocked_tenants: Set[str]
    ) -> Job | None:
        if not self._queued:
            return None
        selection = self._selection
        selection.begin()
        for lane in self._lanes.in_turn():
            job = selection.first_of(lane, now, fits, blocked_tenants)
            if job is not None:
                return job
        return None

    def _serve(self, job: Job) -> None:
        lane, tenant = job.lane, job.tenant
        service_s = job.estimate_s
        self._lanes.serve(lane, service_s)
        account = tenant.account
        if account.virtual_time > lane.virtual_now:
            lane.virtual_now = account.virtual_time
        account.virtual_time += service_s / account.weight
        if account.virtual_time > lane.latest:
            lane.latest = account.virtual_time
        account = job.caller.account
        if account.virtual_time > tenant.virtual_now:
            tenant.virtual_now = account.virtual_time
        account.virtual_time += service_s
        if account.virtual_time > tenant.latest:
            tenant.latest = account.virtual_time
        job.outstanding += 1
        job.attained_s += service_s
        job.update_level(self._level_base_s)

    def _correct(self, job: Job, difference_s: float) -> None:
        tenant = job.tenant
        caller = job.caller
        tenant.account.virtual_time += difference_s / tenant.account.weight
        caller.account.virtual_time += difference_s
        job.attained_s += difference_s
        job.update_level(self._level_base_s)
        if job.queued:
            job.leaf.jobs.refresh(job)
        if difference_s >= 0.0:
            return
        # Each refund would cost two heap entries. One task's service of slack
        # saves nearly all of them, and start-time fair queueing is no more
        # exact than that.
        slack = job.estimate_s
        if tenant.queued:
            tenant.lane.ranking.refresh(tenant, slack / tenant.account.weight)
        if caller.queued:
            for leaf in caller.leaves_by_method.values():
                if leaf.queued:
                    tenant.rankings_by_method[leaf.method].refresh(leaf, slack)

    def _new_job(self, task: QueuedTask) -> Job:
        lane = self._lanes.lanes_by_class[task.request_class]
        tenant = lane.tenants_by_name.get(task.tenant)
        if tenant is None:
            weight = self._weight_of(task.tenant)
            tenant = Tenant(lane=lane, name=task.tenant, weight=weight)
            lane.tenants_by_name[task.tenant] = tenant
        job = Job(leaf=tenant.leaf_of(task), task=task)
        self._jobs_by_id[job.submission_id] = job
        return job

    def _activate(self, job: Job) -> None:
        leaf = job.leaf
        caller = job.caller
        tenant = job.tenant
        lane = job.lane
        if not tenant.queued:
            account = tenant.account
            account.virtual_time = max(account.virtual_time, lane.virtual_now)
            lane.ranking.refresh(tenant)
        if not caller.queued:
            account = caller.account
            account.virtual_time = max(account.virtual_time, tenant.virtual_now)
            tenant.sweep_callers()
            # The row may have been swept while its job was still running.
            tenant.callers_by_name[caller.name] = caller
        if not leaf.queued:
            tenant.rankings_by_method[leaf.method].refresh(leaf)
        job.update_level(self._level_base_s)
        leaf.jobs.refresh(job)

    def _add(self, job: Job, tasks: int) -> None:
        caller = job.caller
        tenant = job.tenant
        lane = job.lane
        job.queued += tasks
        job.leaf.queued += tasks
        caller.queued += tasks
        tenant.queued += tasks
        lane.queued += tasks
        self._queued += tasks
        if job.queued:
            return
        self._expiry.remove(job)
        self._drop_if_over(job)
        if not caller.queued:
            tenant.idle_callers.append(caller)
        if not tenant.queued:
            tenant.virtual_now = tenant.latest
        if not lane.queued:
            lane.virtual_now = lane.latest
            lane.credit_s = 0.0

    def _drop_expired(self, job: Job, now: float) -> None:
        tasks = job.tasks
        expired = [task for task in tasks if task.start_by <= now]
        if not expired:
            return
        self._expired.extend(expired)
        live = [task for task in tasks if task.start_by > now]
        tasks.clear()
        tasks.extend(live)
        self._add(job, -len(expired))

    def _drop_if_over(self, job: Job) -> None:
        if not job.queued and job.outstanding == 0:
            self._jobs_by_id.pop(job.submission_id, None)

    def _weight_of(self, tenant: str) -> float:
        return self._weights_by_tenant.get(tenant, self._settings.default_weight)
