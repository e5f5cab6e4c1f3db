"""State of a leader: jobs, tasks, runs and targets."""

from collections import Counter, OrderedDict, deque
from collections.abc import Set as AbstractSet
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
    ForecastError,
    GroupKey,
    JobQueue,
    RoomForecast,
    SharedTarget,
    SpeedEffect,
    SpeedModel,
    TargetIndex,
    needs_fast_target,
)
from cassiaturn.workload._settings import WorkloadSettings


class Verdict(Enum):
    """How a job ended, as its caller is told."""

    COMPLETED = auto()
    """Every task is done."""

    FAILED = auto()
    """One of its tasks failed as often as its route allows."""

    REFUSED = auto()
    """None of its tasks was started, and none will be for this submission."""

    ABANDONED = auto()
    """It was started and then given up, or its leader is unreachable. Its caller may
    submit it again after a pause long enough for its remaining runs to end."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The final answer to one submission."""

    verdict: Verdict
    """How it ended."""

    reason: str
    """The rule that decided, as logged."""

    retry_after_s: float = 0.0
    """When to retry, in seconds from now; 0: a retry does not help."""


CANCELLED = Outcome(verdict=Verdict.FAILED, reason="cancelled")
"""Outcome of a job that its caller has cancelled."""


class RunState(Enum):
    """State of a run as far as the leader knows."""

    STARTING = auto()
    """The order to start was sent and not answered yet."""

    RUNNING = auto()
    """Its target confirmed or listed it."""

    UNCERTAIN = auto()
    """The order to start got no answer: the task may run, or start later."""

    STOPPING = auto()
    """It is no longer needed, and its target was ordered to stop it."""


@dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """One attempt to run a task, until it has certainly ended."""

    ref: TaskRef
    """The task."""

    number: int
    """Run number; rises with every start of the task."""

    target_id: str
    """Target on which it runs."""

    group: TaskGroup | None
    """Group that tells its resources; None: a target listed it and its job is
    unknown."""

    state: RunState
    """Its state."""

    started_at: float
    """When the order to start was sent, or the run first listed, in seconds."""

    last_reported_at: float
    """Time of the target's last answer about it, in seconds."""

    is_adopted: bool = False
    """Whether an earlier leader started it, so that its length is not known."""

    is_acknowledged: bool = False
    """Whether its target has answered an order about it, or listed it. From then on it
    has ended if a list that was requested later leaves it out; before that, the order
    to start may still be in transit."""

    first_seen_clock_ms: int | None = None
    """Its target's clock when the target confirmed or first listed the run, in
    milliseconds; None: neither has happened."""

    remote_factor: float = 1.0
    """How many times as long it takes because its target is not on the rack that its
    task names."""

    percent: int = 0
    """Share of its work that is done, in percent, as last listed."""

    least_run_s: float = 0.0
    """Lower bound of its total length, derived from its progress, in seconds; 0:
    unknown."""

    progress_changed_at: float = 0.0
    """When its progress last changed, in seconds."""

    order_sent_at: float = 0.0
    """When the last order to stop it was sent, in seconds."""

    @property
    def group_key(self) -> GroupKey:
        """Key of its group."""
        return GroupKey(self.ref.job_id, self.ref.occurrence, self.ref.group)


