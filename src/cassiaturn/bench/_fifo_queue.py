"""Tasks in order of arrival, in the place of the fair queue."""

from collections import Counter, deque
from collections.abc import Mapping, Sequence, Set

from cassiaturn.entities import RequestClass
from cassiaturn.policy import QueuedTask
from cassiaturn.policy._selection import Fits


class FifoQueue:
    """What :class:`FairQueue` does, without its order; use it for ablations."""

    def __init__(self) -> None:
        self._tasks: deque[QueuedTask] = deque()
        self._live: set[QueuedTask] = set()
        self._tasks_by_job: dict[str, set[QueuedTask]] = {}
        self._queued_by_class: Counter[RequestClass] = Counter()
        self._queued_by_tenant: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._live)

    def push(self, task: QueuedTask) -> None:
        """Queue a task behind all others."""
        self._tasks.append(task)
        self._live.add(task)
        self._tasks_by_job.setdefault(task.key.submission_id, set()).add(task)
        self._queued_by_class[task.request_class] += 1
        self._queued_by_tenant[task.tenant] += 1

    def pop(
        self,
        *,
        now: float,
        fits: Fits | None = None,
        blocked_tenants: Set[str] = frozenset(),
    ) -> QueuedTask | None:
        """Remove and return the oldest task if it fits."""
        task = self.peek(now=now, fits=fits)
        if task is not None:
            self._drop(task)
        return task

    def peek(
        self,
        *,
        now: float,
        fits: Fits | None = None,
        blocked_tenants: Set[str] = frozenset(),
    ) -> QueuedTask | None:
        """Return the oldest task if it fits."""
        while self._tasks and self._tasks[0] not in self._live:
            self._tasks.popleft()
        if not self._tasks:
            return None
        task = self._tasks[0]
        return task if fits is None or fits(task) else None

    def expire(self, now: float) -> Sequence[QueuedTask]:
        """Remove and return the tasks whose start-by time has passed."""
        expired = [task for task in self._live if task.start_by <= now]
        for task in expired:
            self._drop(task)
        return sorted(expired, key=lambda task: task.key)

    def charge(
        self, *, tenant: str, caller: str, submission_id: str, run_s: float
    ) -> None:
        """Do nothing: arrival alone decides."""

    def forget_job(self, submission_id: str) -> None:
        """Drop the tasks of a job."""
        for task in list(self._tasks_by_job.get(submission_id, ())):
            self._drop(task)

    def queued_of(self, tenant: str) -> int:
        """Return the queued tasks of one tenant."""
        return self._queued_by_tenant[tenant]

    def queued_by_class(self) -> Mapping[RequestClass, int]:
        """Return the queued tasks of each class."""
        return self._queued_by_class

    def _drop(self, task: QueuedTask) -> None:
        self._live.discard(task)
        of_job = self._tasks_by_job[task.key.submission_id]
        of_job.discard(task)
        if not of_job:
            del self._tasks_by_job[task.key.submission_id]
        self._queued_by_class[task.request_class] -= 1
        self._queued_by_tenant[task.tenant] -= 1
