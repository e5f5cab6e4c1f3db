"""The leading member: it owns the job queue and the links to all targets."""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from cassiaturn import workload
from cassiaturn.entities import (
    DrainedDomains,
    EndedRun,
    LeaseReport,
    RoutingTable,
    RunEnd,
    StartAnswer,
    TargetReport,
    TaskRef,
)
from cassiaturn.fleet._caller_jobs import CallerJobs, OpenJob
from cassiaturn.fleet._cpu_clock import cpu_time_s
from cassiaturn.fleet._drains import CurrentDrains
from cassiaturn.fleet._failures import report_failure
from cassiaturn.fleet._leader_load import LeaderLoad
from cassiaturn.fleet._leader_targets import LeaderTargets
from cassiaturn.fleet._leadership import Leadership
from cassiaturn.fleet._pause import PauseHold
from cassiaturn.fleet._ports import PlatformServices
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.fleet._told_ends import TELL_TIMEOUT_S, Receipt
from cassiaturn.fleet._watch import Watch
from cassiaturn.observability import Event, FleetMetrics, log_event
from cassiaturn.sharing import (
    CpuHeadroom,
    FitnessRank,
    Lateness,
    LoadShedder,
    StartBacklog,
    StartDemand,
    StartRate,
)
from cassiaturn.workload import (
    Job,
    Outcome,
    Run,
    StartCounts,
    StartOrder,
    Submission,
    Tables,
    WorkloadSettings,
)

TICK_S = 0.05
"""Period of the checks of deadlines and leases, in seconds: the run time of the
shortest tasks, and a twentieth of a lease."""

FORECAST_LOG_PERIOD_S = 1.0
"""Period of the log line of the forecast while jobs are refused, in seconds."""

MAX_LOGGED_RATE = 1e6
"""Starts per second that the log shows where their number is not limited."""

DIRECTORY_WAIT_S = 1.5
"""Longest wait for a change of the directory in one call, in seconds: a dead connection
is noticed in time for a target that leaves after 2 s."""

MAX_RECEIPTS = 1_000
"""Number of receipts of frames to keep: a target lists at most 500 ends at once."""

DIRECTORY_PAUSE_S = 0.3
"""Minimum pause between two such calls, in seconds. Every target writes its entry each
1.5 s, so without a pause every call would return immediately."""

LEFTOVER_STOP_DELAY_S = 0.3
"""Delay before a superseded leader stops its remaining runs, in seconds: by then its
successor has contacted every target that it can reach, and those refuse the order."""


class FollowerPort(Protocol):
    """Sends the leader's decisions to one follower."""

    heard_at: float
    """Monotonic time of its last frame, in seconds."""

    leaving: bool
    """Whether it is stopping."""

    is_gone: bool
    """Whether its stream has ended."""

    @property
    def keeper_rank(self) -> tuple[bool, FitnessRank, str]:
        """Rank as the keeper of finished tasks; the lowest comes first."""

    @property
    def answers_pauses(self) -> bool:
        """Whether it answers the question that follows a pause."""

    def send_heartbeat(self) -> None:
        """Send a heartbeat at once, which asks for an answer after a pause."""

    def request_heartbeat(self) -> None:
        """Send a heartbeat within a period, also if other frames would defer it."""

    def send_accepted(self, job_id: str) -> None:
        """Report that a job was accepted and will start once it is confirmed."""

    def send_outcome(self, job_id: str, outcome: Outcome) -> Receipt:
        """Report the outcome of a job."""

    def send_progress(self, job_id: str, completed: Iterable[TaskRef]) -> Receipt:
        """Report which tasks of a job are done."""

    def keep_done(self, job_id: str, done: Iterable[TaskRef]) -> Receipt:
        """Have the member keep finished tasks of a job for the next leader."""

    def keep_cancelled(self, job_ids: Iterable[str]) -> None:
        """Have the member keep jobs that callers cancelled for the next leader."""

    def drop_done(self, job_ids: Iterable[str]) -> None:
        """Tell the member that jobs have ended of which it keeps tasks."""


