"""Rows of the fair queue: classes, tenants, callers and jobs."""

from collections import deque

from cassiaturn.policy._queued_task import QueuedTask
from cassiaturn.policy._ranking import Account, Member, Ranking


class Lane:
    """Tasks of one request class."""

    __slots__ = (
        "credit_s",
        "floor",
        "latest",
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
        self.latest = 0.0

    @property
    def is_owed(self) -> bool:
        """Whether the class has earned a task ahead of higher classes."""
        return self.floor > 0.0 and self.credit_s > self.mean_run_s


class Tenant(Member):
    """A tenant within one class."""

    __slots__ = (
        "callers_by_name",
        "idle_callers",
        "lane",
        "latest",
        "name",
        "rankings_by_method",
        "virtual_now",
    )

    def __init__(self, *, lane: Lane, name: str, weight: float) -> None:
        super().__init__(account=Account(weight=weight))
        self.lane = lane
        self.name = name
        self.callers_by_name: dict[str, Caller] = {}
        self.idle_callers: deque[Caller] = deque()
        self.rankings_by_method: dict[str, Ranking[Leaf]] = {}
        self.virtual_now = 0.0
        self.latest = 0.0

    def leaf_of(self, task: QueuedTask) -> "Leaf":
        """Return the row for a task's caller and method, made if missing."""
        caller = self.callers_by_name.get(task.caller)
        if caller is None:
            caller = Caller(tenant=self, name=task.caller)
            self.callers_by_name[task.caller] = caller
        leaf = caller.leaves_by_method.get(task.method)
        if leaf is None:
            leaf = Leaf(caller=caller, method=task.method)
            caller.leaves_by_method[task.method] = leaf
            if task.method not in self.rankings_by_method:
                self.rankings_by_method[task.method] = Ranking()
        return leaf

    def sweep_callers(self) -> None:
        """Forget up to two idle callers whose past no longer matters.

        Callers come and go by the million. One that is not ahead of the
        tenant's virtual time would re-enter at that time anyway.
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

    __slots__ = ("account", "leaves_by_method", "name", "queued", "tenant")

    def __init__(self, *, tenant: Tenant, name: str) -> None:
        self.tenant = tenant
        self.name = name
        self.account = Account(weight=1.0)
        self.account.virtual_time = tenant.virtual_now
        self.leaves_by_method: dict[str, Leaf] = {}
        self.queued = 0


class Leaf(Member):
    """Jobs of one caller for one method; ranked by the caller's service."""

    __slots__ = ("caller", "jobs", "method")

    def __init__(self, *, caller: Caller, method: str) -> None:
        super().__init__(account=caller.account)
        self.caller = caller
        self.method = method
        self.jobs: Ranking[Job] = Ranking()


class Job(Member):
    """Queued tasks of one submission; its rank is a level of service."""

    __slots__ = (
        "attained_s",
        "caller",
        "charged_runs",
        "estimate_s",
        "expiry_step",
        "first_start_by",
        "lane",
        "leaf",
        "observed_s",
        "outstanding",
        "remaining",
        "submission_id",
        "tasks",
        "tenant",
    )

    def __init__(self, *, leaf: Leaf, task: QueuedTask) -> None:
        super().__init__(account=Account(weight=1.0))
        self.leaf = leaf
        self.caller = leaf.caller
        self.tenant = leaf.caller.tenant
        self.lane = leaf.caller.tenant.lane
        self.submission_id = task.key.submission_id
        self.tasks: deque[QueuedTask] = deque()
        self.estimate_s = task.expected_run_s
        self.attained_s = 0.0
        self.observed_s = 0.0
        self.charged_runs = 0
        self.remaining = task.job_remaining
        self.outstanding = 0
        self.first_start_by = task.start_by
        self.expiry_step: int | None = None

    def update_level(self, base_s: float) -> None:
        """Set the rank from the lesser of service received and service left.

        :param base_s: service of the first level, in seconds.
        """
        service_s = self.attained_s
        if service_s >= base_s:
            mean_s = self.estimate_s
            if self.charged_runs:
                mean_s = self.observed_s / self.charged_runs
            service_s = min(service_s, self.remaining * mean_s)
        level = int(service_s / base_s).bit_length() if service_s >= base_s else 0
        self.account.virtual_time = level
