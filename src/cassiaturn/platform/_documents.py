"""Messages of the users' platform, as they stand on the wire.

On the wire the fields are in camel case. Each model is read or written in one place
of this package, which gives it the product's own names. Unknown fields are ignored:
newer installations may send more.
A comment stands where a name says something else than the field holds.
"""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field
from pydantic.alias_generators import to_camel

from cassiaturn.settings import AddressField

Count = Annotated[int, Field(ge=0)]

MAX_WIRE_INT = 2**63 - 1
"""Largest number that members hand on to each other."""


class Document(BaseModel):
    """Base of every message."""

    model_config = ConfigDict(extra="ignore", frozen=True, alias_generator=to_camel)


class StepDocument(Document):
    """A group of equal tasks."""

    count: Annotated[int, Field(ge=1, le=100_000)]
    cpu: Count = 0  # Thousandths of a core, for each task.
    mem_mb: Count = 0
    gpu: Count = 0
    estimated_ms: Annotated[float, Field(ge=0)] = 0  # Often off by half.
    after: list[Count] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""  # One label, not a list.
    affinity: str = ""  # The rack that holds the data.
    anti_affinity: Count = 0  # Tasks of the step on one target at most.
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Annotated[float, Field(ge=0)] = 0  # Tail latency, not a run time.
    fills: bool = False
    may_miss: Count | None = None


class JobDocument(Document):
    """A job as its caller sends it."""

    task_spec: Annotated[str, Field(max_length=4_000)] = ""
    steps: Annotated[list[StepDocument], Field(min_length=1)]
    best_effort: bool = False
    repetitions: Count = 0
    start_at_ms: int = 0
    interval_ms: Count = 0


class AdviceTermsDocument(Document):
    """What a queue tells of the service that advises on targets."""

    decision_ms: Annotated[float, Field(ge=0)] = 0
    each_ms: Annotated[float, Field(ge=0)] = 0  # For each target asked about.
    valid_ms: Annotated[float, Field(ge=0)] = 0


class RouteDocument(Document):
    """A queue."""

    name: str
    host: str = ""
    prefix: str = "/"
    service: str
    timeout_ms: Annotated[float, Field(ge=0)] = 0
    # Not the time that a request may take, but what it may take beyond `stretch`
    # times its own work.
    target_latency_ms: Annotated[float, Field(ge=0)] = 0
    priority: Count = 0
    max_attempts: Annotated[int, Field(ge=0)] = 1  # Failed runs of one task.
    stretch: Annotated[float, Field(ge=0)] = 1
    advice: AdviceTermsDocument | None = None


class ServiceDocument(Document):
    """A pool of targets."""

    name: str
    admission_check: bool = False
    max_connections: Count = 64
    spare: bool = False


class LimitsDocument(Document):
    """Bounds on callers' requests."""

    header_bytes: Count = 16 * 1024
    body_bytes: Count = 256 * 1024
    idle_timeout_ms: Count = 15_000


class ConfigurationDocument(Document):
    """What operators publish."""

    version: Annotated[int, Field(ge=0, le=MAX_WIRE_INT)]
    routes: list[RouteDocument] = []
    services: list[ServiceDocument] = []
    limits: LimitsDocument = LimitsDocument()


class CapacityDocument(Document):
    """What a worker has for tasks."""

    model_config = ConfigDict(strict=True)

    cpu: Annotated[int, Field(ge=0, le=MAX_WIRE_INT)] = 0  # Thousandths of a core.
    mem_mb: Annotated[int, Field(ge=0, le=MAX_WIRE_INT)] = 0
    gpu: Annotated[int, Field(ge=0, le=MAX_WIRE_INT)] = 0


class RunnerDocument(Document):
    """What a target publishes of itself; its key is its id.

    Others may write into the same list. What an order needs is required, and no type is
    converted: an entry that is wrong in one field may be wrong in its address, and a
    start would go to a process that is no target.
    """

    model_config = ConfigDict(strict=True)

    service: Annotated[str, Field(min_length=1)]
    address: AddressField
    zone: str
    version: str = ""
    slots: Count = 0
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0
    capacity: CapacityDocument
    labels: list[str] = []
    sequence: int
    # Only while it drains.
    remaining_ms: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0


class RowDocument(Document):
    """A row of the table service, with its value in base64."""

    table: str = ""
    part: str = ""
    key: str
    value: str = ""
    row_version: int = 0  # Counts the transactions of the whole store.
    tombstone: bool = False  # The row was removed.


class RowsReply(Document):
    """Rows as of one moment, or those that changed."""

    rows: list[RowDocument] = []
    truncated: bool = False
    row_version: int = 0  # The newest of the store, not of these rows.
    now_ms: float = 0


class CommitReply(Document):
    """A transaction that took effect."""

    row_version: int
    now_ms: float = 0


class ClockReply(Document):
    """A target's answer to an order."""

    clock_ms: int | None = None
    reason: str = ""


class LeaseReply(Document):
    """What runs and what has ended on a target."""

    clock_ms: int
    # Rows of task, run, saved progress, percent and recent load.
    running: list[tuple[str, int, str, float] | tuple[str, int, str, float, float]] = []
    # Rows of sequence, task, run, how it ended and saved progress.
    ended: list[tuple[int, str, int, str, str]] = []


class MachineDocument(Document):
    """A host of targets."""

    machine: str
    pool: str = ""  # Name of a service.
    state: str = "up"
    zone: str = ""
    labels: list[str] = []
    capacity: CapacityDocument = CapacityDocument()
    id: str | None = None  # Of the target that runs there, not of the machine.


class MachinesReply(Document):
    """One page of the hosts."""

    machines: list[MachineDocument] = []
    next_token: str | None = None


class AdviceReply(Document):
    """Targets that may run a group, each with its leave."""

    good: list[tuple[str, str]] = []
    valid_ms: Annotated[float, Field(ge=0)] = 0


class WaveDocument(Document):
    """A request for the maintenance of some hosts."""

    wave: int
    machines: list[str] = []
    duration_s: Annotated[float, Field(ge=0)] = 0
    max_count: Annotated[int, Field(ge=1)] = 1