class Leader:
    """One term of this member's leadership."""

    def __init__(
        self,
        *,
        leadership: Leadership,
        services: PlatformServices,
        routing: CurrentRouting,
        drains: CurrentDrains,
        caller_jobs: CallerJobs,
        metrics: FleetMetrics,
        settings: WorkloadSettings,
        known_targets: Mapping[str, TargetReport],
        knows_all_targets: bool,
        predecessor_tokens: frozenset[int],
        on_superseded: Callable[[], None],
        load: LeaderLoad,
        failure_domain: str,
    ) -> None:
        """Prepare to lead; :meth:`open` starts it.

        :param leadership: the term that this member has claimed.
        :param caller_jobs: the jobs of this member's own callers.
        :param known_targets: the directory by target id, as far as the last leader
            handed it over.
        :param knows_all_targets: whether that leader handed over all of it.
        :param predecessor_tokens: the tokens that it has had.
        :param on_superseded: called when a target obeys a later leader.
        :param load: measures the load of leading.
        :param failure_domain: failure domain of this member.
        """
        self.leadership = leadership
        self.own_tokens = frozenset({leadership.token})
        """The tokens that it has had in this term."""

        self.waits_for_confirmation = False
        """Jobs of this member's own callers start without a confirmation."""

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
            covered_tokens=predecessor_tokens | self.own_tokens,
            predecessor_tokens=predecessor_tokens,
            routing=routing.current,
            drained_domains=drains.failure_domains,
        )
        self._targets = LeaderTargets(
            reports_by_id=known_targets,
            tables=self._tables,
            leader_ports=self,
            calls=services.targets,
            routing=routing,
            load=load,
            settings=settings,
            token=leadership.token,
            on_change=lambda target_id, report: self.on_directory_change(
                target_id, report
            ),
            on_capacity_change=self._schedule_dispatch,
        )
        self._shedder = LoadShedder()
        self._cpu_headroom = CpuHeadroom()
        self._cores = min(1.0, settings.cpu_cores or 1.0)
        """Processor capacity of the host in cores, at most one."""

        self._start_rate = StartRate(cpu_cores=settings.cpu_cores)
        self._start_backlog = StartBacklog()
        self._start_demand = StartDemand()
        self._forecasts = settings.admission == "forecast"
        self._sampled_at = time.monotonic()
        self._sampled_cpu_s = cpu_time_s()
        self._heard_counted_at = float("-inf")
        self._heard_count = 0
        self._logged_at = time.monotonic()
        self._logged_refused = 0
        self._told_shares: Mapping[int, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._is_dispatch_scheduled = False
        self._pauses = PauseHold(own_id=leadership.member_id, now=time.monotonic())
        self._tables.unheard_members = self._pauses.unheard
        self._keeper: FollowerPort | None = None
        self._kept_jobs: set[str] = set()
        self._receipts: deque[Receipt] = deque(maxlen=MAX_RECEIPTS)
        """Receipts of what was sent to members since the last report of a target."""

        self._closed = False
        self.on_directory_change: Callable[[str, TargetReport | None], None] = (
            lambda target_id, report: None
        )
        self.on_whole_directory: Callable[[], None] = lambda: None
        self.on_tick: Callable[[], None] = lambda: None

    @property
    def token(self) -> int:
        """Its token."""
        return self.leadership.token

    @property
    def reports_by_id(self) -> Mapping[str, TargetReport]:
        """The directory of targets."""
        return self._targets.reports_by_id

    @property
    def superseded_ids(self) -> set[str]:
        """Targets whose last answer was that they obey a later leader."""
        return self._targets.superseded_ids

    @property
    def tables(self) -> Tables:
        """The tables, for metrics and the status page."""
        return self._tables

    @property
    def shed_share(self) -> float:
        """Fraction of new jobs, 0 to 1, that are refused to relieve this process."""
        return self._shedder.share

    @property
    def shed_by_priority(self) -> Mapping[int, float]:
        """Share of new jobs, 0 to 1, that members refuse, by priority; empty: none."""
        return self._start_demand.shares

    @property
    def starts_per_s(self) -> float:
        """Starts that this process can make per second; infinite: not known."""
        return self._start_backlog.possible_per_s(self._start_rate.starts_per_s)

    @property
    def asks_first(self) -> bool:
        """Whether new jobs of followers wait for a confirmation before they start."""
        return self._cpu_headroom.is_available

    @property
    def holds_inherited_jobs(self) -> bool:
        """Whether jobs wait for runs that an earlier leader may have started."""
        return workload.holds_inherited_jobs(self._tables, time.monotonic())

    @property
    def pauses(self) -> int:
        """How often this process was paused in this term."""
        return self._pauses.number

    @property
    def heard_targets(self) -> int:
        """Number of targets that answer and have reported what they run."""
        targets = self._tables.targets_by_id.values()
        return sum(target.has_reported and not target.silent for target in targets)

    def _count_heard(self, now: float) -> int:
        """Return the number of heard targets, counted at most once a tick.

        Each refusal names it in the log. Counted for each job of a burst, all targets
        would be visited thousands of times a second.
        """
        if now - self._heard_counted_at >= TICK_S:
            self._heard_counted_at = now
            self._heard_count = self.heard_targets
        return self._heard_count

    def _forecast_fields(self, priority: int, now: float) -> dict[str, float]:
        """Return the fields of a refusal's log line that tell what was assumed."""
        forecast = self._tables.forecast
        if forecast is None:
            return {}
        margin_s = workload.margin_of(forecast, priority, now)
        return {
            "margin_ms": round(margin_s * 1000),
            "starts_per_s": round(min(MAX_LOGGED_RATE, forecast.starts_per_s)),
        }

    @property
    def margin_s(self) -> float:
        """Largest time by which forecasts are extended, in seconds, for metrics."""
        forecast = self._tables.forecast
        if forecast is None:
            return 0.0
        now = time.monotonic()
        margins = [
            workload.margin_of(forecast, priority, now)
            for priority in tuple(forecast.error_by_priority)
        ]
        return max(margins, default=0.0)

    def open(self) -> None:
        """Open links to the known targets and start to lead."""
        self._targets.open()
        watch = Watch(
            name="directory",
            source=self._services.directory,
            on_snapshot=self._read_directory,
            on_change=self._targets.on_directory_change,
            wait_s=DIRECTORY_WAIT_S,
            pause_s=DIRECTORY_PAUSE_S,
        )
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(watch.run()), loop.create_task(self._tick())]
        for task in self._tasks:
            task.add_done_callback(report_failure)

    def attach_callers(self) -> None:
        """Take over the jobs of this member's own callers."""
        self._caller_jobs.attach(self)

    def raise_token(self, leadership: Leadership) -> None:
        """Continue with a higher token; runs and queued jobs are kept.

        :param leadership: this member's leadership with the higher token.
        """
        self.leadership = leadership
        self.own_tokens |= {leadership.token}
        self._tables.covered_tokens |= self.own_tokens
        self._targets.use_token(leadership.token)

    def close(self) -> None:
        """Stop leading: send no more orders."""
        self._closed = True
        self._caller_jobs.detach(self)
        for task in self._tasks:
            task.cancel()
        self._targets.close()

    @property
    def unreported_targets(self) -> frozenset[str]:
        """Targets on which this leader has no runs.

        They have not listed their runs to it, or their leases are over since.
        """
        return frozenset(self._tables.unreported_ids)

    def note_handed_over(
        self, *, unheard_targets: frozenset[str], has_told_targets: bool
    ) -> None:
        """Record what the leader before this one told when it stepped down.

        :param unheard_targets: targets on which it has no runs.
        :param has_told_targets: whether it has runs only on targets known here.
        """
        self._tables.unheard_by_predecessor = unheard_targets
        self._tables.is_handed_over = has_told_targets
        log_event(
            Event.EARLIER_RUNS_KNOWN,
            reason="unheard_targets",
            targets=len(unheard_targets),
            told_targets=has_told_targets,
            unreported=len(self._tables.unreported_ids),
        )
        self._schedule_dispatch()

    def note_list(self, member_id: str, list_digest: int | None) -> None:
        """Record whether a new follower knows a target that this leader lacks.

        :param list_digest: digest of its targets if they differ; None: they do not.
        """
        if list_digest is None:
            self._tables.other_lists.pop(member_id, None)
            return
        self._tables.other_lists[member_id] = list_digest
        log_event(
            Event.EARLIER_RUNS_UNKNOWN,
            member=member_id,
            unreported=len(self._tables.unreported_ids),
        )

    def note_own_list(self, list_digest: int) -> None:
        """Record which targets this leader knows now.

        :param list_digest: their digest.
        """
        if list_digest in self._tables.other_lists.values():
            self._tables.other_lists = {
                member_id: digest
                for member_id, digest in self._tables.other_lists.items()
                if digest != list_digest
            }
            self._schedule_dispatch()

    def on_target_confirmed(self) -> None:
        """Start tasks on a target that every follower knows now."""
        self._schedule_dispatch()

    def _read_directory(self, entries_by_key: Mapping[str, TargetReport]) -> None:
        self._targets.on_directory(entries_by_key)
        self.on_whole_directory()

    def note_same_targets(self, tokens: frozenset[int]) -> None:
        """Record that a leader which stepped down knew the same targets as this one.

        :param tokens: the tokens of its term.
        """
        self._tables.same_targets_tokens |= tokens
        log_event(
            Event.EARLIER_RUNS_KNOWN,
            reason="same_targets",
            tokens=",".join(map(str, sorted(tokens))),
            unreported=len(self._tables.unreported_ids),
        )
        self._schedule_dispatch()

    def send_progress(self) -> None:
        """Tell the members of each open job which of its tasks are done.

        Their ends are acknowledged, so that no target lists them to the successor.
        """
        for job in self._tables.jobs_by_id.values():
            done = [task.ref for task in job.tasks_by_ref.values() if task.done]
            if not done:
                continue
            log_event(
                Event.JOB_HANDED_ON,
                id=job.job_id,
                done=",".join(str(ref.task_index) for ref in done),
                left=job.remaining,
            )
            for origin in job.origins:
                if origin == self.leadership.member_id:
                    self._caller_jobs.note_completed(job.job_id, frozenset(done))
                elif origin in self.followers_by_id:
                    self.followers_by_id[origin].send_progress(job.job_id, done)

    async def stop_leftovers(self) -> None:
        """Stop the runs on targets that the successor has not reached.

        After a network partition heals, the successor may still miss a target. A run
        there keeps its lease for another second. Its caller may submit the job to the
        successor before that, so that the task would run twice at the same time.
        Targets that obey the successor refuse these orders, so runs that it took over
        are not stopped.
        """
        await asyncio.sleep(LEFTOVER_STOP_DELAY_S)
        for run in self._tables.runs_by_ref.values():
            self.stop(run)

    # Requests of members.

    def submit(self, job: OpenJob, *, begun_earlier: bool) -> None:
        """Accept a job of this member's own callers.

        :param begun_earlier: whether it may have begun under an earlier leader.
        """
        now = time.monotonic()
        submission = Submission(
            request=job.request,
            route=job.route,
            origin=self.leadership.member_id,
            waited_s=now - job.arrived_at,
            limit_s=job.limit_at - now,
            begun_earlier=begun_earlier,
            failure_domain=self._failure_domain,
            completed=job.completed,
            earlier_tokens=job.earlier_tokens or None,
        )
        self.accept_submission(submission)

    def cancel(self, job_id: str, *, by_caller: bool) -> None:
        """Cancel a job on behalf of this member's own callers.

        :param by_caller: whether its caller cancelled it; else none waits any more.
        """
        if by_caller:
            known = self.cancel_by_caller(job_id)
            self._caller_jobs.note_cancelled(job_id, known=known)
        else:
            self.cancel_for_member(job_id, self.leadership.member_id)

    def accept_submission(self, submission: Submission) -> None:
        """Queue or refuse a job of any member."""
        now = time.monotonic()
        starts = sum(group.count for group in submission.request.groups)
        self._load.count_submission(starts)
        if self._forecasts and not submission.begun_earlier:
            self._start_demand.note(
                submission.request.job_id,
                priority=submission.route.priority,
                starts=starts,
                now=now,
            )
        outcome = workload.submit(self._tables, self, submission, now)
        if outcome is not None:
            log_event(
                Event.JOB_REFUSED,
                id=submission.request.job_id,
                route=submission.route.name,
                origin=submission.origin,
                reason=outcome.reason,
                retry_after_s=outcome.retry_after_s,
                queued=len(self._tables.jobs_by_id),
                heard=self._count_heard(now) if self._forecasts else self.heard_targets,
                version=self._routing.version,
                **self._forecast_fields(submission.route.priority, now),
            )
            self._send_outcome(submission.origin, submission.request.job_id, outcome)
            return
        if submission.is_confirmed:
            self._schedule_dispatch()
            return
        follower = self.followers_by_id.get(submission.origin)
        if follower is not None:
            follower.send_accepted(submission.request.job_id)

    def confirm(self, job_id: str) -> None:
        """Allow a member's job to start.

        The member has recorded that the job may have begun, and would tell a later
        leader.
        """
        if workload.confirm(self._tables, job_id):
            self._schedule_dispatch()

    def cancel_for_member(self, job_id: str, member_id: str) -> None:
        """Cancel a job on behalf of one member; it goes on while others wait for it."""
        workload.cancel(self._tables, self, job_id, member_id, time.monotonic())
        self._schedule_dispatch()

    def cancel_by_caller(self, job_id: str) -> bool:
        """End a job because its caller cancelled it, wherever it was submitted.

        :returns: whether there was such a job.
        """
        known = workload.cancel_by_caller(self._tables, self, job_id, time.monotonic())
        keeper = self._choose_keeper()
        if keeper is not None:
            keeper.keep_cancelled([job_id])
        self._schedule_dispatch()
        return known

    def note_answer(self, member_id: str, pauses: int) -> None:
        """Record that a follower still follows.

        :param pauses: number of the last pause of this process that it knows of.
        """
        if self._pauses.note_answer(member_id, pauses):
            self._schedule_dispatch()

    def drop_member(self, member_id: str) -> None:
        """Remove a follower that is gone, and cancel its jobs."""
        self.followers_by_id.pop(member_id, None)
        self._pauses.unheard.discard(member_id)
        workload.on_member_gone(self._tables, self, member_id, time.monotonic())
        self._schedule_dispatch()

    def waiting_by_route(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by route name."""
        counts: dict[str, int] = {}
        for job in self._tables.jobs_by_id.values():
            if not job.begun:
                counts[job.route.name] = counts.get(job.route.name, 0) + 1
        return counts

    # Decisions of the tables.

    def start(self, order: StartOrder) -> None:
        """Send an order to start a run."""
        self._targets.start(order)
        job = self._tables.jobs_by_id[order.ref.job_id]
        wait_s = time.monotonic() - job.arrived_at
        self._metrics.started(job.route.name, job.route.priority, wait_s)

    def stop(self, run: Run) -> None:
        """Send an order to stop a run."""
        self._targets.stop(run)

    def finish(self, job: Job, outcome: Outcome) -> None:
        """Send the outcome of a job to every member whose callers wait for it."""
        for origin in job.origins:
            self._send_outcome(origin, job.job_id, outcome)

    def record(self, event: Event, **fields: object) -> None:
        """Log a decision."""
        log_event(event, **fields)

    # Events of targets.

    def on_report(
        self, target_id: str, report: LeaseReport, *, asked_at: float
    ) -> None:
        """Apply a target's report of its runs.

        :param asked_at: monotonic time of the request, in seconds.
        """
        now = time.monotonic()
        self.superseded_ids.discard(target_id)
        target = self._tables.targets_by_id.get(target_id)
        seen = target.ended_seen if target is not None else 0
        self._receipts.clear()
        workload.on_lease_report(
            self._tables, self, target_id, report, asked_at=asked_at, now=now
        )
        new_ends = [ended for ended in report.ended if ended.sequence > seen]
        if new_ends:
            self._tell_progress(new_ends)
            self._targets.note_ends(
                target_id, new_ends[-1].sequence, tuple(self._receipts)
            )
        self._schedule_dispatch()

    def _tell_progress(self, ended_runs: Iterable[EndedRun]) -> None:
        """Have a member keep the finished tasks of unfinished jobs."""
        keeper = self._choose_keeper()
        if keeper is None:
            return
        for ended in ended_runs:
            job_id = ended.ref.job_id
            if ended.end is RunEnd.DONE and job_id in self._tables.jobs_by_id:
                self._kept_jobs.add(job_id)
                self._receipts.append(keeper.keep_done(job_id, [ended.ref]))

    def _choose_keeper(self) -> FollowerPort | None:
        """Return the member that keeps finished tasks; None: nobody follows."""
        keeper = self._keeper
        if keeper is not None and not keeper.is_gone and not keeper.leaving:
            return keeper
        keeper = min(
            self.followers_by_id.values(),
            key=lambda follower: follower.keeper_rank,
            default=None,
        )
        if keeper is not self._keeper and keeper is not None:
            for job in self._tables.jobs_by_id.values():
                done = [task.ref for task in job.tasks_by_ref.values() if task.done]
                if done:
                    self._kept_jobs.add(job.job_id)
                    keeper.keep_done(job.job_id, done)
            keeper.keep_cancelled(workload.cancelled_jobs(self._tables))
        self._keeper = keeper
        return keeper

    def _drop_kept(self, now: float) -> None:
        """Tell the keeper which of the jobs have ended that it keeps tasks of.

        Not before their outcomes were sent: a new leader needs these tasks until then.
        """
        ended = {
            job_id
            for job_id in self._kept_jobs - self._tables.jobs_by_id.keys()
            if (record := self._tables.ended_jobs_by_id.get(job_id)) is None
            or now - record.at >= TELL_TIMEOUT_S
        }
        if ended:
            self._kept_jobs -= ended
            if self._keeper is not None and not self._keeper.is_gone:
                self._keeper.drop_done(ended)

    def note_done(self, refs: Iterable[TaskRef]) -> None:
        """Record finished tasks that a member kept for an earlier leader."""
        workload.note_done(self._tables, self, refs, time.monotonic())
        self._schedule_dispatch()

    def on_start_answer(
        self,
        target_id: str,
        ref: TaskRef,
        number: int,
        answer: StartAnswer,
        clock_ms: int | None,
    ) -> None:
        """Apply the answer to a start order.

        :param number: number of the run.
        :param clock_ms: the target's clock when it answered, in milliseconds; None if
            it was not told.
        """
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
            self._schedule_dispatch()

    def on_stop_answer(self, target_id: str, ref: TaskRef, number: int) -> None:
        """Record that a target has stopped a run."""
        workload.on_stop_answer(self._tables, target_id, ref, number, time.monotonic())

    def on_unanswered(self, target_id: str) -> None:
        """Start nothing on a target until it has answered the repeated request."""
        log_event(Event.TARGET_UNANSWERED, target=target_id, asked_again=True)
        workload.on_target_unanswered(self._tables, target_id, time.monotonic())

    def on_silent(self, target_id: str) -> None:
        """Start nothing on a target until it answers again."""
        workload.on_target_silent(self._tables, self, target_id)

    def on_lost(self, target_id: str, reason: str) -> None:
        """End every run of a target that is lost."""
        now = time.monotonic()
        workload.on_target_lost(self._tables, self, target_id, reason, now)
        self._targets.remove_if_missing(target_id, reason)
        self._schedule_dispatch()

    def on_restarted(self, target_id: str, incarnation: int) -> None:
        """Forget what holds for the earlier process of a target only.

        :param incarnation: the one that has answered.
        """
        log_event(Event.TARGET_RESTARTED, target=target_id, incarnation=incarnation)
        workload.on_target_restarted(self._tables, target_id, incarnation)

    def on_superseded(self, target_id: str) -> None:
        """Record that a target obeys a later leader."""
        self.superseded_ids.add(target_id)
        self._on_superseded()

    def on_clock_ahead(self, target_id: str, ahead_s: float, *, since: float) -> None:
        """Hold all starts: this host was suspended, and its clock stood still.

        :param ahead_s: by how much the target's clock is ahead, in seconds.
        :param since: monotonic time of the target's answer before, in seconds.
        """
        if since > self._pauses.began_at:
            self._hold_starts(time.monotonic(), ahead_s, target_id)

    def _hold_starts(self, now: float, paused_s: float, target_id: str = "") -> None:
        """Ask every follower whether it still follows, after a pause.

        :param target_id: the target whose clock shows the pause; empty: it is this
            host's own.
        """
        if self._closed:
            return
        self._pauses.begin(now, self.followers_by_id)
        log_event(
            Event.PAUSE_DETECTED,
            paused_ms=round(paused_s * 1000),
            number=self._pauses.number,
            asked=len(self.followers_by_id),
            target=target_id,
            queued=len(self._tables.jobs_by_id),
        )
        for follower in self.followers_by_id.values():
            follower.send_heartbeat()

    # Timers.

    async def _tick(self) -> None:
        while True:
            began_at = time.monotonic()
            cpu_before_s = cpu_time_s()
            due_at = began_at + TICK_S
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            paused_s = self._pauses.turn(now)
            if paused_s:
                self._hold_starts(now, paused_s)
            self._load.observe_loop_delay(now - due_at)
            cpu_share = (cpu_time_s() - cpu_before_s) / (now - began_at) / self._cores
            self._cpu_headroom.observe(now - due_at, cpu_share)
            counts, self._tables.start_counts = self._tables.start_counts, StartCounts()
            self._load.count_starts(counts)
            if self._forecasts:
                self._update_start_rate(counts, now - due_at, now)
            self._shed_load(now - due_at, now)
            self.on_tick()
            self._targets.tick(now)
            self._drop_kept(now)
            self._release_unanswered(now)
            if self._pauses.holds_all:
                continue
            if workload.next_check(self._tables, now) is None:
                continue
            self._record_deferred(workload.tick(self._tables, self, now), now)

    def _release_unanswered(self, now: float) -> None:
        """End the hold for members that cannot answer, and for a leader without any."""
        if not self._pauses.unheard:
            return
        for member_id, follower in self.followers_by_id.items():
            # An earlier version of this program does not answer.
            if not follower.answers_pauses and self._pauses.counts_as_answer(
                now, heard_at=follower.heard_at
            ):
                self.note_answer(member_id, self.pauses)
        if self._pauses.end_alone(now, self.followers_by_id):
            # Its callers may have submitted these jobs to the members that left.
            workload.end_unstarted(
                self._tables, self, before=self._pauses.began_at, now=now
            )

    def _update_start_rate(
        self, counts: StartCounts, late_s: float, now: float
    ) -> None:
        """Sample the last tick's starts and answers, and decide which jobs to shed.

        :param counts: its starts and answers.
        :param late_s: by how much the tick was late, in seconds.
        """
        cpu_s = cpu_time_s()
        elapsed_s = now - self._sampled_at
        self._start_rate.observe(
            cpu_s=cpu_s - self._sampled_cpu_s,
            starts=counts.starts,
            elapsed_s=elapsed_s,
            late_s=late_s,
        )
        self._start_backlog.observe(starts=counts.starts, elapsed_s=elapsed_s, now=now)
        self._sampled_at = now
        self._sampled_cpu_s = cpu_s
        priorities_before = self._start_demand.shares.keys()
        self._start_demand.update(self._start_backlog, now)
        if self._tables.forecast is not None:
            self._tables.forecast.starts_per_s = self.starts_per_s
        shares = self._start_demand.shares
        self._caller_jobs.shed_by_priority = shares
        if shares != self._told_shares:
            # A busy stream sends no heartbeat by itself: any other frame defers it.
            self._told_shares = shares
            for follower in self.followers_by_id.values():
                follower.request_heartbeat()
        if now - self._logged_at >= FORECAST_LOG_PERIOD_S:
            self._log_forecast(now)
        if shares.keys() != priorities_before:
            requested = sum(self._start_demand.requested_by_priority(now).values())
            log_event(
                Event.STARTS_SHED,
                shares=",".join(
                    f"{priority}:{share:.2f}" for priority, share in shares.items()
                ),
                requested_per_s=round(requested),
                starts_per_s=round(min(MAX_LOGGED_RATE, self.starts_per_s)),
                start_cost_us=round(self._start_rate.start_cost_s * 1e6),
                capacity_cores=round(self._start_rate.capacity_cores, 3),
                waited_share=round(self._start_backlog.waited_share, 2),
                limited_ms=round(self._start_backlog.limited_s(now) * 1000),
                queued=len(self._tables.jobs_by_id),
            )

    def _log_forecast(self, now: float) -> None:
        """Write what admission by forecast assumes, once a period."""
        period_s = now - self._logged_at
        self._logged_at = now
        counters = self._tables.counters
        refused = counters.refused_by_forecast + counters.refused_hopeless
        if refused == self._logged_refused and not self._start_demand.shares:
            return
        log_event(
            Event.FORECAST,
            period_s=period_s,
            refused=refused - self._logged_refused,
            margin_ms=round(self.margin_s * 1000),
            starts_per_s=round(min(MAX_LOGGED_RATE, self.starts_per_s)),
            start_cost_us=round(self._start_rate.start_cost_s * 1e6),
            capacity_cores=round(self._start_rate.capacity_cores, 3),
            waited_share=round(self._start_backlog.waited_share, 2),
            queued=len(self._tables.jobs_by_id),
            **{
                f"share_{priority}": round(share, 2)
                for priority, share in self._start_demand.shares.items()
            },
        )
        self._logged_refused = refused

    def _shed_load(self, late_s: float, now: float) -> None:
        was_shedding = bool(self._shedder.share)
        behind_s = self._start_backlog.behind_s(now)
        if self._forecasts:
            # The shares by priority answer a backlog. The other share would go on for
            # seconds after its end.
            behind_s = 0.0
            if self._start_demand.shares:
                late_s = 0.0
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

    def _schedule_dispatch(self) -> None:
        # All events of one event loop iteration share one pass over the queue.
        if not self._is_dispatch_scheduled:
            self._is_dispatch_scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def _dispatch(self) -> None:
        self._is_dispatch_scheduled = False
        if self._closed:
            return
        now = time.monotonic()
        if self._pauses.is_paused(now):
            return
        self._record_deferred(workload.dispatch(self._tables, self, now), now)

    def _record_deferred(self, deferred: Lateness | None, now: float) -> None:
        """Note jobs that a pass over the queue left unstarted despite free capacity.

        :param deferred: the best lateness among them; None if there are none.
        """
        if deferred is not None:
            self._schedule_dispatch()
        self._start_backlog.note_pass(
            left=deferred, waited_share=self._tables.left_waited_share, now=now
        )

    def _send_outcome(self, member_id: str, job_id: str, outcome: Outcome) -> None:
        if member_id == self.leadership.member_id:
            self._caller_jobs.settle(job_id, outcome)
            return
        follower = self.followers_by_id.get(member_id)
        if follower is not None:
            self._receipts.append(follower.send_outcome(job_id, outcome))

    def apply_routing(self, table: RoutingTable) -> None:
        """Use a new configuration for all further decisions."""
        self._tables.routing = table
        self._targets.apply_routing()

    def apply_drains(self, drains: DrainedDomains) -> None:
        """Start nothing more on the targets of drained failure domains."""
        workload.on_drained_domains(
            self._tables, self, drains.failure_domains, time.monotonic()
        )
        self._schedule_dispatch()
