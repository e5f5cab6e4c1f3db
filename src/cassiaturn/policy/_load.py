"""What admission weighs: a submission, and the load that it meets."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cassiaturn.entities import RequestClass


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """What admission needs to know of a submission."""

    submission_id: str
    """Its id; decides where in the retry-after interval its caller returns."""

    tenant: str
    """Its tenant."""

    caller: str
    """Its caller."""

    request_class: RequestClass
    """Its class."""

    method: str
    """Full method name."""

    tasks: int
    """Number of tasks."""

    expected_run_s: float
    """Expected run time of one task, in seconds."""

    deadline_in_s: float
    """Time until the caller's deadline, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadView:
    """Load of the instance when a submission arrives; filled in O(1)."""

    now: float
    """Present time, in seconds."""

    slots: int
    """Slots of the targets this instance holds and may use."""

    busy: int
    """Those in use."""

    queued_by_class: Mapping[RequestClass, int]
    """Queued tasks of each class here."""

    tenant_running: int
    """Running tasks of the tenant, of this instance as home."""

    tenant_queued: int
    """Queued tasks of the tenant here."""

    tenant_quota_slots: float
    """Slots that the tenant's quota gives it at this instance; 0: no quota."""

    mean_run_s_by_class: Mapping[RequestClass, float] = field(default_factory=dict)
    """Observed mean run time of each class, in seconds; a class that is missing
    counts as the request."""

    peers_free_slots: int = 0
    """Free slots that peers report."""
