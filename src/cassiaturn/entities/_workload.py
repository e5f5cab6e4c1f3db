"""Jobs whose tasks ask for parts of a worker, and the routes that they come by."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from cassiaturn.entities._resources import Resources


class TaskRef(NamedTuple):
    """Names one task of one job; its runs are numbered beside it."""

    job_id: str
    """Id of the job, chosen by its caller."""

    occurrence: int
    """Which repetition of a scheduled job; 0 for a job that runs once."""

    group: int
    """Position of the task's group in the job, from 0."""

    task_index: int
    """Position of the task in its group, from 0."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskGroup:
    """Equal tasks of a job."""

    count: int
    """Tasks in the group."""

    resources: Resources
    """What each task takes of a worker."""

    expected_run_s: float = 0.0
    """Run time that the caller declares, often far off, in seconds; 0: none."""

    after: tuple[int, ...] = ()
    """Earlier groups whose tasks must all be done first."""

    required_label: str = ""
    """Label that the target must have; empty: any target."""

    preferred_rack: str = ""
    """Label of the rack that holds the data; elsewhere tasks take longer."""

    max_per_target: int = 0
    """Tasks of the group on one target at most; 0: no limit."""

    all_or_none: bool = False
    """Whether the tasks only work while all of them run (a gang)."""

    same_rack: bool = False
    """Whether the tasks slow down if they run on more than one rack."""

    checkpoints: bool = False
    """Whether a run can resume from the progress that an earlier one saved."""

    copies_allowed: bool = False
    """Whether several runs of one task may overlap; the first end counts."""

    long_running: bool = False
    """Whether the tasks run until their job is cancelled."""

    image: str = ""
    """What the tasks run; tasks of one image behave alike."""

    latency_objective_s: float = 0.0
    """Tail latency that tasks which serve users must keep, in seconds."""

    fills_leftover: bool = False
    """Whether the tasks take only processor time that others leave unused."""

    max_unavailable: int | None = None
    """Tasks that planned work may take away at once; None: not limited."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Schedule:
    """When the occurrences of a job are due."""

    repetitions: int
    """How many occurrences there are."""

    first_at_ms: int
    """When the first is due, in Unix milliseconds."""

    interval_ms: int
    """Time from one to the next, in milliseconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRequest:
    """A job as its caller describes it."""

    job_id: str
    """Chosen by the caller; a resubmission bears the same id."""

    payload: str
    """What every task is told to do, up to 4,000 bytes."""

    groups: tuple[TaskGroup, ...]
    """Its groups of tasks, at least one."""

    must_be_stored: bool = True
    """Whether it must survive the loss of every process once accepted. False: its
    caller waits for the end and submits it again if no answer comes."""

    schedule: Schedule | None = None
    """When it runs; None: once, now."""

    @property
    def task_count(self) -> int:
        """Tasks of one occurrence."""
        return sum(group.count for group in self.groups)


class JobStatus(Enum):
    """Where a job stands, as its caller is told."""

    QUEUED = auto()
    """Accepted; no task has started."""

    RUNNING = auto()
    """A task has started."""

    COMPLETED = auto()
    """Every task is done."""

    FAILED = auto()
    """It ended without every task done."""

    CANCELLED = auto()
    """Its caller ended it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AdvicePolicy:
    """Terms of the service that says which targets may run a group of tasks."""

    decision_ms: int
    """Time of a call, in milliseconds."""

    per_target_ms: float
    """Further time for each target asked about, in milliseconds."""

    valid_ms: int
    """How long an answer holds, in milliseconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A queue that callers reach by host name and path."""

    name: str
    """Its name in the configuration."""

    host: str
    """Host name of the requests; empty: any."""

    prefix: str
    """What their paths begin with."""

    service: str
    """Service whose targets run its tasks."""

    priority: int = 0
    """Order among routes; 0 goes first."""

    timeout_s: float = 0.0
    """What operators set as the longest time of a call, in seconds; 0: nothing. It ends
    no job: how long the caller of a job waits, its request tells."""

    latency_objective_s: float = 0.0
    """Time that a job may take beyond ``stretch`` times its own work, in seconds."""

    stretch: float = 1.0
    """Time that a job may take, as a multiple of its longest chain of tasks."""

    max_attempts: int = 1
    """Runs of a task that may fail before its job has failed."""

    advice: AdvicePolicy | None = None
    """Set where only some targets may run a group, and a service knows which."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A pool of targets that run the same program."""

    name: str
    """Its name in the configuration."""

    admission_check: bool = True
    """Whether its targets refuse what exceeds their capacity."""

    connections_per_target: int = 64
    """Connections that each target takes."""

    spare: bool = False
    """Whether its hosts are switched off and held in reserve."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Bounds on callers' requests."""

    header_bytes: int = 16 * 1024
    """Size of the headers of one request."""

    body_bytes: int = 256 * 1024
    """Size of the body of one request."""

    idle_timeout_s: float = 15.0
    """Time after which an unused connection is closed, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingTable:
    """One version of the configuration that operators publish."""

    version: int
    """Rises with each change, in uneven steps."""

    routes: tuple[Route, ...] = ()
    """Every queue."""

    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    """Every pool of targets."""

    limits: RequestLimits = field(default_factory=RequestLimits)
    """Bounds on callers' requests."""

    document: bytes = b""
    """The version as it was published, to hand it on unchanged."""

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request: its host, then the longest prefix.

        :param host: host name without a port.
        :param path: path of the request.
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
    """What a target publishes of itself."""

    target_id: str
    """Names one life of the target's process."""

    address: str
    """Where it listens, ``host:port``."""

    service: str
    """Service that it belongs to."""

    failure_domain: str
    """Where it runs."""

    capacity: Resources
    """What its worker has for tasks."""

    labels: frozenset[str] = frozenset()
    """The worker's kind and its rack."""

    leaving: bool = False
    """Whether it finishes what it runs and takes nothing new."""

    remaining_s: float = 0.0
    """While leaving: the least time until it is gone, in seconds."""

    slow_start_s: float = 0.0
    """How much longer it works slowly after its start, in seconds."""

    sequence: int = field(default=0, compare=False)
    """Rises with each report of one life; tells an older one that comes later."""


