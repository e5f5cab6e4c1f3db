"""A task that waits for a target."""

from dataclasses import dataclass

from cassiaturn.entities import RequestClass, Resources, TaskKey


@dataclass(slots=True, kw_only=True, eq=False)
class QueuedTask:
    """One task in an instance's queue; its holder may raise ``attempt``."""

    key: TaskKey
    """Which task of which submission."""

    tenant: str
    """Tenant that is charged."""

    caller: str
    """Caller within the tenant."""

    request_class: RequestClass
    """How soon it matters."""

    method: str
    """Full method name; tasks of one method take the same resources."""

    resources: Resources
    """What it takes of a worker."""

    enqueued_at: float
    """When it was queued, in seconds."""

    start_by: float
    """Latest start, in seconds; at this time it is expired."""

    job_remaining: int
    """Tasks of the job without a result."""

    attempt: int = 0
    """Earlier starts of this task."""

    repeatable: bool
    """Whether it may run again once a run is over."""

    may_use_spare: bool = False
    """Whether it may take slots left to higher classes: its class is owed
    service, or no peer had room for it."""

    expected_run_s: float
    """Expected run time in seconds, learnt where it can be."""
