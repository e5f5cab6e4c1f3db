"""The rows that a leader keeps: jobs, tasks, runs, targets."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

from cassiaturn.entities import (
    EndedRun,
    JobRequest,
    Route,
    RoutingTable,
    TaskGroup,
    TaskRef,
)
from cassiaturn.sharing import (
    Deadlines,
    ExpectedRuns,
    GroupKey,
    JobQueue,
    SharedTarget,
    SpeedBook,
    TargetIndex,
    needs_fast_target,
)
from cassiaturn.workload._settings import WorkloadSettings


class Verdict(Enum):
    """How a job ended, for its caller."""

    COMPLETED = auto()
    """Every task is done."""

    FAILED = auto()
    """A task of it failed as often as its route allows."""

    REFUSED = auto()
    """No task of it was started, and none will be for this submission."""

    ABANDONED = auto()
    """It was begun and is given up, or whoever looked after it is gone. Its caller
    may submit it again after a pause that outlasts what still runs."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The final answer to one submission."""

    verdict: Verdict
    """How it ended."""

    reason: str
    """The rule that decided, as it stands in the log."""

    retry_after_s: float = 0.0
    """When to come back, in seconds; 0: coming back does not help."""


class RunState(Enum):
    """Where a run stands, as far as the leader knows."""

    STARTING = auto()
    """The order was sent; no answer yet."""

    RUNNING = auto()
    """Its target confirmed or listed it."""

    UNCERTAIN = auto()
    """The order got no answer: it may run, or begin later."""

    STOPPING = auto()
    """Nobody wants it; its target was told."""


@dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """One start of a task, until it is certainly over."""

    ref: TaskRef
    """Which task."""

    number: int
    """Number of the start; rises with every start of the task."""

    target_id: str
    """Where."""

    group: TaskGroup | None
    """What it takes; None: listed by a target, of a job unknown here."""

    state: RunState
    """Where it stands."""

    started_at: float
    """When the order was sent, or the run first seen, in seconds."""

    last_reported_at: float
    """Time of the last answer about it, in seconds."""

    is_adopted: bool = False
    """Whether an earlier leader started it, so that its length is not known."""

    is_acknowledged: bool = False
    """Whether its target has answered an order about it, or listed it. From then on
    a list that was asked for later and leaves it out proves that it is over; before,
    the order to start it may still be on its way."""

    first_seen_clock_ms: int | None = None
    """What its target's clock showed when it confirmed or first listed the run, in
    milliseconds; None: it has not."""

    percent: int = 0
    """Share of its work that is done, as last listed."""

    least_run_s: float = 0.0
    """Lower bound of its whole length by its progress, in seconds; 0: not known."""

    progress_changed_at: float = 0.0
    """When that share last changed, in seconds."""

    order_sent_at: float = 0.0
    """When the last order to stop it was sent, in seconds."""

    @property
    def group_key(self) -> GroupKey:
        """The group that it belongs to."""
        return GroupKey(self.ref.job_id, self.ref.occurrence, self.ref.group)


