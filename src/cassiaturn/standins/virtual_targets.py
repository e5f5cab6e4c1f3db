"""Virtual targets, and a leader whose tables schedule tasks on them.

For tests and benchmarks of decisions: without a network or a clock, a run with the same
input gives the same result.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from cassiaturn import workload
from cassiaturn.entities import (
    EndedRun,
    JobRequest,
    LeaseReport,
    Resources,
    Route,
    RunEnd,
    RunningTask,
    StartAnswer,
    TargetReport,
    TaskGroup,
    TaskRef,
)
from cassiaturn.observability import Event
from cassiaturn.sharing import remote_rack_factor
from cassiaturn.workload import (
    Job,
    Outcome,
    Run,
    StartOrder,
    Submission,
    Tables,
    Verdict,
    WorkloadSettings,
)

WAY_S = 0.001
"""One-way delay of an order or an answer, in seconds."""

LEASE_S = 1.0
"""Length of a lease, in seconds."""

ROUTE = Route(
    name="quick",
    host="",
    prefix="/",
    service="svc",
    priority=0,
    timeout_s=1.5,
    latency_objective_s=0.06,
    stretch=1.6,
    max_attempts=2,
)


@dataclass(slots=True, kw_only=True)
class VirtualRun:
    """A run at a virtual target."""

    ref: TaskRef
    """The task."""

    number: int
    """Run number of its start."""

    group: TaskGroup
    """Group of the task, which tells its resources."""

    began_at: float
    """When it began, in seconds."""

    length_s: float
    """How long it runs, in seconds; infinite: it hangs."""

    fails: bool = False
    """Whether it ends as failed."""

    def percent(self, now: float) -> int:
        """Return the share of its work that is done, in whole percents."""
        if self.length_s == float("inf"):
            return 0
        return min(99, int(100 * (now - self.began_at) / self.length_s))


@dataclass(slots=True, kw_only=True)
class VirtualTarget:
    """Obeys orders as the platform's targets do."""

    target_id: str
    """Its id."""

    capacity: Resources
    """Resources of its worker."""

    speed: float = 1.0
    """Speed of its worker; 2 halves the run times."""

    labels: frozenset[str] = frozenset()
    """The worker's kind and its rack."""

    remote_factor: float = 1.0
    """How many times as long tasks that name another rack run here."""

    fails: bool = False
    """Whether every run fails."""

    hangs: bool = False
    """Whether runs that begin make no progress."""

    cut: bool = False
    """Whether it is partitioned from the leader."""

    checks_admission: bool = True
    """Whether it refuses a start that does not fit."""

    overfull: int = 0
    """Number of starts that exceeded its capacity."""

    late_s: float = 0.0
    """How much later it carries out a start whose answer is lost, in seconds; 0: not at
    all."""

    lease_until: float = 0.0
    """When its runs end unless the lease is renewed, in seconds."""

    sequence: int = 0
    """Number of runs that have ended."""

    runs_by_ref: dict[TaskRef, VirtualRun] = field(default_factory=dict)
    """Runs in progress."""

    ended: list[EndedRun] = field(default_factory=list)
    """Ended runs that the leader has not acknowledged."""

    last_run_by_ref: dict[TaskRef, int] = field(default_factory=dict)
    """Highest number of a run that has ended or was stopped, by task; a start with such
    a number or a lower one is refused."""

    def room_for(self, wanted: Resources) -> bool:
        """Return whether a task finds its processors free."""
        used = sum(
            work.group.resources.cpu_millis for work in self.runs_by_ref.values()
        )
        return used + wanted.cpu_millis <= self.capacity.cpu_millis

    def start(
        self,
        ref: TaskRef,
        number: int,
        group: TaskGroup,
        length_s: float,
        now: float,
    ) -> StartAnswer:
        """Carry an order to start out.

        :param length_s: work of the task on a target of usual speed, in seconds.
        """
        if number <= self.last_run_by_ref.get(ref, 0):
            return StartAnswer.OUTDATED
        if ref in self.runs_by_ref:
            return StartAnswer.STARTED
        if not self.room_for(group.resources):
            if self.checks_admission:
                return StartAnswer.NO_ROOM
            self.overfull += 1
        self.lease_until = max(self.lease_until, now + LEASE_S)
        work_s = float("inf") if self.hangs else length_s / self.speed
        work_s *= remote_rack_factor(group, self.labels, self.remote_factor)
        self.runs_by_ref[ref] = VirtualRun(
            ref=ref,
            number=number,
            group=group,
            began_at=now,
            length_s=0.02 if self.fails else work_s,
            fails=self.fails,
        )
        return StartAnswer.STARTED

    def end(self, ref: TaskRef, how: RunEnd) -> None:
        """End a run, and remember it for the next list."""
        work = self.runs_by_ref.pop(ref)
        self.last_run_by_ref[ref] = max(self.last_run_by_ref.get(ref, 0), work.number)
        self.sequence += 1
        self.ended.append(
            EndedRun(sequence=self.sequence, ref=ref, run=work.number, end=how)
        )

    def advance(self, now: float) -> None:
        """End whatever is done, or has lost its lease."""
        for work in list(self.runs_by_ref.values()):
            if work.began_at + work.length_s <= now:
                self.end(work.ref, RunEnd.FAILED if work.fails else RunEnd.DONE)
        if self.runs_by_ref and now >= self.lease_until:
            for ref in list(self.runs_by_ref):
                self.end(ref, RunEnd.LEASE_EXPIRED)

    def report(self, seen: int, now: float) -> LeaseReport:
        """Return what runs here, and every end after one that was seen."""
        self.ended = [row for row in self.ended if row.sequence > seen]
        return LeaseReport(
            clock_ms=int(now * 1000),
            running=tuple(
                RunningTask(
                    ref=work.ref,
                    run=work.number,
                    checkpoint="",
                    percent=work.percent(now),
                )
                for work in self.runs_by_ref.values()
            ),
            ended=tuple(self.ended),
        )


