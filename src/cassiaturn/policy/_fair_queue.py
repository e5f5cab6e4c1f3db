"""Fair queue: orders tasks by class, tenant, caller and job.

Load pattern: more tasks are queued than slots are free, from tenants and callers
with very different demand, and with long jobs among short ones. Without fair
queueing, a first come, first served queue gives the most service to whoever
submits most, and a 750-task job delays every single task behind it.

Grounds: start-time fair queueing (Goyal, Vin and Cheng, 1996) keeps two
backlogged tenants within one task's service of their weights. Jobs of a caller
are ordered by least attained service, the policy of choice when run times are
unknown and vary widely (Nuyens and Wierman, 2008).
"""

from collections.abc import Mapping, Sequence, Set

from cassiaturn.entities import RequestClass
from cassiaturn.policy._class_queues import ClassQueues
from cassiaturn.policy._expiry import ExpiryIndex
from cassiaturn.policy._queue_tables import Job, Tenant
from cassiaturn.policy._queued_task import QueuedTask
from cassiaturn.policy._selection import Fits, Selection
from cassiaturn.policy._settings import OrderSettings

_NO_TENANTS: Set[str] = frozenset()


class FairQueue:
    """Queued tasks of an instance; each pushed task leaves exactly once.

    A task leaves by :meth:`pop`, :meth:`cancel` or :meth:`expire`. A popped task
    is charged its expected run time at once, and the difference to its actual run
    time by :meth:`charge`; a start that never ran is charged 0.
    """

    def __init__(
        self, *, settings: OrderSettings, weights_by_tenant: Mapping[str, float]
    ) -> None:
        """Make an empty queue.

        :param settings: order settings.
        :param weights_by_tenant: weight of each tenant, relative to the others.
        """
        self._settings = settings
        self._weights_by_tenant = dict(weights_by_tenant)
        self._level_base_s = settings.level_base_s
        self._class_queues = ClassQueues(floor_by_class=settings.floor_by_class)
        self._selection = Selection(drop_expired=self._drop_expired)
        self._jobs_by_id: dict[str, Job] = {}
        self._expiry: ExpiryIndex[Job] = ExpiryIndex(bucket_s=settings.expiry_step_s)
        self._expired: list[QueuedTask] = []
        self._queued = 0

    def __len__(self) -> int:
        return self._queued

    def push(self, task: QueuedTask) -> None:
        """Queue a task; a restarted one goes to the front of its job."""
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
                job.method_queue.jobs.refresh(job)
        if not job.queued:
            self._activate(job)
            job.first_start_by = task.start_by
            self._expiry.schedule(job, task.start_by)
        elif task.start_by < job.first_start_by:
            job.first_start_by = task.start_by
            self._expiry.schedule(job, task.start_by)
        self._change_counts(job, 1)

    def pop(
        self,
        *,
        now: float,
        fits: Fits | None = None,
        blocked_tenants: Set[str] = _NO_TENANTS,
    ) -> QueuedTask | None:
        """Remove and return the next task.

        :param now: present time, in seconds.
        :param fits: whether a target is free for a task's method. A false result
            holds for the whole method during this call, so it must not depend on
            anything else of the task. The last call is for the returned task.
        :param blocked_tenants: tenants that may not start a task now.
        :returns: the task, or None if none may start.
        """
        job = self._find(now=now, fits=fits, blocked_tenants=blocked_tenants)
        if job is None:
            return None
        task = job.tasks.popleft()
        self._serve(job)
        self._change_counts(job, -1)
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

        :returns: the number of dropped tasks.
        """
        job = self._jobs_by_id.get(submission_id)
        if job is None or not job.queued:
            return 0
        dropped = job.queued
        job.tasks.clear()
        self._change_counts(job, -dropped)
        return dropped

    def expire(self, now: float) -> Sequence[QueuedTask]:
        """Remove and return the tasks whose start-by time has passed.

        :param now: present time, in seconds.
        """
        for job in self._expiry.due(now):
            self._drop_expired(job, now)
            if job.queued:
                job.first_start_by = min(task.start_by for task in job.tasks)
                self._expiry.schedule(job, job.first_start_by)
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
        :param run_s: time for which it held a slot, in seconds; 0: it never ran.
        """
        job = self._jobs_by_id.get(submission_id)
        if job is None or job.outstanding == 0:
            return
        job.outstanding -= 1
        if run_s > 0.0:
            job.observed_s += run_s
            job.charged_runs += 1
            job.remaining = max(job.remaining - 1, 0)
        self._charge_difference(job, run_s - job.estimate_s)
        self._drop_if_done(job)

    def forget_job(self, submission_id: str) -> None:
        """Drop a job with its queued tasks and its service record."""
        self.cancel(submission_id)
        self._jobs_by_id.pop(submission_id, None)

    def set_weights(self, weights_by_tenant: Mapping[str, float]) -> None:
        """Replace the weights of the tenants for all later service."""
        self._weights_by_tenant = dict(weights_by_tenant)
        for class_queue in self._class_queues:
            for name, tenant in class_queue.tenants_by_name.items():
                tenant.account.weight = self._weight_of(name)

    def queued_of(self, tenant: str) -> int:
        """Return the number of queued tasks of one tenant."""
        nodes = (
            class_queue.tenants_by_name.get(tenant)
            for class_queue in self._class_queues
        )
        return sum(node.queued for node in nodes if node is not None)

    def queued_by_tenant(self) -> Mapping[str, int]:
        """Return the number of queued tasks of each tenant that has any."""
        queued: dict[str, int] = {}
        for class_queue in self._class_queues:
            for name, tenant in class_queue.tenants_by_name.items():
                if tenant.queued:
                    queued[name] = queued.get(name, 0) + tenant.queued
        return queued

    def queued_by_class(self) -> Mapping[RequestClass, int]:
        """Return the number of queued tasks of each class."""
        return {
            name: class_queue.queued
            for name, class_queue in self._class_queues.queues_by_class.items()
        }

    def _find(
        self, *, now: float, fits: Fits | None, blocked_tenants: Set[str]
    ) -> Job | None:
        if not self._queued:
            return None
        selection = self._selection
        selection.begin()
        for class_queue in self._class_queues.in_service_order():
            job = selection.next_job(class_queue, now, fits, blocked_tenants)
            if job is not None:
                return job
        return None

    def _serve(self, job: Job) -> None:
        class_queue, tenant = job.class_queue, job.tenant
        service_s = job.estimate_s
        self._class_queues.serve(class_queue, service_s)
        account = tenant.account
        if account.virtual_time > class_queue.virtual_now:
            class_queue.virtual_now = account.virtual_time
        account.virtual_time += service_s / account.weight
        if account.virtual_time > class_queue.max_finish_tag:
            class_queue.max_finish_tag = account.virtual_time
        account = job.caller.account
        if account.virtual_time > tenant.virtual_now:
            tenant.virtual_now = account.virtual_time
        account.virtual_time += service_s
        if account.virtual_time > tenant.max_finish_tag:
            tenant.max_finish_tag = account.virtual_time
        job.outstanding += 1
        job.attained_s += service_s
        job.update_level(self._level_base_s)

    def _charge_difference(self, job: Job, difference_s: float) -> None:
        tenant = job.tenant
        caller = job.caller
        tenant.account.virtual_time += difference_s / tenant.account.weight
        caller.account.virtual_time += difference_s
        job.attained_s += difference_s
        job.update_level(self._level_base_s)
        if job.queued:
            job.method_queue.jobs.refresh(job)
        if difference_s >= 0.0:
            return
        # Each refund would push two heap entries. A slack of one task's service
        # avoids nearly all of them, and start-time fair queueing is no more exact
        # than that.
        slack = job.estimate_s
        if tenant.queued:
            tenant.class_queue.ranking.refresh(tenant, slack / tenant.account.weight)
        if caller.queued:
            for method_queue in caller.queues_by_method.values():
                if method_queue.queued:
                    tenant.rankings_by_method[method_queue.method].refresh(
                        method_queue, slack
                    )

    def _new_job(self, task: QueuedTask) -> Job:
        class_queue = self._class_queues.queues_by_class[task.request_class]
        tenant = class_queue.tenants_by_name.get(task.tenant)
        if tenant is None:
            weight = self._weight_of(task.tenant)
            tenant = Tenant(class_queue=class_queue, name=task.tenant, weight=weight)
            class_queue.tenants_by_name[task.tenant] = tenant
        job = Job(method_queue=tenant.method_queue_of(task), task=task)
        self._jobs_by_id[job.submission_id] = job
        return job

    def _activate(self, job: Job) -> None:
        method_queue = job.method_queue
        caller = job.caller
        tenant = job.tenant
        class_queue = job.class_queue
        if not tenant.queued:
            account = tenant.account
            account.virtual_time = max(account.virtual_time, class_queue.virtual_now)
            class_queue.ranking.refresh(tenant)
        if not caller.queued:
            account = caller.account
            account.virtual_time = max(account.virtual_time, tenant.virtual_now)
            tenant.drop_idle_callers()
            # The caller may have been dropped as idle while its job was running.
            tenant.callers_by_name[caller.name] = caller
        if not method_queue.queued:
            tenant.rankings_by_method[method_queue.method].refresh(method_queue)
        job.update_level(self._level_base_s)
        method_queue.jobs.refresh(job)

    def _change_counts(self, job: Job, tasks: int) -> None:
        caller = job.caller
        tenant = job.tenant
        class_queue = job.class_queue
        job.queued += tasks
        job.method_queue.queued += tasks
        caller.queued += tasks
        tenant.queued += tasks
        class_queue.queued += tasks
        self._queued += tasks
        if job.queued:
            return
        self._expiry.remove(job)
        self._drop_if_done(job)
        if not caller.queued:
            tenant.idle_callers.append(caller)
        if not tenant.queued:
            tenant.virtual_now = tenant.max_finish_tag
        if not class_queue.queued:
            class_queue.virtual_now = class_queue.max_finish_tag
            class_queue.credit_s = 0.0

    def _drop_expired(self, job: Job, now: float) -> None:
        tasks = job.tasks
        expired = [task for task in tasks if task.start_by <= now]
        if not expired:
            return
        self._expired.extend(expired)
        live = [task for task in tasks if task.start_by > now]
        tasks.clear()
        tasks.extend(live)
        self._change_counts(job, -len(expired))

    def _drop_if_done(self, job: Job) -> None:
        if not job.queued and job.outstanding == 0:
            self._jobs_by_id.pop(job.submission_id, None)

    def _weight_of(self, tenant: str) -> float:
        return self._weights_by_tenant.get(tenant, self._settings.default_weight)