class RunEnd(Enum):
    """How a run ended."""

    DONE = auto()
    """It finished its work."""

    FAILED = auto()
    """Through its own fault or the target's."""

    STOPPED = auto()
    """It was told to."""

    LEASE_EXPIRED = auto()
    """Nobody renewed the lease."""

    PEER_ENDED = auto()
    """Another member of its gang ended."""

    NO_PEERS = auto()
    """It waited for the rest of its gang in vain."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningTask:
    """A run that a target lists as under way."""

    ref: TaskRef
    """Which task."""

    run: int
    """Number of the start."""

    checkpoint: str
    """Progress that it saved; empty: none."""

    percent: int
    """Share of its work that is done, 0 to 100."""

    recent_load: float = 0.0
    """Over the last half second: tail latency in milliseconds of a task that serves
    users, processor use in thousandths of a core of any other."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedRun:
    """A run that a target lists as over."""

    sequence: int
    """Rises by one with each end in one life of the target, from 1."""

    ref: TaskRef
    """Which task."""

    run: int
    """Number of the start."""

    end: RunEnd
    """How it ended."""

    checkpoint: str = ""
    """Progress that it saved; empty: none."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseReport:
    """Answer of a target to the renewal of its lease."""

    clock_ms: int
    """The target's own steady clock, in milliseconds."""

    running: tuple[RunningTask, ...]
    """Everything that runs there."""

    ended: tuple[EndedRun, ...]
    """Ends that were not acknowledged yet, in order."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Leave to start a group's tasks on one target."""

    target_id: str
    """The target."""

    value: str
    """Passed on with each start there."""


class StartAnswer(Enum):
    """What a target said to a start."""

    STARTED = auto()
    """It runs, or the same run already did."""

    SUPERSEDED = auto()
    """A later leader gives the orders there."""

    OUTDATED = auto()
    """The same task had this run or a later one there already."""

    LATE = auto()
    """The time until which it could begin was over."""

    NO_ROOM = auto()
    """Its resources are not free there."""

    NO_TICKET = auto()
    """The group may not run there, or its leave ran out."""

    UNHEALTHY = auto()
    """The target refuses work; nothing was done."""

    OTHER_LIFE = auto()
    """Another life of the target answered at this address."""

    INVALID = auto()
    """The order was malformed."""

    UNREACHABLE = auto()
    """The connection was refused, so the order was not taken."""

    UNKNOWN = auto()
    """No answer came: it may run, now or later."""
