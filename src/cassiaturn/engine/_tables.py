"""The rows that an instance keeps: jobs, task records, settings."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from cassiaturn.entities import Method, TaskKey
from cassiaturn.policy import QueuedTask
from cassiaturn.v1 import peer_pb2


class TaskState(Enum):
    """Where a task stands at this instance."""

    QUEUED = auto()
    """In the fair queue; no start was sent."""

    DELAYED = auto()
    """Waits for the pause before another try; no start is in force."""

    RUNNING = auto()
    """A start was sent to a target that this instance holds."""

    SPILLED = auto()
    """Given to a peer, which may or may not have started it."""

    DONE = auto()
    """Its result is known."""

    CANCELLED = auto()
    """Its job was settled before it ended."""


class Acknowledgement(NamedTuple):
    """A result that its target may forget after a time."""

    due_at: float
    """When, in seconds."""

    target_id: str
    """The target."""

    key: TaskKey
    """The task."""

    attempt: int
    """The attempt whose result was taken."""


@dataclass(slots=True, kw_only=True)
class TaskRecord:
    """One task, at its home or at the holder that a peer gave it to."""

    key: TaskKey
    """Which task this is."""

    task: QueuedTask
    """What the fair queue orders."""

    method: Method
    """The request and its declared options."""

    payload: bytes
    """Serialized request."""

    home: str
    """Incarnation of the submission's home; targets fence by it."""

    origin: str | None
    """Incarnation of the peer that gave it; None: this instance is its home."""

    state: TaskState = TaskState.QUEUED
    """Where it stands."""

    target_id: str = ""
    """Target that it was sent to, while ``RUNNING``."""

    peer: str = ""
    """Incarnation of the peer that has it, while ``SPILLED``."""

    refusals: int = 0
    """Starts of it that were refused, so that they never ran."""

    sent_at: float = 0.0
    """When the start or the spill was sent, in seconds."""

    renewed_at: float = 0.0
    """When its lease was last renewed, in seconds."""

    latest_end_at: float = 0.0
    """When a run begun by the latest start is certainly over: the latest start
    time plus the lease, in seconds. Pushed back by renewals."""


@dataclass(slots=True, kw_only=True)
class Job:
    """A submission at its home, until its answer is settled."""

    submission_id: str
    """Ticket or the caller's own id."""

    tenant: str
    """Tenant that it counts against."""

    caller: str
    """Caller within the tenant."""

    method: Method
    """The request of all its tasks."""

    accepted_at: float
    """When it was admitted, in seconds."""

    deadline_at: float
    """When its answer is of no more use, in seconds."""

    results: list[bytes | None]
    """One entry a task; None until its result is known."""

    remaining: int
    """Tasks without a result."""

    records: list[TaskRecord] = field(default_factory=list)
    """Its tasks that were not adopted from an earlier home."""

    ran: bool = False
    """Whether some task is known to have run."""

    longest_run_s: float = 0.0
    """Run time of its longest task, in seconds: the ideal response time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Tenant:
    """What the shared configuration grants a tenant."""

    name: str
    """Name in the call metadata."""

    weight: float
    """Share of the slots under contention, relative to other tenants."""

    quota_slots: int
    """Slots it may use at once over all instances; 0: no limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSettings:
    """Limits and times of one instance."""

    incarnation: str
    """Incarnation of this process."""

    instance_id: str
    """Name of the instance, kept over restarts."""

    failure_domain: str
    """Failure domain of the instance."""

    lease_s: float = 3.0
    """Lease of a start, in seconds: long enough that tasks under a second need
    no renewal, short enough that a successor waits seconds."""

    start_within_s: float = 1.0
    """How long after being sent a start may still begin, in seconds."""

    peer_silence_s: float = 3.0
    """How long a holder renews a peer's task without hearing from the peer, in
    seconds."""

    peer_gone_s: float = 10.0
    """Silence after which a peer is gone, in seconds."""

    result_kept_s: float = 15.0
    """How long a target keeps a result after its job was settled, in seconds:
    above the time in which a dead home's caller finds the successor."""

    spill_within_s: float = 2.0
    """How long a spilled task may wait at the peer, in seconds."""

    max_tasks_per_job: int = 750
    """Tasks of one submission."""

    max_payload_bytes: int = 1 << 20
    """Size of one serialized request."""

    max_job_bytes: int = 16 << 20
    """Size of all serialized requests of a submission."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """A caller's request to run a job, checked for its form only."""

    submission_id: str
    """Ticket or the caller's own id."""

    tenant: str
    """Tenant named in the call metadata."""

    caller: str
    """Caller named in the call metadata."""

    method: str
    """Full method name."""

    payloads: Sequence[bytes]
    """One serialized request a task."""

    deadline_s: float
    """Time until the answer is of no use, in seconds; 0: the method's own."""

    adopted_by_index: Mapping[int, bytes] = field(default_factory=dict)
    """Results, by task index, that were proved to belong to an earlier home's
    run of this submission; those tasks do not run again."""

    resumed: bool = False
    """Whether an earlier home began it: its ticket names that home, and what
    was begun may not be refused for load."""

    run_after_by_index: Mapping[int, float] = field(default_factory=dict)
    """Tasks, by index, that may run only after a time, in seconds: an earlier
    home's run of a repeatable task is over by then."""


@dataclass(slots=True, kw_only=True)
class Counters:
    """What the instance did, for its metrics; messages by their waste."""

    starts: int = 0
    """Starts sent to targets."""

    refused_starts: int = 0
    """Starts that a target refused."""

    spills: int = 0
    """Tasks given to peers."""

    refused_spills: int = 0
    """Spilled tasks that a peer gave back."""

    admitted: int = 0
    """Jobs admitted."""

    refused: int = 0
    """Jobs refused before anything started."""

    retries: int = 0
    """Second and later attempts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Returned:
    """An outcome sent to the home of a spilled task, kept for a link loss."""

    outcome: peer_pb2.SpillOutcome
    """The message as it was sent."""

    at: float
    """When it was first sent, in seconds."""