PREDECESSOR_TOKEN = 1
"""Token of the leader before a virtual one."""


class VirtualLeader:
    """A leader's tables in front of virtual targets, in simulated time."""

    def __init__(
        self, *, settings: WorkloadSettings | None = None, term: int = 0
    ) -> None:
        self.now = 100.0
        self.tables = Tables(
            settings=settings or WorkloadSettings(),
            term=term,
            began_at=self.now,
            covered_tokens=frozenset({PREDECESSOR_TOKEN}),
            predecessor_tokens=frozenset({PREDECESSOR_TOKEN}),
        )
        self.targets: dict[str, VirtualTarget] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.answered_at: dict[str, float] = {}
        self.submitted_at: dict[str, float] = {}
        self.lengths: dict[TaskRef, float] = {}
        self.records: list[tuple[Event, dict[str, object]]] = []
        self.overlaps: list[TaskRef] = []
        self.runs_done: list[TaskRef] = []
        self.lease_over_at: dict[str, float] = {}
        self.lose_start: Callable[[StartOrder], bool] = lambda _: False
        self.auto_dispatch = True
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._tick()

    # Ports.

    def start(self, order: StartOrder) -> None:
        """Deliver an order to start after the delay."""
        target = self.targets[order.target_id]
        lost = self.lose_start(order) or target.cut
        sent_at = self.now
        delay_s = WAY_S + (target.late_s if lost else 0.0)

        def arrive() -> None:
            if target.cut or (lost and not target.late_s):
                return
            if lost and self.now - sent_at > LEASE_S:
                return
            answer = self._begin(target, order)
            clock_ms = int(self.now * 1000)
            if not lost:
                self.later(WAY_S, lambda: self._answer(order, answer, clock_ms))

        self.later(delay_s, arrive)
        if lost:
            self.later(0.25, lambda: self._answer(order, StartAnswer.UNKNOWN))

    def stop(self, run: Run) -> None:
        """Deliver an order to stop after the delay."""
        target = self.targets[run.target_id]

        def arrive() -> None:
            if target.cut:
                return
            target.advance(self.now)
            target.last_run_by_ref[run.ref] = max(
                target.last_run_by_ref.get(run.ref, 0), run.number
            )
            work = target.runs_by_ref.get(run.ref)
            if work is not None and work.number == run.number:
                target.end(run.ref, RunEnd.STOPPED)
            self.later(WAY_S, done)

        def done() -> None:
            workload.on_stop_answer(
                self.tables, run.target_id, run.ref, run.number, self.now
            )
            self.request_list(run.target_id)

        self.later(WAY_S, arrive)

    def finish(self, job: Job, outcome: Outcome) -> None:
        """Record an outcome, as the member of the caller would."""
        self.note(job.job_id, outcome)

    def record(self, event: Event, **fields: object) -> None:
        """Record a line of the log."""
        self.records.append((event, fields))

    # Simulated events.

    def add_target(
        self,
        name: str,
        *,
        cpu: int = 16_000,
        failure_domain: str = "a",
        labels: frozenset[str] = frozenset(),
        **traits: object,
    ) -> None:
        """Add a target, and request its list of runs."""
        capacity = Resources(cpu_millis=cpu, memory_mib=64_000)
        target = VirtualTarget(
            target_id=name,
            capacity=capacity,
            labels=labels,
            **traits,  # type: ignore[arg-type]
        )
        self.targets[name] = target
        workload.on_target_report(
            self.tables,
            self,
            TargetReport(
                target_id=name,
                address=name,
                service="svc",
                failure_domain=failure_domain,
                capacity=capacity,
                labels=labels,
            ),
        )
        self.request_list(name)

    def submit(
        self,
        job_id: str,
        *,
        count: int = 1,
        run_s: float = 0.06,
        lengths: list[float] | None = None,
        cpu: int = 6_800,
        rack: str = "",
        route: Route = ROUTE,
        limit_s: float = 1.5,
        origin: str = "m1",
        failure_domain: str = "",
        begun_earlier: bool = False,
        earlier_tokens: frozenset[int] | None = frozenset({PREDECESSOR_TOKEN}),
        waited_s: float = 0.0,
        told_wait_s: float | None = None,
        completed: frozenset[TaskRef] = frozenset(),
    ) -> None:
        """Submit a job of one group.

        :param lengths: of each task, in seconds; None: all as declared.
        :param rack: where the data of its tasks lies; empty: anywhere.
        :param earlier_tokens: tokens of the leaders that may have begun it; None: not
            told.
        :param waited_s: how long its caller has waited already, in seconds.
        :param told_wait_s: what the leader is told of that; None: the truth.
        :param completed: its tasks that are done under an earlier leader.
        """
        known_wait_s = waited_s if told_wait_s is None else told_wait_s
        group = TaskGroup(
            count=count,
            resources=Resources(cpu_millis=cpu, memory_mib=64),
            expected_run_s=run_s,
            preferred_rack=rack,
        )
        for index in range(count):
            ref = TaskRef(job_id, 0, 0, index)
            self.lengths[ref] = lengths[index] if lengths else run_s
        self.submitted_at[job_id] = self.now - waited_s
        request = JobRequest(
            job_id=job_id, payload="work", groups=(group,), must_be_stored=False
        )
        outcome = workload.submit(
            self.tables,
            self,
            Submission(
                request=request,
                route=route,
                origin=origin,
                waited_s=known_wait_s,
                limit_s=limit_s - known_wait_s,
                begun_earlier=begun_earlier,
                earlier_tokens=earlier_tokens,
                failure_domain=failure_domain,
                completed=completed,
            ),
            self.now,
        )
        if outcome is not None:
            self.note(job_id, outcome)
        self._dispatch()

    def note(self, job_id: str, outcome: Outcome) -> None:
        """Record an outcome and its time."""
        self.outcomes[job_id] = outcome
        self.answered_at[job_id] = self.now

    def later(self, delay_s: float, event: Callable[[], None]) -> None:
        """Schedule an event.

        :param delay_s: time from now, in seconds.
        """
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), event))

    def run(self, seconds: float) -> None:
        """Run all events of the next seconds."""
        end_at = self.now + seconds
        while self._events and self._events[0][0] <= end_at:
            self.now, _, event = heapq.heappop(self._events)
            for target in self.targets.values():
                target.advance(self.now)
            event()
            self._check_overlaps()
        self.now = end_at

    def request_list(self, name: str) -> None:
        """Request a target's list of runs; it arrives after the delay of both ways."""
        target = self.targets[name]
        asked_at = self.now
        row = self.tables.targets_by_id.get(name)
        if row is None:
            return
        if row.runs_by_ref and not row.silent and not target.cut:
            target.lease_until = max(target.lease_until, self.now + LEASE_S)
        seen = row.ended_seen

        def arrive() -> None:
            if target.cut:
                return
            report = target.report(seen, self.now)
            self.later(WAY_S, lambda: self._take(name, report, asked_at))

        self.later(WAY_S, arrive)

    def lose(self, name: str) -> None:
        """Mark a target as silent; its lease expires unless it reports again."""
        workload.on_target_silent(self.tables, self, name)
        over_at = self.now + self.tables.settings.lease_over_s
        self.lease_over_at[name] = over_at

        def check() -> None:
            row = self.tables.targets_by_id[name]
            if row.silent and self.lease_over_at.get(name) == over_at:
                workload.on_target_lost(self.tables, self, name, "lease_over", self.now)

        self.later(self.tables.settings.lease_over_s, check)

    def cut_off(self, failure_domain: str) -> None:
        """Partition a failure domain's targets from the leader, which notices it."""
        for name, row in self.tables.targets_by_id.items():
            if row.failure_domain == failure_domain:
                self.targets[name].cut = True
                self.lose(name)

    def verdict(self, job_id: str) -> Verdict | None:
        """Return how a job ended; None: it has not."""
        outcome = self.outcomes.get(job_id)
        return outcome.verdict if outcome is not None else None

    def running(self, job_id: str) -> int:
        """Return how many tasks of a job run."""
        return sum(
            ref.job_id == job_id
            for target in self.targets.values()
            for ref in target.runs_by_ref
        )

    def _begin(self, target: VirtualTarget, order: StartOrder) -> StartAnswer:
        target.advance(self.now)
        job = self.tables.jobs_by_id.get(order.ref.job_id)
        group = job.request.groups[order.ref.group] if job else None
        if group is None:
            group = TaskGroup(count=1, resources=Resources(cpu_millis=6_800))
        return target.start(
            order.ref, order.number, group, self.lengths[order.ref], self.now
        )

    def _answer(
        self, order: StartOrder, answer: StartAnswer, clock_ms: int | None = None
    ) -> None:
        workload.on_start_answer(
            self.tables,
            self,
            order.target_id,
            order.ref,
            order.number,
            answer,
            self.now,
            clock_ms=clock_ms,
        )
        if answer is StartAnswer.STARTED:
            work = self.targets[order.target_id].runs_by_ref.get(order.ref)
            if work is not None and work.length_s != float("inf"):
                left_s = work.began_at + work.length_s - self.now
                self.later(max(0.0, left_s), lambda: self.request_list(order.target_id))
        self._dispatch()

    def _take(self, name: str, report: LeaseReport, asked_at: float) -> None:
        self.lease_over_at.pop(name, None)
        workload.on_lease_report(
            self.tables, self, name, report, asked_at=asked_at, now=self.now
        )
        self._dispatch()

    def _dispatch(self) -> None:
        while self.auto_dispatch:
            if workload.dispatch(self.tables, self, self.now) is None:
                break

    def _tick(self) -> None:
        if workload.tick(self.tables, self, self.now) is not None:
            self._dispatch()
        if round(self.now * 20) % 3 == 0:
            for name, row in self.tables.targets_by_id.items():
                if row.runs_by_ref or row.silent:
                    self.request_list(name)
        self.later(0.05, self._tick)

    def _check_overlaps(self) -> None:
        seen: set[TaskRef] = set()
        for target in self.targets.values():
            for ref in target.runs_by_ref:
                if ref in seen:
                    self.overlaps.append(ref)
                seen.add(ref)
