"""The member that leads: it holds every target and the queue."""

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Protocol

from cassiaturn import workload
from cassiaturn.entities import (
    LeaseReport,
    RoutingTable,
    StartAnswer,
    TargetReport,
    TaskRef,
)
from cassiaturn.fleet._caller_jobs import CallerJobs, OpenJob
from cassiaturn.fleet._failures import report_failure
from cassiaturn.fleet._held_targets import HeldTargets
from cassiaturn.fleet._leader_load import LeaderLoad
from cassiaturn.fleet._leadership import Leadership
from cassiaturn.fleet._ports import PlatformServices
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.fleet._watch import Watch
from cassiaturn.observability import Event, FleetMetrics, log_event
from cassiaturn.sharing import Lateness, LoadShedder, SpareTime
from cassiaturn.workload import (
    Job,
    Outcome,
    Run,
    StartOrder,
    Submission,
    Tables,
    WorkloadSettings,
)

TICK_S = 0.05
"""Period of the checks of limits and leases, in seconds: the length of the shortest
tasks, and a twentieth of a lease."""

DIRECTORY_WAIT_S = 1.5
"""Longest wait for a change of the directory in one call, in seconds: a connection
that went silent is noticed in time for a target that leaves after 2 s."""

DIRECTORY_PAUSE_S = 0.3
"""Least pause between two such calls, in seconds. Targets write every 1.5 s each,
so calls without a pause would come back at once."""

STOOD_STILL_S = 0.75
"""Time without a tick after which followers have another leader, in seconds."""

RESUME_WAIT_S = 0.3
"""How long a process that stood still starts nothing, in seconds: what it had queued
may run under another leader, and its followers and targets tell so within this time."""

LEFTOVER_S = 0.3
"""When a superseded leader stops what it left, in seconds: its successor has reached
every target that it can reach by then, and those refuse the order."""


class FollowerPort(Protocol):
    """What the leader tells one member."""

    def taken_in(self, job_id: str) -> None:
        """Tell that a job is started once it is confirmed."""

    def outcome(self, job_id: str, outcome: Outcome) -> None:
        """Tell how a job ended."""