@dataclass(slots=True, kw_only=True, eq=False)
class Task:
    """One task of a job that has not ended."""

    ref: TaskRef
    """Its reference."""

    group: TaskGroup
    """Its group, which tells its resources."""

    next_run: int
    """Run number of its next start."""

    failures: int = 0
    """Number of its runs that ended as failed."""

    run: Run | None = None
    """Its current run; None: it waits or is done."""

    done: bool = False
    """Whether one of its runs has completed."""

    first_started_at: float = 0.0
    """When its first run started, in seconds; 0: none has."""

    last_started_at: float = 0.0
    """When its last run started, in seconds; 0: none has."""

    last_target_id: str = ""
    """Target of its last or current run; empty: none has started."""

    length_s: float = 0.0
    """Length of its completed run, in seconds; 0: not known."""

    remote_factor: float = 1.0
    """That of its last run, see :class:`Run`."""

    avoided: frozenset[str] = frozenset()
    """Ids of targets on which it failed or stalled."""

    def assign_run(self, run: Run) -> None:
        """Set the task's current run."""
        self.run = run
        self.first_started_at = self.first_started_at or run.started_at
        self.last_started_at = run.started_at
        self.last_target_id = run.target_id
        self.remote_factor = run.remote_factor


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A submission from its acceptance to its outcome."""

    request: JobRequest
    """What its caller asked for."""

    route: Route
    """The route by which it came, as configured at that time."""

    arrived_at: float
    """When its caller sent it, in seconds."""

    deadlines: Deadlines
    """Times until which its answer is on time, useful, and still awaited."""

    expected_run_s: float
    """Expected length of its longest chain of tasks, in seconds."""

    origins: set[str]
    """Members whose callers wait for it."""

    tasks_by_ref: dict[TaskRef, Task]
    """Every task of the job."""

    waiting: list[Task]
    """Tasks without a run, in start order."""

    remaining_by_group: list[int]
    """Number of tasks of each group that are not done."""

    least_cpu_millis: int
    """Least CPU that one of its tasks needs, in thousandths of a core."""

    hold_until: float = 0.0
    """Until then one of its tasks may still run under an earlier leader, unless every
    target has reported; in seconds."""

    earlier_tokens: frozenset[int] | None = frozenset()
    """Tokens of the earlier leaders that may have runs of it; None: not told."""

    failure_domain: str = ""
    """Failure domain of the member that first passed it on; empty: not known."""

    is_confirmed: bool = True
    """Whether it may be started. Until it is confirmed, its caller's member would tell
    a later leader that the job never began."""

    begun: bool = False
    """Whether a start may ever have been ordered. Its caller must then not be told that
    it did not run."""

    is_prompt: bool = False
    """Whether its first task was started early enough for an answer in time."""

    forecast_start_at: float | None = None
    """When its first task was expected to start, in seconds; None: there is no
    forecast."""

    @property
    def job_id(self) -> str:
        """Its id."""
        return self.request.job_id

    @property
    def priority(self) -> int:
        """Priority of its route; 0 goes first."""
        return self.route.priority

    @property
    def is_new(self) -> bool:
        """Whether none of its tasks has a run or is done."""
        return len(self.waiting) == len(self.tasks_by_ref)

    @property
    def has_waiting(self) -> bool:
        """Whether any of its tasks waits."""
        return bool(self.waiting)

    @property
    def waiting_cpu_millis(self) -> int:
        """Total CPU that its waiting tasks need, in thousandths of a core."""
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
        """Number of tasks that are not done."""
        return sum(self.remaining_by_group)

    def is_open(self, group: int) -> bool:
        """Return whether all groups that a group depends on are done."""
        after = self.request.groups[group].after
        return all(self.remaining_by_group[earlier] == 0 for earlier in after)


@dataclass(slots=True, kw_only=True, eq=False)
class Target(SharedTarget):
    """A target that this leader uses, with its runs."""

    service: str
    """Name of its service."""

    runs_by_ref: dict[TaskRef, Run] = field(default_factory=dict)
    """Runs that are, or may be, on it."""

    leaving: bool = False
    """Whether it is draining: it finishes its runs and takes no new ones."""

    has_reported: bool = False
    """Whether it has listed its runs to this leader and was not lost since. Until then
    another leader may start tasks there."""

    silent: bool = False
    """Whether it does not answer; its runs end when its lease expires."""

    paused_until: float = 0.0
    """Time before which it gets no start, in seconds."""

    failures_in_row: int = 0
    """Number of runs that failed there since the last success."""

    incarnation: int = 0
    """The incarnation that its directory entry describes; 0: not told."""

    listed_incarnation: int = 0
    """The incarnation that has listed its runs; 0: not told."""

    ended_seen: int = 0
    """Sequence number of the last end of this incarnation that was processed."""

    stray_refs: set[TaskRef] = field(default_factory=set)
    """Tasks of which the last list has a run that is not theirs; all are ordered to
    stop."""

    list_requested_at: float = 0.0
    """When the last list that was processed was requested, in seconds."""

    @property
    def is_described(self) -> bool:
        """Whether its directory entry is of the process that listed its runs.

        Else the target has restarted, and may be of another kind or draining.
        """
        return (
            self.incarnation == self.listed_incarnation
            or not self.incarnation
            or not self.listed_incarnation
        )

    @property
    def usage_is_known(self) -> bool:
        """Whether the resources of all runs there, certain or possible, are known."""
        return not self.stray_refs and all(
            run.group is not None for run in self.runs_by_ref.values()
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedJob:
    """What is kept of a job that has ended."""

    outcome: Outcome | None
    """Its outcome; None: its caller left, so that it may run again."""

    next_run: int
    """A run number above those of all its runs."""

    at: float
    """When it ended, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UnclaimedEnd:
    """The end of a run of a job that no member has passed on to this leader yet."""

    ended: EndedRun
    """The run and how it ended."""

    target_id: str
    """Target on which it ran."""

    at: float
    """When it was listed, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UsableCpu:
    """Total CPU of the usable targets of a service."""

    cpu_millis: int
    """In thousandths of a core."""

    at: float
    """When it was counted, in seconds."""


@dataclass(slots=True, kw_only=True)
class Counters:
    """Counters for a leader's metrics."""

    starts: int = 0
    """Orders to start that were sent."""

    remote_starts: int = 0
    """Orders to start a task on another rack than the one it names."""

    refused_starts: int = 0
    """Orders to start that a target refused."""

    stops: int = 0
    """Orders to stop that were sent, without repetitions."""

    lost_runs: int = 0
    """Runs that ended because their target was lost or no longer listed them."""

    completed: int = 0
    """Jobs whose tasks were all done."""

    failed: int = 0
    """Jobs that failed or were abandoned after their start."""

    refused: int = 0
    """Jobs refused before anything started."""

    refused_by_forecast: int = 0
    """Those refused on arrival since their forecast answer is too late."""

    refused_hopeless: int = 0
    """Those refused while queued since their answer can no longer be useful."""


