"""Jobs with resource requirements, their routes, and what targets report on them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from cassiaturn.entities._resources import Resources


class TaskRef(NamedTuple):
    """Identifies one task of one job; run numbers are kept separately."""

    job_id: str
    """Id of the job, chosen by its caller."""

    occurrence: int
    """Number of the repetition of a scheduled job; 0 for a job that runs once."""

    group: int
    """Position of the task's group in the job, from 0."""

    task_index: int
    """Position of the task in its group, from 0."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskGroup:
    """Tasks of a job that have the same requirements."""

    count: int
    """Number of tasks in the group."""

    resources: Resources
    """Resources that each task needs on a worker."""

    expected_run_s: float = 0.0
    """Run time declared by the caller, in seconds; often inaccurate; 0: none."""

    after: tuple[int, ...] = ()
    """Positions of earlier groups whose tasks must all be done first."""

    required_label: str = ""
    """Label that a target must have; empty: any target."""

    preferred_rack: str = ""
    """Label of the rack that holds the data; elsewhere tasks take longer."""

    max_per_target: int = 0
    """Maximum number of the group's tasks on one target; 0: no limit."""

    all_or_none: bool = False
    """Whether the tasks only make progress while all of them run (a gang)."""

    same_rack: bool = False
    """Whether the tasks slow down if they run on more than one rack."""

    checkpoints: bool = False
    """Whether a run can resume from the progress that an earlier one saved."""

    copies_allowed: bool = False
    """Whether runs of one task may overlap; the first one to end counts."""

    long_running: bool = False
    """Whether the tasks run until the job is cancelled."""

    image: str = ""
    """Image that the tasks run; tasks with the same image behave alike."""

    latency_objective_s: float = 0.0
    """Tail latency that user-serving tasks must stay within, in seconds."""

    fills_leftover: bool = False
    """Whether the tasks use only CPU time that other tasks leave idle."""

    max_unavailable: int | None = None
    """Maximum number of tasks that planned work may stop at once; None: no limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Schedule:
    """When the occurrences of a job are due."""

    repetitions: int
    """Number of occurrences."""

    first_at_ms: int
    """Due time of the first occurrence, in Unix milliseconds."""

    interval_ms: int
    """Time between consecutive due times, in milliseconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRequest:
    """A job as its caller describes it."""

    job_id: str
    """Id chosen by the caller; a resubmission uses the same id."""

    payload: str
    """Input of every task, up to 4,000 bytes."""

    groups: tuple[TaskGroup, ...]
    """Task groups, at least one."""

    must_be_stored: bool = True
    """Whether the job, once accepted, must survive the loss of every process. False:
    the caller waits for its end and submits it again if no answer comes."""

    schedule: Schedule | None = None
    """When the job runs; None: once, immediately."""

    @property
    def task_count(self) -> int:
        """Number of tasks in one occurrence."""
        return sum(group.count for group in self.groups)


