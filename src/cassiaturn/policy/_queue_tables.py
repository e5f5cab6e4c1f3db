"""Nodes of the fair queue: classes, tenants, callers, methods and jobs."""

from collections import deque

from cassiaturn.policy._queued_task import QueuedTask
from cassiaturn.policy._ranking import Account, Member, Ranking


class ClassQueue:
    """Queued tasks of one request class, with its credit as a deficit counter."""

    __slots__ = (
        "credit_s",
        "floor",
        "max_finish_tag",
        "mean_run_s",
        "queued",
        "ranking",
        "tenants_by_name",
        "virtual_now",
    )

    def __init__(self, *, floor: float) -> None:
        self.floor = floor
        self.credit_s = 0.0
        self.mean_run_s = 0.0
        self.queued = 0
        self.ranking: Ranking[Tenant] = Ranking()
        self.tenants_by_name: dict[str, Tenant] = {}
        self.virtual_now = 0.0
        self.max_finish_tag = 0.0

    @property
    def has_credit(self) -> bool:
        """Whether the class has earned a task ahead of higher classes."""
        return self.floor > 0.0 and self.credit_s > self.mean_run_s


class Tenant(Member):
    """A tenant within one class."""

    __slots__ = (
        "callers_by_name",
        "class_queue",
        "idle_callers",
        "max_finish_tag",
        "name",
        "rankings_by_method",
        "virtual_now",
    )

    def __init__(self, *, class_queue: ClassQueue, name: str, weight: float) -> None:
        super().__init__(account=Account(weight=weight))
        self.class_queue = class_queue
        self.name = name
        self.callers_by_name: dict[str, Caller] = {}
        self.idle_callers: deque[Caller] = deque()
        self.rankings_by_method: dict[str, Ranking[MethodQueue]] = {}
        self.virtual_now = 0.0
        self.max_finish_tag = 0.0

    def method_queue_of(self, task: QueuedTask) -> "MethodQueue":
        """Return the queue for a task's caller and method, created if missing."""
        caller = self.callers_by_name.get(task.caller)
        if caller is None:
            caller = Caller(tenant=self, name=task.caller)
            self.callers_by_name[task.caller] = caller
        method_queue = caller.queues_by_method.get(task.method)
        if method_queue is None:
            method_queue = MethodQueue(caller=caller, method=task.method)
            caller.queues_by_method[task.method] = method_queue
            if task.method not in self.rankings_by_method:
                self.rankings_by_method[task.method] = Ranking()
        return method_queue

    def drop_idle_callers(self) -> None:
        """Drop up to two idle callers whose service record has no effect any more.

        Millions of callers come and go. One that is not ahead of the tenant's
        virtual time would re-enter at that time anyway.
        """
        for _ in range(min(2, len(self.idle_callers))):
            caller = self.idle_callers.popleft()
            if caller.queued or self.callers_by_name.get(caller.name) is not caller:
                continue
            if caller.account.virtual_time <= self.virtual_now:
                del self.callers_by_name[caller.name]
            else:
                self.idle_callers.append(caller)


class Caller:
    """A caller of a tenant within one class."""

    __slots__ = ("account", "name", "queued", "queues_by_method", "tenant")

    def __init__(self, *, tenant: Tenant, name: str) -> None:
        self.tenant = tenant
        self.name = name
        self.account = Account(weight=1.0)
        self.account.virtual_time = tenant.virtual_now
        self.queues_by_method: dict[str, MethodQueue] = {}
        self.queued = 0


class MethodQueue(Member):
    """Jobs of one caller for one method; ranked by the caller's virtual time."""

    __slots__ = ("caller", "jobs", "method")

    def __init__(self, *, caller: Caller, method: str) -> None:
        super().__init__(account=caller.account)
        self.caller = caller
        self.method = method
        self.jobs: Ranking[Job] = Ranking()


class Job(Member):
    """Queued tasks of one submission; ranked by its service level."""

    __slots__ = (
        "attained_s",
        "caller",
        "charged_runs",
        "class_queue",
        "estimate_s",
        "expiry_bucket",
        "first_start_by",
        "method_queue",
        "observed_s",
        "outstanding",
        "remaining",
        "submission_id",
        "tasks",
        "tenant",
    )

    def __init__(self, *, method_queue: MethodQueue, task: QueuedTask) -> None:
        super().__init__(account=Account(weight=1.0))
        self.method_queue = method_queue
        self.caller = method_queue.caller
        self.tenant = method_queue.caller.tenant
        self.class_queue = method_queue.caller.tenant.class_queue
        self.submission_id = task.key.submission_id
        self.tasks: deque[QueuedTask] = deque()
        self.estimate_s = task.expected_run_s
        self.attained_s = 0.0
        self.observed_s = 0.0
        self.charged_runs = 0
        self.remaining = task.job_remaining
        self.outstanding = 0
        self.first_start_by = task.start_by
        self.expiry_bucket: int | None = None

    def update_level(self, base_s: float) -> None:
        """Set the level from the lesser of attained and remaining service.

        Each further level covers twice the service of the one before. Jobs of the
        lowest level are served first, so the level is stored as the virtual time.

        :param base_s: service covered by the first level, in seconds.
        """
        service_s = self.attained_s
        if service_s >= base_s:
            mean_s = self.estimate_s
            if self.charged_runs:
                mean_s = self.observed_s / self.charged_runs
            service_s = min(service_s, self.remaining * mean_s)
        level = int(service_s / base_s).bit_length() if service_s >= base_s else 0
        self.account.virtual_time = level