@dataclass(slots=True, kw_only=True)
class StartCounts:
    """Starts of an interval, and the answers of jobs that were started in time."""

    starts: int = 0
    """Tasks that were started."""

    jobs: int = 0
    """Jobs whose first task was started."""

    late_jobs: int = 0
    """Those among them that were started too late for an answer in time."""

    waited_s: float = 0.0
    """Sum of their waits from arrival to the first start, in seconds."""

    longest_wait_s: float = 0.0
    """Longest of these waits, in seconds."""

    answers: int = 0
    """Completed jobs whose first task was started early enough to be in time."""

    late_answers: int = 0
    """Those among them that were completed late."""

    def note_first_start(self, waited_s: float, *, is_late: bool) -> None:
        """Count the first start of a job.

        :param waited_s: time since the job arrived, in seconds.
        :param is_late: whether its answer cannot be in time any more.
        """
        self.jobs += 1
        self.late_jobs += is_late
        self.waited_s += waited_s
        self.longest_wait_s = max(self.longest_wait_s, waited_s)

    def add(self, other: "StartCounts") -> None:
        """Add the counts of a later interval."""
        self.starts += other.starts
        self.jobs += other.jobs
        self.late_jobs += other.late_jobs
        self.waited_s += other.waited_s
        self.longest_wait_s = max(self.longest_wait_s, other.longest_wait_s)
        self.answers += other.answers
        self.late_answers += other.late_answers


@dataclass(slots=True, kw_only=True)
class ForecastState:
    """What a leader that admits jobs by a forecast knows for it."""

    starts_per_s: float = float("inf")
    """Starts that its processor can make in a second; infinite: not known."""

    room_by_service: dict[str, RoomForecast] = field(default_factory=dict)
    """Runs in progress and capacity of each service's targets."""

    error_by_priority: dict[int, ForecastError] = field(default_factory=dict)
    """Errors of earlier forecasts. Each priority has its own, since the less urgent
    ones wait for more urgent jobs that arrive after them."""

    latest_starts: list[tuple[float, str]] = field(default_factory=list)
    """Heap of the latest times, in seconds, at which queued jobs may start so that
    their answers are useful, with the jobs' ids."""

    to_check: "deque[str]" = field(default_factory=deque)
    """Ids of queued jobs whose forecast is checked next."""

    reconciled_at: float = float("-inf")
    """When all targets were counted last, in seconds."""


