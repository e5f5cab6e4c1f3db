"""Rows of the scheduling state: jobs, task records, tenants and settings."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from cassiaturn.entities import Method, TaskKey
from cassiaturn.policy import QueuedTask
from cassiaturn.v1 import peer_pb2


class TaskState(Enum):
    """State of a task at this instance."""

    QUEUED = auto()
    """In the fair queue; no start was sent."""

    DELAYED = auto()
    """Waiting to be queued again: for a retry, or until an earlier home's run of it
    must have ended. No start was sent."""

    RUNNING = auto()
    """A start was sent to a target that this instance holds."""

    SPILLED = auto()
    """Sent to a peer, which may or may not have started it."""

    DONE = auto()
    """Its result is known."""

    CANCELLED = auto()
    """Its job was settled before it ended."""


class Acknowledgement(NamedTuple):
    """An acknowledgement, due at a later time, that lets a target drop a result."""

    due_at: float
    """Monotonic time at which to send it, in seconds."""

    target_id: str
    """Target that keeps the result."""

    key: TaskKey
    """Task of the result."""

    attempt: int
    """Attempt that gave the result."""


@dataclass(slots=True, kw_only=True)
class TaskRecord:
    """One task, at its home or at the peer that it was spilled to."""

    key: TaskKey
    """Key of the task."""

    task: QueuedTask
    """Entry of the fair queue."""

    method: Method
    """Requested method with its declared options."""

    payload: bytes
    """Serialized request."""

    home: str
    """Incarnation of the submission's home; fences at targets refer to it."""

    origin: str | None
    """Incarnation of the peer that spilled it; None if this instance is its home."""

    state: TaskState = TaskState.QUEUED
    """State of the task."""

    target_id: str = ""
    """Target that it was sent to, while ``RUNNING``."""

    peer: str = ""
    """Incarnation of the peer that has it, while ``SPILLED``."""

    refusals: int = 0
    """Number of refused starts; these never ran."""

    sent_at: float = 0.0
    """When the start or the spill was sent, in seconds."""

    renewed_at: float = 0.0
    """When its lease was last renewed, in seconds."""

    latest_end_at: float = 0.0
    """Monotonic time at which a run begun by the latest start must have ended, in
    seconds: the latest start-by time plus the lease. Renewals extend it."""


@dataclass(slots=True, kw_only=True)
class Job:
    """A submission at its home, until its answer is settled."""

    submission_id: str
    """Ticket (an id issued by an instance), or an id chosen by the caller."""

    tenant: str
    """Tenant whose quota and share it uses."""

    caller: str
    """Caller within the tenant."""

    method: Method
    """Method of all its tasks."""

    accepted_at: float
    """When it was admitted, in seconds."""

    deadline_at: float
    """Monotonic time after which its answer is useless, in seconds."""

    results: list[bytes | None]
    """One entry per task; None until its result is known."""

    remaining: int
    """Number of tasks without a result."""

    records: list[TaskRecord] = field(default_factory=list)
    """Its tasks that were not adopted from an earlier home."""

    ran: bool = False
    """Whether at least one task is known to have run."""

    longest_run_s: float = 0.0
    """Run time of its longest task, in seconds; the lower bound of its response
    time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Tenant:
    """Share and quota of a tenant in the shared configuration."""

    name: str
    """Name in the call metadata."""

    weight: float
    """Share of the slots under contention, relative to other tenants."""

    quota_slots: int
    """Maximum slots in use at once over all instances; 0 for no limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSettings:
    """Limits and timeouts of one instance."""

    incarnation: str
    """Incarnation of this process."""

    instance_id: str
    """Name of the instance; the same after a restart."""

    failure_domain: str
    """Failure domain of the instance."""

    lease_s: float = 3.0
    """Lease of a start, in seconds: long enough that tasks under a second need no
    renewal, short enough that a successor waits only seconds."""

    start_within_s: float = 1.0
    """How long after being sent a start may still begin, in seconds."""

    peer_silence_s: float = 3.0
    """How long the leases of a peer's tasks are renewed without a frame from the
    peer, in seconds."""

    peer_gone_s: float = 10.0
    """Silence after which a peer counts as gone, in seconds."""

    result_kept_s: float = 15.0
    """How long a target keeps a result after its job was settled, in seconds: longer
    than the caller of a crashed home needs to find the successor."""

    spill_within_s: float = 2.0
    """How long a spilled task may wait at the peer, in seconds."""

    max_tasks_per_job: int = 750
    """Maximum number of tasks of a submission."""

    max_payload_bytes: int = 1 << 20
    """Maximum size of one serialized request."""

    max_job_bytes: int = 16 << 20
    """Maximum total size of the serialized requests of a submission."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """A caller's request to run a job; limits and tenant are not checked yet."""

    submission_id: str
    """Ticket (an id issued by an instance), or an id chosen by the caller."""

    tenant: str
    """Tenant named in the call metadata."""

    caller: str
    """Caller named in the call metadata."""

    method: str
    """Full method name."""

    payloads: Sequence[bytes]
    """One serialized request per task."""

    deadline_s: float
    """Time until the answer is useless, in seconds; 0 for the method's default."""

    adopted_by_index: Mapping[int, bytes] = field(default_factory=dict)
    """Results by task index that are proven to come from an earlier home's run of
    this submission; those tasks do not run again."""

    resumed: bool = False
    """Whether an earlier home, named by the ticket, began it. It may then not be
    refused because of load."""

    run_after_by_index: Mapping[int, float] = field(default_factory=dict)
    """Monotonic time, in seconds, by task index, before which a repeatable task may
    not run: an earlier home's run of it has ended by then."""


@dataclass(slots=True, kw_only=True)
class Counters:
    """Counters for the metrics; the refused ones count wasted messages."""

    starts: int = 0
    """Starts sent to targets."""

    refused_starts: int = 0
    """Starts that a target refused."""

    spills: int = 0
    """Tasks spilled to peers."""

    refused_spills: int = 0
    """Spilled tasks that a peer refused."""

    admitted: int = 0
    """Jobs admitted."""

    refused: int = 0
    """Jobs refused before any task was started."""

    retries: int = 0
    """Second and later attempts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReturnedOutcome:
    """An outcome sent to the home of a spilled task, kept for retransmission."""

    outcome: peer_pb2.SpillOutcome
    """Message that was sent."""

    at: float
    """When it was first sent, in seconds."""
