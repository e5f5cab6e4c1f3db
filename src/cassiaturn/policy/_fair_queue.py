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
from cassiaturn.policy._queue_tables import Head, Job, Lane, Tenant
from cassiaturn.policy._queued_task import QueuedTask
from cassiaturn.policy._selection import Fits, Selection
from cassiaturn.policy._settings import OrderSettings

_NO_TENANTS: Set[str] = frozenset()
_MEAN_RATE = 0.05
"""Weight of one popped task in the mean run time of its class."""


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
        self._lanes_by_class = {
            request_class: Lane(floor=settings.floor_by_class.get(request_class, 0.0))
            for request_class in RequestClass
        }
        self._lanes = list(self._lanes_by_class.values())
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
        job.remaining = task.job_remaining
        if not job.queued:
            self._activate(job)
        self._add(job, 1)
        self._expiry.file(job, task.start_by)

    def pop(
        self,
        *,
        now: float,
        fits: Fits | None = None,
        blocked_tenants: Set[str] = _NO_TENANTS,
    ) -> QueuedTask | None:
        """Remove and return the next task.

        :param now: present time, in seconds.
        :param fits: whether a target is free for a task; asked once a method.
        :param blocked_tenants: tenants that may start nothing now.
        :returns: the task, or None if none may start.
        """
        head = self._find(now=now, fits=fits, blocked_tenants=blocked_tenants)
        if head is None:
            return None
        job = head.job
        task = job.tasks.popleft()
        self._account_for(head)
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
        head = self._find(now=now, fits=fits, blocked_tenants=blocked_tenants)
        return head.job.tasks[0] if head is not None else None

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
                self._expiry.file(job, min(task.start_by for task in job.tasks))
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
        job.attained_s += run_s - job.estimate_s
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
        return {name: lane.queued for name, lane in self._lanes_by_class.items()}

    def _find(
        self, *, now: float, fits: Fits | None, blocked_tenants: Set[str]
    ) -> Head | None:
        if not self._queued:
            return None
        selection = Selection(
            fits=fits,
            blocked_tenants=blocked_tenants,
            drop_expired=lambda job: self._drop_expired(job, now),
        )
        favoured = self._favoured_lane()
        if favoured is not None:
            head = selection.head_of(favoured, now)
            if head is not None:
                return head
        for lane in self._lanes:
            if lane.queued and lane is not favoured:
                head = selection.head_of(lane, now)
                if head is not None:
                    return head
        return None

    def _favoured_lane(self) -> Lane | None:
        # Strict priority would starve normal work for as long as urgent work
        # fills the slots. A lower class earns a floor of what higher ones get,
        # and is served once that pays for one of its tasks.
        for lane in reversed(self._lanes):
            if lane.queued and lane.floor and lane.credit_s > lane.mean_run_s:
                return lane
        return None

    def _account_for(self, head: Head) -> None:
        lane, tenant, job = head.lane, head.tenant, head.job
        estimate_s = job.estimate_s
        self._share_credit(lane, estimate_s)
        lane.virtual_now = max(lane.virtual_now, tenant.account.virtual_time)
        tenant.account.virtual_time += estimate_s / tenant.account.weight
        lane.latest = max(lane.latest, tenant.account.virtual_time)
        caller = job.leaf.caller.account
        tenant.virtual_now = max(tenant.virtual_now, caller.virtual_time)
        caller.virtual_time += estimate_s
        tenant.latest = max(tenant.latest, caller.virtual_time)
        job.outstanding += 1
        job.attained_s += estimate_s
        job.update_level(self._settings.level_base_s)

    def _share_credit(self, served: Lane, service_s: float) -> None:
        served.mean_run_s += _MEAN_RATE * (service_s - served.mean_run_s)
        is_lower = False
        is_behind_queue = False
        for lane in self._lanes:
            if lane is served:
                is_lower = True
                if is_behind_queue:
                    lane.credit_s -= service_s
            elif is_lower:
                if lane.queued:
                    lane.credit_s += lane.floor * service_s
            elif lane.queued:
                is_behind_queue = True

    def _correct(self, job: Job, difference_s: float) -> None:
        caller = job.leaf.caller
        tenant = caller.tenant
        tenant.account.virtual_time += difference_s / tenant.account.weight
        caller.account.virtual_time += difference_s
        level = job.account.virtual_time
        job.update_level(self._settings.level_base_s)
        if difference_s < 0.0:
            if tenant.queued:
                tenant.lane.ranking.refresh(tenant)
            for leaf in caller.leaves_by_method.values():
                if leaf.queued:
                    tenant.rankings_by_method[leaf.method].refresh(leaf)
        if job.queued and job.account.virtual_time < level:
            job.leaf.jobs.refresh(job)

    def _new_job(self, task: QueuedTask) -> Job:
        lane = self._lanes_by_class[task.request_class]
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
        caller = leaf.caller
        tenant = caller.tenant
        lane = tenant.lane
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
        job.update_level(self._settings.level_base_s)
        leaf.jobs.refresh(job)

    def _add(self, job: Job, tasks: int) -> None:
        leaf = job.leaf
        caller = leaf.caller
        tenant = caller.tenant
        lane = tenant.lane
        job.queued += tasks
        leaf.queued += tasks
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