@dataclass(slots=True, kw_only=True)
class Tables:
    """All state on which the scheduling functions of a leader work."""

    settings: WorkloadSettings
    """Time limits."""

    term: int
    """Term of this leadership; a later one has a higher number."""

    began_at: float
    """When this term began, in seconds."""

    knows_targets: bool = False
    """Whether it began with all targets to which its predecessor gave orders, and has
    since removed none on which another leader may start tasks."""

    covered_tokens: frozenset[int] = frozenset()
    """Tokens of this leader in its term and of its predecessor: all targets to which
    they gave orders are known."""

    predecessor_tokens: frozenset[int] = frozenset()
    """Tokens of its predecessor."""

    is_handed_over: bool = False
    """Whether its predecessor told, when it stepped down, that it gave starts only to
    targets that this leader knew when it began."""

    other_lists: dict[str, int] = field(default_factory=dict)
    """Members that knew other targets than this leader when they joined it, each with
    a digest of these: the predecessor may have started their tasks there."""

    same_targets_tokens: frozenset[int] = frozenset()
    """Tokens of other leaders that knew the same targets when they stepped down: two
    members claimed at once, or a partition healed soon."""

    unheard_by_predecessor: frozenset[str] = frozenset()
    """Targets that had not reported to the predecessor, so that it has no runs there;
    as it told when it stepped down."""

    jobs_by_id: dict[str, Job] = field(default_factory=dict)
    """Jobs without an outcome; add, requeue and remove them by the methods below."""

    queue_by_service: dict[str, JobQueue[Job]] = field(default_factory=dict)
    """Jobs with tasks to start, in queue order."""

    usable_cpu_by_service: dict[str, UsableCpu] = field(default_factory=dict)
    """Cached CPU of each service's usable targets."""

    unreached_since_by_service: dict[str, float] = field(default_factory=dict)
    """Since when no target of a service has answered, in seconds; absent: one does."""

    ended_jobs_by_id: "OrderedDict[str, EndedJob]" = field(default_factory=OrderedDict)
    """Jobs that ended recently, oldest first."""

    unconfirmed_ids: AbstractSet[str] = frozenset()
    """New targets that some follower does not know yet. They get no start: a follower
    that leads next would not look for runs there."""

    unreported_ids: set[str] = field(default_factory=set)
    """Targets on which this leader has no runs: they have not listed their runs to it,
    or were lost since, so that their leases are over."""

    targets_by_id: dict[str, Target] = field(default_factory=dict)
    """All targets of the directory; add and remove them by the methods below."""

    index_by_service: dict[str, TargetIndex[Target]] = field(default_factory=dict)
    """Targets of each service, indexed by their free resources."""

    speeds_by_service: dict[str, SpeedModel] = field(default_factory=dict)
    """Estimated speeds of each service's targets."""

    runs_by_ref: dict[TaskRef, Run] = field(default_factory=dict)
    """All runs that have not certainly ended, so that no task runs twice at once."""

    stray_runs_by_ref: "Counter[TaskRef]" = field(default_factory=Counter)
    """Number of targets on which a task has a run that is not its own. The task starts
    only after these have certainly ended."""

    unclaimed_ends_by_ref: "OrderedDict[TaskRef, UnclaimedEnd]" = field(
        default_factory=OrderedDict
    )
    """Ends of completed and failed tasks of unknown jobs, oldest first."""

    expected: ExpectedRuns = field(default_factory=ExpectedRuns)
    """Expected run times of each route."""

    inherited_effects_by_id: dict[str, SpeedEffect] = field(default_factory=dict)
    """Own speed effects of targets that an earlier leader learned and that have not
    been added yet."""

    routing: RoutingTable | None = None
    """Routing configuration in force; None: not known yet."""

    unheard_members: AbstractSet[str] = frozenset()
    """Members that may have left this leader while its process was paused. Their jobs
    do not start before they have answered it."""

    drained_domains: frozenset[str] | None = frozenset()
    """Failure domains whose targets get no start; None: not known yet, so that nothing
    starts."""

    counters: Counters = field(default_factory=Counters)
    """Counters for the metrics."""

    left_waited_share: float = 0.0
    """Part of the time until its latest start in time that the first job has waited
    which the last pass left although targets have room for it; 0: it left none."""

    start_counts: StartCounts = field(default_factory=StartCounts)
    """Starts and answers since the last sample of the leader's load."""

    forecast: ForecastState | None = None
    """State of admission by forecast; None: jobs are admitted by another policy."""

    def __post_init__(self) -> None:
        """Prepare for the admission policy of the settings."""
        if self.settings.admission == "forecast" and self.forecast is None:
            self.forecast = ForecastState()

    def knows_runs_of(
        self,
        earlier_tokens: frozenset[int] | None,
        origins: AbstractSet[str] = frozenset(),
    ) -> bool:
        """Return whether the lists of targets contain all runs of a job.

        :param earlier_tokens: tokens of the leaders that had it; None: not told.
        :param origins: members that passed it on.
        """
        if not earlier_tokens or not self.knows_targets:
            return False
        if self.may_lack_targets_of(earlier_tokens, origins):
            return False
        if earlier_tokens <= self.covered_tokens:
            return self.unreported_ids <= self.unheard_by_predecessor
        if not earlier_tokens <= self.covered_tokens | self.same_targets_tokens:
            return False
        # Another leader may have started tasks on a target after its last list.
        return not self.unreported_ids and not any(
            target.silent for target in self.targets_by_id.values()
        )

    def may_lack_targets_of(
        self, earlier_tokens: frozenset[int], origins: AbstractSet[str]
    ) -> bool:
        """Return whether the predecessor may have runs on targets not known here.

        :param earlier_tokens: tokens of the leaders that had a job.
        :param origins: members that passed it on.
        """
        return (
            not self.is_handed_over
            and not self.other_lists.keys().isdisjoint(origins)
            and not earlier_tokens.isdisjoint(self.predecessor_tokens)
        )

    def note_reported(self, target: Target) -> None:
        """Record that a target has listed its runs."""
        target.has_reported = True
        self.unreported_ids.discard(target.target_id)

    def note_lost(self, target: Target) -> None:
        """Record that no run of this leader is left on a target.

        Across a partition another leader may start tasks there from now on.
        """
        target.has_reported = False
        self.unreported_ids.add(target.target_id)

    def may_start_on(self, target: Target) -> bool:
        """Return whether operators are known to allow starts on a target."""
        return self.drained_domains is not None and not self.is_drained(target)

    def is_drained(self, target: Target) -> bool:
        """Return whether operators drain a target's failure domain."""
        return target.failure_domain in (self.drained_domains or ())

    def add_job(self, job: Job, now: float) -> None:
        """Add a job and queue it.

        :param now: time in seconds.
        """
        self.jobs_by_id[job.job_id] = job
        queue = self.queue_by_service.setdefault(job.route.service, JobQueue())
        queue.advance(now)
        queue.put(job)

    def requeue(self, job: Job) -> None:
        """Update a job's position in the queue after its waiting tasks changed."""
        if job.job_id in self.jobs_by_id:
            self.queue_by_service[job.route.service].put(job)

    def remove_job(self, job: Job) -> None:
        """Remove a job and take it out of the queue."""
        del self.jobs_by_id[job.job_id]
        self.queue_by_service[job.route.service].discard(job)

    def add_target(self, target: Target) -> None:
        """Add a target and index it."""
        self.targets_by_id[target.target_id] = target
        self.unreported_ids.add(target.target_id)
        speed_model = self.speeds_by_service.setdefault(target.service, SpeedModel())
        target.speed = speed_model.new_estimate(
            target.labels, own=self.inherited_effects_by_id.pop(target.target_id, None)
        )
        self.index_by_service.setdefault(target.service, TargetIndex()).add(target)

    def may_still_run(self, ref: TaskRef) -> bool:
        """Return whether an earlier run of a task may still be in progress."""
        return ref in self.runs_by_ref or ref in self.stray_runs_by_ref

    def set_stray_runs(self, target: Target, refs: set[TaskRef]) -> None:
        """Record the tasks of which a target has a run that is not theirs."""
        for ref in target.stray_refs - refs:
            self.stray_runs_by_ref[ref] -= 1
            if not self.stray_runs_by_ref[ref]:
                del self.stray_runs_by_ref[ref]
        self.stray_runs_by_ref.update(refs - target.stray_refs)
        target.stray_refs = refs

    def remove_target(self, target_id: str) -> None:
        """Remove a target."""
        target = self.targets_by_id.pop(target_id)
        self.unreported_ids.discard(target_id)
        self.index_by_service[target.service].remove(target)

    def has_responding_target(self, service: str) -> bool:
        """Return whether any target of a service that may get a start responds."""
        return any(
            target.service == service
            and target.has_reported
            and not target.silent
            and self.may_start_on(target)
            for target in self.targets_by_id.values()
        )

    def checks_admission(self, service: str) -> bool:
        """Return whether a service's targets refuse a start that does not fit."""
        services = self.routing.services_by_name if self.routing is not None else {}
        return service in services and services[service].admission_check

    @property
    def all_targets_reported(self) -> bool:
        """Whether every target has listed its runs to this leader."""
        return not self.unreported_ids