class JobStatus(Enum):
    """Status of a job, as reported to its caller."""

    QUEUED = auto()
    """Accepted; no task has started."""

    RUNNING = auto()
    """At least one task has started."""

    COMPLETED = auto()
    """Every task is done."""

    FAILED = auto()
    """The job ended before every task was done."""

    CANCELLED = auto()
    """The caller cancelled the job."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AdvicePolicy:
    """Limits of the service that advises which targets may run a group of tasks."""

    decision_ms: int
    """Base duration of a call, in milliseconds."""

    per_target_ms: float
    """Additional duration per target in the call, in milliseconds."""

    valid_ms: int
    """How long an answer stays valid, in milliseconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A queue that requests are routed to by host name and path."""

    name: str
    """Name in the configuration."""

    host: str
    """Host name that requests must have; empty: any."""

    prefix: str
    """Prefix that request paths must have."""

    service: str
    """Name of the service whose targets run the tasks."""

    priority: int = 0
    """Priority among routes; 0 is served first."""

    timeout_s: float = 0.0
    """Longest duration of a call that operators configured, in seconds; 0: not set. It
    does not end jobs: each request states how long its caller waits."""

    latency_objective_s: float = 0.0
    """Time that a job may take beyond ``stretch`` times its own work, in seconds."""

    stretch: float = 1.0
    """Time that a job may take, as a multiple of its longest chain of tasks."""

    max_attempts: int = 1
    """Number of failed runs of a task after which its job fails."""

    advice: AdvicePolicy | None = None
    """Set if an advice service decides which targets may run a group; None: any may."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A pool of targets that run the same program."""

    name: str
    """Name in the configuration."""

    admission_check: bool = True
    """Whether the targets refuse tasks that exceed their capacity."""

    connections_per_target: int = 64
    """Number of connections that each target accepts."""

    spare: bool = False
    """Whether the hosts are powered off and kept in reserve."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Limits on callers' requests."""

    header_bytes: int = 16 * 1024
    """Maximum size of the headers of one request, in bytes."""

    body_bytes: int = 256 * 1024
    """Maximum size of the body of one request, in bytes."""

    idle_timeout_s: float = 15.0
    """Time after which an unused connection is closed, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingTable:
    """One version of the routing configuration that operators publish."""

    version: int
    """Version number; increases with each change, not always by one."""

    routes: tuple[Route, ...] = ()
    """All routes."""

    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    """All services, by name."""

    limits: RequestLimits = field(default_factory=RequestLimits)
    """Limits on callers' requests."""

    document: bytes = b""
    """The configuration as published, to forward it unchanged."""

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix for a host.

        Routes with an empty host match every host.

        :param host: host name without a port.
        :param path: path of the request.
        :returns: the route; None if no route matches.
        """
        best: Route | None = None
        for route in self.routes:
            if route.host not in ("", host) or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetReport:
    """State that a target publishes about itself."""

    target_id: str
    """Id of the target; a restarted process may have the same one."""

    address: str
    """Address that the target listens on, ``host:port``."""

    service: str
    """Name of the service that the target belongs to."""

    failure_domain: str
    """Failure domain that the target runs in."""

    capacity: Resources
    """Resources that the worker has for tasks."""

    labels: frozenset[str] = frozenset()
    """Labels of the worker: its kind and its rack."""

    leaving: bool = False
    """Whether the target drains: it finishes its runs and accepts no new ones."""

    remaining_s: float = 0.0
    """While leaving: minimum time until the target is gone, in seconds."""

    slow_start_s: float = 0.0
    """Remaining time after its start in which the target runs slower, in seconds."""

    incarnation: int = 0
    """Tells processes apart that had the same id; that of a later one is usually
    higher. 0: not told."""

    sequence: int = field(default=0, compare=False)
    """Increases with each report of one incarnation; identifies late, older reports."""


class RunEnd(Enum):
    """How a run ended."""

    DONE = auto()
    """The run finished its work."""

    FAILED = auto()
    """The run failed through a fault of its own or of the target."""

    STOPPED = auto()
    """The run was ordered to stop."""

    LEASE_EXPIRED = auto()
    """The lease was not renewed in time."""

    PEER_ENDED = auto()
    """Another member of its gang ended."""

    NO_PEERS = auto()
    """The run waited for the rest of its gang, which did not start in time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningTask:
    """A run that a target lists as running."""

    ref: TaskRef
    """Task that the run belongs to."""

    run: int
    """Run number; increases with each start of the task."""

    checkpoint: str
    """Progress that the run saved; empty: none."""

    percent: int
    """Completed share of the work, 0 to 100."""

    recent_load: float = 0.0
    """Load over the last half second: for a task that serves users, its tail latency in
    milliseconds; for any other, its CPU use in thousandths of a core."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedRun:
    """A run that a target lists as ended."""

    sequence: int
    """Number of the end within one incarnation of the target, from 1 in steps of 1."""

    ref: TaskRef
    """Task that the run belongs to."""

    run: int
    """Run number; increases with each start of the task."""

    end: RunEnd
    """How the run ended."""

    checkpoint: str = ""
    """Progress that the run saved; empty: none."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseReport:
    """A target's answer to a lease renewal."""

    clock_ms: int
    """Reading of the target's monotonic clock, in milliseconds."""

    running: tuple[RunningTask, ...]
    """All runs in progress on the target."""

    ended: tuple[EndedRun, ...]
    """Ended runs that are not acknowledged yet, by sequence number."""

    incarnation: int = 0
    """The process that answered, as in :class:`TargetReport`. Clock and sequence
    numbers compare within one incarnation only."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Permission to start the tasks of a group on one target."""

    target_id: str
    """Id of the target."""

    value: str
    """Opaque value that is sent with each start on that target."""


class StartAnswer(Enum):
    """A target's answer to an order to start a run."""

    STARTED = auto()
    """The run started, or the same run had already started."""

    SUPERSEDED = auto()
    """The target takes orders from a later leader."""

    OUTDATED = auto()
    """The target already had this run or a later run of the same task."""

    LATE = auto()
    """The order arrived after the latest time at which the run could start."""

    NO_ROOM = auto()
    """The target does not have enough free resources."""

    NO_TICKET = auto()
    """The group may not run on the target, or its ticket expired."""

    UNHEALTHY = auto()
    """The target refuses work; nothing was done."""

    OTHER_LIFE = auto()
    """Another incarnation of the target answered at this address."""

    INVALID = auto()
    """The order was malformed."""

    UNREACHABLE = auto()
    """The connection was refused, so the order was not taken."""

    UNKNOWN = auto()
    """No answer came: the run may have started or may still start."""