class Leader:
    """One term of this member's leadership."""

    def __init__(
        self,
        *,
        leadership: Leadership,
        services: PlatformServices,
        routing: CurrentRouting,
        caller_jobs: CallerJobs,
        metrics: FleetMetrics,
        settings: WorkloadSettings,
        known_targets: Mapping[str, TargetReport],
        knows_all_targets: bool,
        on_superseded: Callable[[], None],
        load: LeaderLoad,
        failure_domain: str,
    ) -> None:
        """Prepare to lead; :meth:`open` starts it.

        :param known_targets: the directory as the last leader handed it on, by id.
        :param knows_all_targets: whether that leader had handed on all of it.
        :param on_superseded: called when a target obeys a later leader.
        :param load: counts what leading costs.
        :param failure_domain: where this member runs.
        """
        self.leadership = leadership
        self.waits_for_confirmation = False
        """What this member's own callers ask for is started at once."""

        self.followers_by_id: dict[str, FollowerPort] = {}
        self._services = services
        self._routing = routing
        self._caller_jobs = caller_jobs
        self._metrics = metrics
        self._on_superseded = on_superseded
        self._load = load
        self._failure_domain = failure_domain
        self._settings = settings
        self._tables = Tables(
            settings=settings,
            term=leadership.term,
            began_at=time.monotonic(),
            knows_targets=knows_all_targets and bool(known_targets),
            routing=routing.current,
        )
        self._targets = HeldTargets(
            reports_by_id=known_targets,
            tables=self._tables,
            orders=self,
            calls=services.targets,
            routing=routing,
            load=load,
            settings=settings,
            token=leadership.token,
            on_change=lambda target_id, report: self.on_directory_change(
                target_id, report
            ),
            on_news=self._dispatch_soon,
        )
        self._shedder = LoadShedder()
        self._spare_time = SpareTime()
        self._tasks: list[asyncio.Task[None]] = []
        self._dispatch_due = False
        self._behind_since = 0.0
        """Since when jobs that could be in time are left for want of time, in seconds;
        0: none is."""

        self._ticked_at = time.monotonic()
        self._resume_at = 0.0
        """Until when nothing is started, after the process stood still, in seconds."""

        self._closed = False
        self.on_directory_change: Callable[[str, TargetReport | None], None] = (
            lambda target_id, report: None
        )
        self.on_tick: Callable[[], None] = lambda: None

    @property
    def reports_by_id(self) -> Mapping[str, TargetReport]:
        """The directory of targets."""
        return self._targets.reports_by_id

    @property
    def superseded_ids(self) -> set[str]:
        """Targets that last answered that they obey a later leader."""
        return self._targets.superseded_ids

    @property
    def tables(self) -> Tables:
        """The tables, for metrics and the status page."""
        return self._tables

    @property
    def shed_share(self) -> float:
        """Share of all new jobs, 0 to 1, that this process is too full for."""
        return self._shedder.share

    @property
    def asks_first(self) -> bool:
        """Whether members should have their new jobs wait for a confirmation."""
        return self._spare_time.is_there

    @property
    def heard_targets(self) -> int:
        """Targets that have told what runs there, and answer."""
        targets = self._tables.targets_by_id.values()
        return sum(target.heard and not target.silent for target in targets)

    def open(self) -> None:
        """Take every known target and begin."""
        self._targets.open()
        watch = Watch(
            name="directory",
            source=self._services.directory,
            on_snapshot=self._targets.on_directory,
            on_change=self._targets.on_directory_change,
            wait_s=DIRECTORY_WAIT_S,
            pause_s=DIRECTORY_PAUSE_S,
        )
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(watch.run()), loop.create_task(self._tick())]
        for task in self._tasks:
            task.add_done_callback(report_failure)
        self._caller_jobs.attach(self)

    def raise_token(self, leadership: Leadership) -> None:
        """Go on under a higher token; what runs and waits is still known.

        :param leadership: this member's, with the higher token.
        """
        self.leadership = leadership
        self._targets.use_token(leadership.token)

    def close(self) -> None:
        """Give no more orders."""
        self._closed = True
        self._caller_jobs.detach(self)
        for task in self._tasks:
            task.cancel()
        self._targets.close()

    async def stop_leftovers(self) -> None:
        """Stop what runs on targets that the successor has not reached.

        After a cut that heals, the successor may still miss a target. What runs
        there keeps its lease for a second more, and its caller may come back to the
        successor before that and have its task run twice at once. Targets that obey
        the successor refuse these orders, so nothing that it took over is stopped.
        """
        await asyncio.sleep(LEFTOVER_S)
        for run in self._tables.runs_by_ref.values():
            self.stop(run)

    # What members ask for.

    def submit(self, job: OpenJob, *, begun_earlier: bool) -> None:
        """Take a job of this member's own callers."""
        now = time.monotonic()
        submission = Submission(
            request=job.request,
            route=job.route,
            origin=self.leadership.member_id,
            waited_s=now - job.arrived_at,
            limit_s=job.limit_at - now,
            begun_earlier=begun_earlier,
            failure_domain=self._failure_domain,
        )
        self.take(submission)

    def cancel(self, job_id: str) -> None:
        """Take back this member's own interest in a job."""
        self.take_back(job_id, self.leadership.member_id)

    def take(self, submission: Submission) -> None:
        """Take a job of any member."""
        outcome = workload.submit(self._tables, self, submission, time.monotonic())
        if outcome is not None:
            log_event(
                Event.JOB_REFUSED,
                id=submission.request.job_id,
                route=submission.route.name,
                origin=submission.origin,
                reason=outcome.reason,
                retry_after_s=outcome.retry_after_s,
                queued=len(self._tables.jobs_by_id),
                heard=self.heard_targets,
                version=self._routing.version,
            )
            self._tell(submission.origin, submission.request.job_id, outcome)
            return
        if submission.is_confirmed:
            self._dispatch_soon()
            return
        follower = self.followers_by_id.get(submission.origin)
        if follower is not None:
            follower.taken_in(submission.request.job_id)

    def confirm(self, job_id: str) -> None:
        """Start a job of a member's: a later leader is told that it may have begun."""
        if workload.confirm(self._tables, job_id):
            self._dispatch_soon()

    def take_back(self, job_id: str, member_id: str) -> None:
        """Take back a member's interest in a job."""
        workload.cancel(self._tables, self, job_id, member_id, time.monotonic())
        self._dispatch_soon()

    def drop_member(self, member_id: str) -> None:
        """End the jobs of a member that is gone."""
        self.followers_by_id.pop(member_id, None)
        workload.on_member_gone(self._tables, self, member_id, time.monotonic())
        self._dispatch_soon()

    def waiting_by_route(self) -> dict[str, int]:
        """Return the jobs of each route of which no task has started."""
        counts: dict[str, int] = {}
        for job in self._tables.jobs_by_id.values():
            if not job.begun:
                counts[job.route.name] = counts.get(job.route.name, 0) + 1
        return counts

    # What the tables ask for.

    def start(self, order: StartOrder) -> None:
        """Order a start."""
        self._targets.start(order)
        job = self._tables.jobs_by_id[order.ref.job_id]
        wait_s = time.monotonic() - job.arrived_at
        self._metrics.started(job.route.name, job.route.priority, wait_s)

    def stop(self, run: Run) -> None:
        """Order a run to stop."""
        self._targets.stop(run)

    def finish(self, job: Job, outcome: Outcome) -> None:
        """Tell every member whose callers wait."""
        for origin in job.origins:
            self._tell(origin, job.job_id, outcome)

    def record(self, event: Event, **fields: object) -> None:
        """Log a decision."""
        log_event(event, **fields)

    # What targets tell.

    def on_report(
        self, target_id: str, report: LeaseReport, *, asked_at: float
    ) -> None:
        """Take in what runs on a target."""
        now = time.monotonic()
        self.superseded_ids.discard(target_id)
        workload.on_lease_report(
            self._tables, self, target_id, report, asked_at=asked_at, now=now
        )
        self._dispatch_soon()

    def on_start_answer(
        self,
        target_id: str,
        ref: TaskRef,
        number: int,
        answer: StartAnswer,
        clock_ms: int | None,
    ) -> None:
        """Take in what became of an order to start."""
        now = time.monotonic()
        workload.on_start_answer(
            self._tables,
            self,
            target_id,
            ref,
            number,
            answer,
            now,
            clock_ms=clock_ms,
        )
        if answer is not StartAnswer.STARTED:
            self._dispatch_soon()

    def on_stop_answer(self, target_id: str, ref: TaskRef, number: int) -> None:
        """Take in that an order to stop was obeyed."""
        workload.on_stop_answer(self._tables, target_id, ref, number, time.monotonic())

    def on_unanswered(self, target_id: str) -> None:
        """Send a target nothing new until it is asked again."""
        log_event(Event.TARGET_UNANSWERED, target=target_id, asked_again=True)
        workload.on_target_unanswered(self._tables, target_id, time.monotonic())

    def on_silent(self, target_id: str) -> None:
        """Send a target nothing new until it answers."""
        workload.on_target_silent(self._tables, self, target_id)

    def on_lost(self, target_id: str, reason: str) -> None:
        """End every run of a target."""
        now = time.monotonic()
        workload.on_target_lost(self._tables, self, target_id, reason, now)
        self._targets.remove_if_missing(target_id, reason)
        self._dispatch_soon()

    def on_superseded(self, target_id: str) -> None:
        """Take in that a later leader gives the orders there."""
        self.superseded_ids.add(target_id)
        self._on_superseded()

    # Time.

    async def _tick(self) -> None:
        while True:
            began_at = time.monotonic()
            used_s = time.process_time()
            due_at = began_at + TICK_S
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            self._ticked_at = now
            if now - due_at >= STOOD_STILL_S:
                self._resume_at = now + RESUME_WAIT_S
            self._load.ticked(now - due_at)
            share = (time.process_time() - used_s) / (now - began_at)
            self._spare_time.observe(now - due_at, share)
            self._shed_load(now - due_at, now)
            self.on_tick()
            self._targets.tick(now)
            if now < self._resume_at:
                continue
            if workload.next_check(self._tables, now) is None:
                continue
            self._note_left(workload.tick(self._tables, self, now), now)

    def _shed_load(self, late_s: float, now: float) -> None:
        was_shedding = bool(self._shedder.share)
        behind_s = now - self._behind_since if self._behind_since else 0.0
        self._shedder.observe(late_s, now, behind_s=behind_s)
        self._caller_jobs.shed_share = self._shedder.share
        if bool(self._shedder.share) is not was_shedding:
            log_event(
                Event.LEADER_FULL,
                share=self._shedder.share,
                late_ms=round(late_s * 1000),
                behind_ms=round(behind_s * 1000),
                queued=len(self._tables.jobs_by_id),
            )

    def _dispatch_soon(self) -> None:
        # Several events of one turn of the loop share one look at the queue.
        if not self._dispatch_due:
            self._dispatch_due = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def _dispatch(self) -> None:
        self._dispatch_due = False
        if self._closed:
            return
        now = time.monotonic()
        if now < self._resume_at or now - self._ticked_at >= STOOD_STILL_S:
            return
        self._note_left(workload.dispatch(self._tables, self, now), now)

    def _note_left(self, left: Lateness | None, now: float) -> None:
        """Take in what was left to start for want of time, though there is room."""
        if left is not None:
            self._dispatch_soon()
        if left is not Lateness.IN_TIME:
            self._behind_since = 0.0
        elif not self._behind_since:
            self._behind_since = now

    def _tell(self, member_id: str, job_id: str, outcome: Outcome) -> None:
        if member_id == self.leadership.member_id:
            self._caller_jobs.settle(job_id, outcome)
            return
        follower = self.followers_by_id.get(member_id)
        if follower is not None:
            follower.outcome(job_id, outcome)

    def apply_routing(self, table: RoutingTable) -> None:
        """Put a configuration in force for what is decided from now on."""
        self._tables.routing = table
        self._targets.apply_routing()
