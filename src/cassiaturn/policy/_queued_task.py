"""The entry of a task in the queue."""

from dataclasses import dataclass

from cassiaturn.entities import RequestClass, Resources, TaskKey


@dataclass(slots=True, kw_only=True, eq=False)
class QueuedTask:
    """One task in an instance's queue; the instance may increment ``attempt``."""

    key: TaskKey
    """Submission of the task and its index there."""

    tenant: str
    """Tenant that is charged for its service."""

    caller: str
    """Caller within the tenant."""

    request_class: RequestClass
    """Priority class."""

    method: str
    """Full method name; tasks of one method take the same resources."""

    resources: Resources
    """Resources that it uses on a worker."""

    enqueued_at: float
    """When it was queued, in seconds."""

    start_by: float
    """Start deadline, in seconds; the task is expired from this time on."""

    job_remaining: int
    """Number of tasks of the job that have no result yet."""

    attempt: int = 0
    """Number of earlier starts of this task."""

    repeatable: bool
    """Whether it may run again after a run has ended."""

    may_use_spare: bool = False
    """Whether it may use slots reserved for higher classes, because its class has
    credit for service or no peer had a free slot for it."""

    expected_run_s: float
    """Expected run time, in seconds; learned if runs were observed."""
