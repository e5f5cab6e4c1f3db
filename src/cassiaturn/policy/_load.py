"""Input of admission control: a submission and the present load."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cassiaturn.entities import RequestClass


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """Attributes of a submission that admission control uses."""

    submission_id: str
    """Id of the submission; its hash spreads the retry-after time."""

    tenant: str
    """Tenant that submits it."""

    caller: str
    """Caller within the tenant."""

    request_class: RequestClass
    """Class of the submission."""

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
    """Slots of the targets that this instance holds and may use."""

    busy: int
    """Those of the slots that are in use."""

    queued_by_class: Mapping[RequestClass, int]
    """Number of queued tasks of each class at this instance."""

    tenant_running: int
    """Number of running tasks of the tenant that were submitted to this instance."""

    tenant_queued: int
    """Number of queued tasks of the tenant at this instance."""

    tenant_quota_slots: float
    """Slots that the tenant's quota gives it at this instance; 0: no quota."""

    mean_run_s_by_class: Mapping[RequestClass, float] = field(default_factory=dict)
    """Observed mean run time of each class, in seconds; for a missing class the
    run time of the request is used."""

    peers_free_slots: int = 0
    """Free slots that peers report."""
