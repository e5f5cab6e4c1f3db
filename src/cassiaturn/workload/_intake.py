"""Handles submissions: joins resubmissions, refuses jobs or queues them."""

from dataclasses import dataclass

from cassiaturn.entities import JobRequest, Route, TaskRef
from cassiaturn.observability import Event
from cassiaturn.sharing import (
    job_deadlines,
    longest_chain_s,
    remote_rack_factor,
)
from cassiaturn.workload._admission import make_refusal, refuse_by_policy
from cassiaturn.workload._ends import apply_completed, apply_unclaimed_ends
from cassiaturn.workload._forecast import note_admitted, note_run, note_target
from cassiaturn.workload._hopeless import note_queued
from cassiaturn.workload._ports import Ports
from cassiaturn.workload._settle import remove_ended_job, settle
from cassiaturn.workload._tables import (
    CANCELLED,
    EndedJob,
    Job,
    Outcome,
    RunState,
    Tables,
    Task,
    Verdict,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """A job as a member of the fleet passes it on to the leader."""

    request: JobRequest
    """What the caller asked for."""

    route: Route
    """The route by which it came."""

    origin: str
    """Member whose caller waits for it."""

    waited_s: float
    """Time since the caller sent it, in seconds."""

    limit_s: float
    """Time until its caller stops waiting, in seconds from now."""

    begun_earlier: bool = False
    """Whether tasks of it may be running that an earlier leader started."""

    earlier_tokens: frozenset[int] | None = None
    """Tokens of the leaders that may have started them; None: not told."""

    failure_domain: str = ""
    """Failure domain of that member; empty: not known."""

    completed: frozenset[TaskRef] = frozenset()
    """Its tasks that are done under an earlier leader."""

    is_confirmed: bool = True
    """Whether it may be started at once. Otherwise it waits for :func:`confirm`: its
    member first records that the job may have begun, to tell a later leader."""


def submit(
    tables: Tables, ports: Ports, submission: Submission, now: float
) -> Outcome | None:
    """Accept, join or refuse a submission.

    :param now: time in seconds.
    :returns: its outcome if that is known at once; None: it follows later.
    """
    job_id = submission.request.job_id
    job = tables.jobs_by_id.get(job_id)
    if job is not None:
        # The caller lost its connection and came back through another member. Starting
        # the job anew would run its tasks twice at the same time.
        _join(tables, job, submission, now)
        ports.record(Event.JOB_JOINED, id=job_id, origin=submission.origin)
        apply_completed(tables, ports, job, submission.completed, now)
        return None
    ended_job = tables.ended_jobs_by_id.pop(job_id, None)
    known_outcome = ended_job.outcome if ended_job is not None else None
    if ended_job is not None and known_outcome is not None and _is_final(known_outcome):
        tables.ended_jobs_by_id[job_id] = ended_job
        ports.record(Event.JOB_REPEATED, id=job_id, origin=submission.origin)
        return known_outcome
    job = _make_job(tables, submission, now, ended_job.next_run if ended_job else 0)
    has_begun = submission.begun_earlier or _has_ended_tasks(tables, job)
    refusal = None if has_begun else _refusal(tables, job, now)
    if refusal is not None:
        tables.counters.refused += 1
        return refusal
    tables.add_job(job, now)
    note_queued(tables, job)
    note_admitted(tables, job, now)
    ports.record(
        Event.JOB_QUEUED,
        id=job_id,
        route=job.route.name,
        origin=submission.origin,
        tasks=len(job.tasks_by_ref),
        expected_ms=round(job.expected_run_s * 1000),
        due_ms=round((job.deadlines.due_at - job.arrived_at) * 1000),
        useful_ms=round((job.deadlines.useful_until - job.arrived_at) * 1000),
        limit_ms=round((job.deadlines.limit_at - job.arrived_at) * 1000),
        waited_ms=round((now - job.arrived_at) * 1000),
        inherited=submission.begun_earlier,
        confirmed=job.is_confirmed,
        version=tables.routing.version if tables.routing is not None else 0,
        **_forecast_field(job, now),
    )
    apply_completed(tables, ports, job, submission.completed, now)
    if job.job_id in tables.jobs_by_id:
        _adopt_listed_runs(tables, job, now)
        apply_unclaimed_ends(tables, ports, job, now)
    return None


def _forecast_field(job: Job, now: float) -> dict[str, int]:
    """Return the field of the log that tells when a job is expected to start."""
    if job.forecast_start_at is None:
        return {}
    return {"forecast_ms": round((job.forecast_start_at - now) * 1000)}


def _join(tables: Tables, job: Job, submission: Submission, now: float) -> None:
    """Add another waiting caller to a job."""
    job.origins.add(submission.origin)
    job.is_confirmed |= submission.is_confirmed or submission.begun_earlier
    if submission.begun_earlier:
        # Tasks of it that wait here may run under a leader that this one knows nothing
        # of, also if this leader has started others of them.
        tokens = submission.earlier_tokens
        job.earlier_tokens = _union(job.earlier_tokens, tokens)
        if (
            not job.begun
            or tokens is None
            or not tokens <= tables.covered_tokens
            or tables.may_lack_targets_of(tokens, {submission.origin})
        ):
            job.begun = True
            job.hold_until = now + tables.settings.inherited_hold_s
    limit_at = now + submission.limit_s
    if limit_at > job.deadlines.limit_at:
        job.deadlines = job_deadlines(
            job.route,
            arrived_at=job.arrived_at,
            chain_s=job.expected_run_s,
            limit_at=limit_at,
        )
        tables.queue_by_service[job.route.service].discard(job)
        tables.requeue(job)


def _union(
    one: frozenset[int] | None, other: frozenset[int] | None
) -> frozenset[int] | None:
    """Return all tokens; None if some were not told."""
    return None if one is None or other is None else one | other


def confirm(tables: Tables, job_id: str) -> bool:
    """Allow a job to be started, now that its member recorded that it may have begun.

    :returns: whether it was not allowed before.
    """
    job = tables.jobs_by_id.get(job_id)
    if job is None or job.is_confirmed:
        return False
    job.is_confirmed = True
    return True


def cancel(tables: Tables, ports: Ports, job_id: str, origin: str, now: float) -> bool:
    """Remove one member from a job's origins; the job ends with the last one.

    :returns: whether the job was known.
    """
    job = tables.jobs_by_id.get(job_id)
    if job is None:
        return False
    job.origins.discard(origin)
    if not job.origins:
        ports.record(
            Event.JOB_CANCELLED,
            id=job_id,
            origin=origin,
            age_ms=round((now - job.arrived_at) * 1000),
        )
        remove_ended_job(tables, ports, job, None, now)
    return True


def cancel_by_caller(tables: Tables, ports: Ports, job_id: str, now: float) -> bool:
    """End a job because its caller cancelled it, and remember that.

    A copy of its request may still arrive, or its first one.

    :param now: time in seconds.
    :returns: whether the job was active, or cancelled before.
    """
    job = tables.jobs_by_id.get(job_id)
    if job is not None:
        ports.record(
            Event.JOB_CANCELLED,
            id=job_id,
            by_caller=True,
            age_ms=round((now - job.arrived_at) * 1000),
        )
        settle(tables, ports, job, CANCELLED, now)
        return True
    ended_job = tables.ended_jobs_by_id.pop(job_id, None)
    known_outcome = ended_job.outcome if ended_job is not None else None
    if ended_job is not None and known_outcome is not None and _is_final(known_outcome):
        tables.ended_jobs_by_id[job_id] = ended_job
        return known_outcome == CANCELLED
    tables.ended_jobs_by_id[job_id] = EndedJob(
        outcome=CANCELLED, next_run=ended_job.next_run if ended_job else 0, at=now
    )
    return False


def cancelled_jobs(tables: Tables) -> list[str]:
    """Return the ids of the jobs that callers cancelled lately."""
    return [
        job_id
        for job_id, ended_job in tables.ended_jobs_by_id.items()
        if ended_job.outcome == CANCELLED
    ]


def on_member_gone(tables: Tables, ports: Ports, member: str, now: float) -> None:
    """End the jobs of a member that is gone or partitioned.

    Its callers submit again elsewhere after a pause. Its runs must have ended by then,
    or their tasks would run twice at the same time.
    """
    member_jobs = [job for job in tables.jobs_by_id.values() if member in job.origins]
    for job in member_jobs:
        cancel(tables, ports, job.job_id, member, now)


def _has_ended_tasks(tables: Tables, job: Job) -> bool:
    """Return whether a task of a job is known to have ended under an earlier leader."""
    return any(ref in tables.unclaimed_ends_by_ref for ref in job.tasks_by_ref)


def _is_final(outcome: Outcome) -> bool:
    """Return whether a late resubmission gets this answer again.

    A refused job never ran, and an abandoned one may be tried again.
    """
    return outcome.verdict in (Verdict.COMPLETED, Verdict.FAILED)


def _make_job(tables: Tables, submission: Submission, now: float, next_run: int) -> Job:
    request = submission.request
    route = submission.route
    expected = tables.expected
    group_runs = [
        expected.expected_s(route.name, group.expected_run_s)
        for group in request.groups
    ]
    chain_s = longest_chain_s(request.groups, group_runs)
    arrived_at = now - submission.waited_s
    first_run_number = max(
        next_run, tables.term * tables.settings.run_numbers_per_term + 1
    )
    tasks = [
        Task(
            ref=TaskRef(request.job_id, 0, position, index),
            group=group,
            next_run=first_run_number,
        )
        for position, group in enumerate(request.groups)
        for index in range(group.count)
    ]
    hold_until = 0.0
    if submission.begun_earlier:
        hold_until = now + tables.settings.inherited_hold_s
    return Job(
        request=request,
        route=route,
        arrived_at=arrived_at,
        deadlines=job_deadlines(
            route,
            arrived_at=arrived_at,
            chain_s=chain_s,
            limit_at=now + submission.limit_s,
        ),
        expected_run_s=chain_s,
        origins={submission.origin},
        tasks_by_ref={task.ref: task for task in tasks},
        waiting=tasks,
        remaining_by_group=[group.count for group in request.groups],
        least_cpu_millis=min(group.resources.cpu_millis for group in request.groups),
        hold_until=hold_until,
        earlier_tokens=(
            submission.earlier_tokens if submission.begun_earlier else frozenset()
        ),
        begun=submission.begun_earlier,
        failure_domain=submission.failure_domain,
        is_confirmed=submission.is_confirmed or submission.begun_earlier,
    )


def _refusal(tables: Tables, job: Job, now: float) -> Outcome | None:
    """Return a refusal if a job cannot be served in time; None: it may be."""
    settings = tables.settings
    if not tables.targets_by_id and now < tables.began_at + settings.directory_wait_s:
        return None
    if not has_target(tables, job.route.service):
        reason = "drained" if has_drained(tables, job.route.service) else "no_target"
        return make_refusal(reason, job, settings.min_retry_after_s)
    return refuse_by_policy(tables, job, now)


def has_target(tables: Tables, service: str) -> bool:
    """Return whether any target of a service accepts new work."""
    return any(
        target.service == service
        and not target.leaving
        and not tables.is_drained(target)
        for target in tables.targets_by_id.values()
    )


def has_drained(tables: Tables, service: str) -> bool:
    """Return whether operators drain any target of a service."""
    return any(
        target.service == service and tables.is_drained(target)
        for target in tables.targets_by_id.values()
    )


def _adopt_listed_runs(tables: Tables, job: Job, now: float) -> None:
    """Assign runs that targets have already listed to the tasks of a job."""
    for task in list(job.waiting):
        run = tables.runs_by_ref.get(task.ref)
        if run is None or run.state is RunState.STOPPING:
            continue
        adopt_run(tables, job, task, now)


def adopt_run(tables: Tables, job: Job, task: Task, now: float) -> None:
    """Assign a run that a target listed to its task.

    :param now: time in seconds.
    """
    run = tables.runs_by_ref[task.ref]
    task.assign_run(run)
    task.next_run = max(task.next_run, run.number + 1)
    job.waiting.remove(task)
    tables.requeue(job)
    job.begun = True
    if run.group is None:
        run.group = task.group
        target = tables.targets_by_id[run.target_id]
        run.remote_factor = remote_rack_factor(
            task.group, target.labels, tables.settings.remote_rack_factor
        )
        target.allocate(task.group.resources, run.group_key)
        note_target(tables, target, now)
        note_run(tables, run, now)
