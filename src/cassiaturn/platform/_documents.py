"""Defines the messages of the users' platform as models that pydantic's core validates.

On the wire, field names are in camel case. Each model is read or written in one place
of this package, which maps it to cassiaturn's own names. Unknown fields are ignored,
because newer installations may send more. Comments mark fields whose content differs
from what the name suggests.
"""

from typing import Annotated, Literal

from pydantic_core.core_schema import int_schema, list_schema, str_schema

from cassiaturn._core_models import (
    EMPTY,
    Checked,
    Count,
    Document,
    FiniteNumber,
    NotNegative,
    schema_of,
)
from cassiaturn.settings import AddressField

MAX_WIRE_INT = 2**63 - 1
"""Largest number in messages between members, which use signed 64-bit integers."""

WireCount = Annotated[int, Checked(schema=int_schema(ge=0, le=MAX_WIRE_INT))]


class StepDocument(Document):
    """A group of identical tasks."""

    count: Annotated[int, Checked(schema=int_schema(ge=1, le=100_000))]
    cpu: Count = 0  # Thousandths of a core per task.
    mem_mb: Count = 0
    gpu: Count = 0
    estimated_ms: NotNegative = 0  # Estimate; often off by half.
    after: list[Count] = EMPTY
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""  # One label, not a list.
    affinity: str = ""  # The rack that holds the data.
    anti_affinity: Count = 0  # Maximum of the step's tasks on one target.
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: NotNegative = 0  # Tail latency, not a run time.
    fills: bool = False
    may_miss: Count | None = None


_STEPS = list_schema(schema_of(StepDocument), min_length=1)


class JobDocument(Document):
    """A job as submitted by its caller."""

    task_spec: Annotated[str, Checked(schema=str_schema(max_length=4_000))] = ""
    steps: Annotated[list[StepDocument], Checked(schema=_STEPS)]
    best_effort: bool = False
    repetitions: Count = 0
    start_at_ms: int = 0
    interval_ms: Count = 0


class AdviceTermsDocument(Document):
    """Terms on which a queue asks the service that advises where a group may run."""

    decision_ms: NotNegative = 0
    each_ms: NotNegative = 0  # Further time per target asked about.
    valid_ms: NotNegative = 0


class RouteDocument(Document):
    """A queue that callers reach by host name and path prefix."""

    name: str
    host: str = ""
    prefix: str = "/"
    service: str
    timeout_ms: NotNegative = 0
    # Time that a job may take beyond `stretch` times its own work, not in total.
    target_latency_ms: NotNegative = 0
    priority: Count = 0
    max_attempts: Count = 1  # Maximum of failed runs per task.
    stretch: NotNegative = 1
    advice: AdviceTermsDocument | None = None


class ServiceDocument(Document):
    """A pool of targets."""

    name: str
    admission_check: bool = False
    max_connections: Count = 64
    spare: bool = False


class LimitsDocument(Document):
    """Limits on callers' requests."""

    header_bytes: Count = 16 * 1024
    body_bytes: Count = 256 * 1024
    idle_timeout_ms: Count = 15_000


class ConfigurationDocument(Document):
    """The configuration that operators publish."""

    version: WireCount
    routes: list[RouteDocument] = EMPTY
    services: list[ServiceDocument] = EMPTY
    limits: LimitsDocument = LimitsDocument()


class CapacityDocument(Document, strict=True):
    """Resources of a worker that tasks may use."""

    cpu: WireCount = 0  # Thousandths of a core.
    mem_mb: WireCount = 0
    gpu: WireCount = 0


class RunnerDocument(Document, strict=True):
    """A target's own directory entry, stored under the target's id.

    The directory may have other writers. All fields that each target writes are
    required, and types are not coerced: an entry with one wrong field may have a wrong
    address too, and a start order would be sent to a process that is not a target.
    """

    service: Annotated[str, Checked(schema=str_schema(min_length=1))]
    address: AddressField
    zone: str
    version: str
    slots: Count
    state: Literal["ready", "draining"]
    cold_remaining_ms: FiniteNumber
    capacity: CapacityDocument
    labels: list[str]
    sequence: int
    born: WireCount = 0  # Start of the process, in Unix milliseconds.
    # Sent only while the target drains.
    remaining_ms: FiniteNumber = 0


class RowDocument(Document):
    """A row of the table service; its value is encoded in base64."""

    table: str = ""
    part: str = ""
    key: str
    value: str = ""
    row_version: int = 0  # Counts the transactions of the whole store.
    tombstone: bool = False  # The row was removed.


class RowsReply(Document):
    """Rows at one version of the store, or rows that changed."""

    rows: list[RowDocument] = EMPTY
    truncated: bool = False
    row_version: int = 0  # Newest version of the store, not of these rows.
    now_ms: float = 0


class CommitReply(Document):
    """Answer to a transaction that was committed."""

    row_version: int
    now_ms: float = 0


class ClockReply(Document):
    """A target's answer to an order."""

    clock_ms: int | None = None
    reason: str = ""


class LeaseReply(Document):
    """Running and ended runs of a target."""

    clock_ms: int
    born: WireCount = 0  # As in the target's directory entry.
    # Rows of task, run, checkpoint, share done in percent and recent load.
    running: list[tuple[str, int, str, float] | tuple[str, int, str, float, float]] = (
        EMPTY
    )
    # Rows of sequence number, task, run, kind of end and checkpoint.
    ended: list[tuple[int, str, int, str, str]] = EMPTY


class MachineDocument(Document):
    """A host of targets."""

    machine: str
    pool: str = ""  # Name of a service.
    state: str = "up"
    zone: str = ""
    labels: list[str] = EMPTY
    capacity: CapacityDocument = CapacityDocument()
    id: str | None = None  # Id of the target that runs there, not of the machine.


class MachinesReply(Document):
    """One page of the list of hosts."""

    machines: list[MachineDocument] = EMPTY
    next_token: str | None = None


class AdviceReply(Document):
    """Ids of targets that may run a group, each with its ticket."""

    good: list[tuple[str, str]] = EMPTY
    valid_ms: NotNegative = 0


class WaveDocument(Document):
    """A request to maintain some hosts."""

    wave: int
    machines: list[str] = EMPTY
    duration_s: NotNegative = 0
    max_count: Annotated[int, Checked(schema=int_schema(ge=1))] = 1