@dataclass(slots=True, kw_only=True, eq=False)
class Task:
    """One task of a job that is not over."""

    ref: TaskRef
    """Which task."""

    group: TaskGroup
    """What it asks for."""

    next_run: int
    """Number of its next start."""

    failures: int = 0
    """Runs that ended as failed."""

    run: Run | None = None
    """Its run; None: it waits."""

    done: bool = False
    """Whether a run of it is done."""

    first_started_at: float = 0.0
    """When its first run began, in seconds; 0: none has."""

    last_started_at: float = 0.0
    """When its last run began, in seconds; 0: none has."""

    last_target_id: str = ""
    """Where its last run was, or is; empty: none began."""

    length_s: float = 0.0
    """How long the run took that is done, in seconds; 0: none is."""

    avoided: frozenset[str] = frozenset()
    """Targets that failed it."""

    def assign_run(self, run: Run) -> None:
        """Make a run the task's own."""
        self.run = run
        self.first_started_at = self.first_started_at or run.started_at
        self.last_started_at = run.started_at
        self.last_target_id = run.target_id


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A submission from its acceptance to its outcome."""

    request: JobRequest
    """What its caller asked for."""

    route: Route
    """The queue that it came by, as configured at that time."""

    arrived_at: float
    """When its caller sent it, in seconds."""

    deadlines: Deadlines
    """Until when its answer is worth what."""

    expected_run_s: float
    """Expected length of its longest chain of tasks, in seconds."""

    origins: set[str]
    """Members whose callers wait for it."""

    tasks_by_ref: dict[TaskRef, Task]
    """Every task."""

    waiting: list[Task]
    """Tasks without a run, in order."""

    remaining_by_group: list[int]
    """Tasks of each group that are not done."""

    least_cpu_millis: int
    """Least that a task of it asks for, in thousandths of a core."""

    hold_until: float = 0.0
    """Before this time a task may still run under an earlier leader, unless every
    target is heard; in seconds."""

    failure_domain: str = ""
    """Where the member runs that passed it on first; empty: not known."""

    is_confirmed: bool = True
    """Whether it may be started. The member of a caller tells a later leader that a job
    which it has not confirmed never began."""

    begun: bool = False
    """Whether a start of it was ever sent, so that "not run" would be untrue."""

    @property
    def job_id(self) -> str:
        """Its id."""
        return self.request.job_id

    @property
    def priority(self) -> int:
        """Of its route; 0 goes first."""
        return self.route.priority

    @property
    def is_new(self) -> bool:
        """Whether none of its tasks has started, or all have to start again."""
        return len(self.waiting) == len(self.tasks_by_ref)

    @property
    def has_waiting(self) -> bool:
        """Whether a task of it waits."""
        return bool(self.waiting)

    @property
    def waiting_cpu_millis(self) -> int:
        """What its waiting tasks ask for together, in thousandths of a core."""
        return sum(task.group.resources.cpu_millis for task in self.waiting)

    @property
    def is_tight(self) -> bool:
        """Whether its tasks need a large part of the time that its caller waits."""
        return needs_fast_target(
            expected_run_s=self.expected_run_s,
            limit_s=self.deadlines.limit_at - self.arrived_at,
        )

    @property
    def remaining(self) -> int:
        """Tasks that are not done."""
        return sum(self.remaining_by_group)

    def is_open(self, group: int) -> bool:
        """Return whether all groups that a group waits for are done."""
        after = self.request.groups[group].after
        return all(self.remaining_by_group[earlier] == 0 for earlier in after)


@dataclass(slots=True, kw_only=True, eq=False)
class Target(SharedTarget):
    """A target of the leader's, with what runs there."""

    service: str
    """Service that it belongs to."""

    runs_by_ref: dict[TaskRef, Run] = field(default_factory=dict)
    """What runs there, or may."""

    leaving: bool = False
    """It finishes what it runs and takes nothing new."""

    has_reported: bool = False
    """Whether it has told this leader what it runs, and has answered since. While it
    has not, another leader may have tasks run there."""

    silent: bool = False
    """It does not answer; what runs there ends with its lease."""

    paused_until: float = 0.0
    """It gets no start before, in seconds."""

    failures_in_row: int = 0
    """Runs that failed there since the last success."""

    ended_seen: int = 0
    """Sequence of the last end that was taken in."""

    unexpected_runs: int = 0
    """Second runs of tasks, told to stop, in the last list."""

    list_requested_at: float = 0.0
    """When the last list that was taken in was asked for, in seconds."""

    @property
    def usage_is_known(self) -> bool:
        """Whether all that runs there, or may, is counted with what it takes."""
        return not self.unexpected_runs and all(
            run.group is not None for run in self.runs_by_ref.values()
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedJob:
    """What is remembered of a job that has ended."""

    outcome: Outcome | None
    """Its final answer; None: its caller left, so that it may run again."""

    next_run: int
    """Above the number of every run of it."""

    at: float
    """When it ended, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UnclaimedEnd:
    """The end of a run whose job nobody has passed on to this leader yet."""

    ended: EndedRun
    """How it ended."""

    target_id: str
    """Where."""

    at: float
    """When it was listed, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UsableCpu:
    """What the usable targets of a service had in all."""

    cpu_millis: int
    """In thousandths of a core."""

    at: float
    """When it was counted, in seconds."""


@dataclass(slots=True, kw_only=True)
class Counters:
    """What a leader did, for its metrics."""

    starts: int = 0
    """Orders to start."""

    refused_starts: int = 0
    """Orders to start that a target refused."""

    stops: int = 0
    """Orders to stop."""

    lost_runs: int = 0
    """Runs that ended with their target or its lease."""

    completed: int = 0
    """Jobs whose every task was done."""

    failed: int = 0
    """Jobs that were begun and given up."""

    refused: int = 0
    """Jobs refused before anything started."""


@dataclass(slots=True, kw_only=True)
class Tables:
    """Everything that the systems of a leader run over."""

    settings: WorkloadSettings
    """Times and limits."""

    term: int
    """Which leadership this is; a later one has a higher number."""

    began_at: float
    """When it began, in seconds."""

    knows_targets: bool = False
    """Whether it began with every target that its predecessor gave orders to."""

    jobs_by_id: dict[str, Job] = field(default_factory=dict)
    """Jobs without an outcome; added, changed and removed by the methods below."""

    queue_by_service: dict[str, JobQueue[Job]] = field(default_factory=dict)
    """Jobs with tasks to start, in order."""

    usable_cpu_by_service: dict[str, UsableCpu] = field(default_factory=dict)
    """Processors of each service's usable targets, counted lately."""

    unreached_since_by_service: dict[str, float] = field(default_factory=dict)
    """Since when no target of a service answers, in seconds; not there: one does."""

    ended_jobs_by_id: "OrderedDict[str, EndedJob]" = field(default_factory=OrderedDict)
    """Jobs that ended lately, oldest first."""

    targets_by_id: dict[str, Target] = field(default_factory=dict)
    """Every target of the directory; added and removed by the methods below."""

    index_by_service: dict[str, TargetIndex[Target]] = field(default_factory=dict)
    """The targets of each service, by what they have free."""

    speeds_by_service: dict[str, SpeedBook] = field(default_factory=dict)
    """What is known of the speeds of each service's targets."""

    runs_by_ref: dict[TaskRef, Run] = field(default_factory=dict)
    """Every run that is not certainly over, so that no task runs twice at once."""

    unclaimed_ends_by_ref: "OrderedDict[TaskRef, UnclaimedEnd]" = field(
        default_factory=OrderedDict
    )
    """Tasks that ended done or failed, of jobs unknown here, oldest first."""

    expected: ExpectedRuns = field(default_factory=ExpectedRuns)
    """Run times of the routes."""

    routing: RoutingTable | None = None
    """The configuration in force."""

    counters: Counters = field(default_factory=Counters)
    """For the metrics."""

    def add_job(self, job: Job, now: float) -> None:
        """Take a job in, and queue it."""
        self.jobs_by_id[job.job_id] = job
        queue = self.queue_by_service.setdefault(job.route.service, JobQueue())
        queue.advance(now)
        queue.put(job)

    def requeue(self, job: Job) -> None:
        """Give a job its place again after other tasks of it wait than before."""
        if job.job_id in self.jobs_by_id:
            self.queue_by_service[job.route.service].put(job)

    def remove_job(self, job: Job) -> None:
        """Let a job go."""
        del self.jobs_by_id[job.job_id]
        self.queue_by_service[job.route.service].discard(job)

    def add_target(self, target: Target) -> None:
        """Take a target in."""
        self.targets_by_id[target.target_id] = target
        book = self.speeds_by_service.setdefault(target.service, SpeedBook())
        target.pace = book.pace_for(target.labels)
        self.index_by_service.setdefault(target.service, TargetIndex()).add(target)

    def remove_target(self, target_id: str) -> None:
        """Let a target go."""
        target = self.targets_by_id.pop(target_id)
        self.index_by_service[target.service].remove(target)

    def has_responding_target(self, service: str) -> bool:
        """Return whether a target of a service answers."""
        return any(
            target.service == service and target.has_reported and not target.silent
            for target in self.targets_by_id.values()
        )

    def checks_admission(self, service: str) -> bool:
        """Return whether a service's targets refuse a start that does not fit."""
        known = self.routing.services_by_name if self.routing is not None else {}
        return service in known and known[service].admission_check

    @property
    def all_targets_reported(self) -> bool:
        """Whether every target has told this leader what runs there."""
        return all(target.has_reported for target in self.targets_by_id.values())
