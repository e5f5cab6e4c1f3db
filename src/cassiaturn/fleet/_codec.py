"""Converts messages between members to and from domain types."""

from collections.abc import Iterable

from cassiaturn.entities import (
    DrainedDomains,
    JobRequest,
    Resources,
    Route,
    TargetReport,
    TaskGroup,
    TaskRef,
)
from cassiaturn.fleet._leadership import Leadership
from cassiaturn.v1 import fleet_pb2 as pb
from cassiaturn.workload import Outcome, Submission, Verdict

MILLISECONDS = 1000

MAX_UINT32 = (1 << 32) - 1
"""Largest value of an unsigned 32-bit field."""

_VERDICT_TO_MESSAGE = {
    Verdict.COMPLETED: pb.JobOutcome.VERDICT_COMPLETED,
    Verdict.FAILED: pb.JobOutcome.VERDICT_FAILED,
    Verdict.REFUSED: pb.JobOutcome.VERDICT_REFUSED,
    Verdict.ABANDONED: pb.JobOutcome.VERDICT_ABANDONED,
}

_VERDICT_FROM_MESSAGE = {value: key for key, value in _VERDICT_TO_MESSAGE.items()}


def to_leadership(message: pb.Leadership) -> Leadership | None:
    """Return the leadership in a message; None if it is empty."""
    if not message.token:
        return None
    return Leadership(
        token=message.token,
        term=message.term,
        member_id=message.member_id,
        address=message.address,
    )


def from_leadership(leadership: Leadership | None) -> pb.Leadership:
    """Return the message for a leadership; an empty one for None."""
    if leadership is None:
        return pb.Leadership()
    return pb.Leadership(
        token=leadership.token,
        term=leadership.term,
        member_id=leadership.member_id,
        address=leadership.address,
    )


def from_outcome(job_id: str, outcome: Outcome) -> pb.JobOutcome:
    """Return the message for an outcome."""
    return pb.JobOutcome(
        job_id=job_id,
        verdict=_VERDICT_TO_MESSAGE[outcome.verdict],
        reason=outcome.reason,
        retry_after_ms=_milliseconds(outcome.retry_after_s),
    )


def to_outcome(message: pb.JobOutcome) -> Outcome:
    """Return the outcome in a message.

    An unknown verdict, as from a newer version, becomes ``ABANDONED``: it does not tell
    whether the job ran.
    """
    verdict = _VERDICT_FROM_MESSAGE.get(message.verdict, Verdict.ABANDONED)
    return Outcome(
        verdict=verdict,
        reason=message.reason,
        retry_after_s=message.retry_after_ms / MILLISECONDS,
    )


def from_drains(drains: DrainedDomains | None) -> pb.DrainedDomains:
    """Return the message for drained failure domains; an empty one for None."""
    if drains is None:
        return pb.DrainedDomains()
    return pb.DrainedDomains(
        version=drains.version, failure_domains=sorted(drains.failure_domains)
    )


def to_drains(message: pb.DrainedDomains) -> DrainedDomains | None:
    """Return the drained failure domains in a message; None if it is empty."""
    if not message.version:
        return None
    return DrainedDomains(
        version=message.version, failure_domains=frozenset(message.failure_domains)
    )


def from_completed(refs: Iterable[TaskRef]) -> list[pb.CompletedTask]:
    """Return the messages for completed tasks of one job."""
    return [
        pb.CompletedTask(
            occurrence=ref.occurrence, group=ref.group, task_index=ref.task_index
        )
        for ref in refs
    ]


def to_completed(
    job_id: str, messages: Iterable[pb.CompletedTask]
) -> frozenset[TaskRef]:
    """Return the completed tasks of a job that messages name."""
    return frozenset(
        TaskRef(job_id, message.occurrence, message.group, message.task_index)
        for message in messages
    )


def from_submission(
    request: JobRequest,
    route: Route,
    *,
    waited_s: float,
    limit_s: float,
    begun_earlier: bool,
    unconfirmed: bool,
    sent_s: float = 0.0,
    completed: Iterable[TaskRef] = (),
    earlier_tokens: Iterable[int] = (),
) -> pb.JobSubmission:
    """Return the message that forwards a job to the leader.

    :param waited_s: how long the caller has waited already, in seconds.
    :param limit_s: how long the caller waits from now, in seconds.
    :param begun_earlier: whether an earlier leader may have started the job.
    :param unconfirmed: whether the leader must not start the job before this member
        confirms it.
    :param sent_s: time of sending on this member's monotonic clock, in seconds; 0 if
        not told.
    :param completed: its tasks that are done under an earlier leader.
    :param earlier_tokens: tokens of the leaders that may have runs of it.
    """
    return pb.JobSubmission(
        job_id=request.job_id,
        payload=request.payload,
        groups=[_from_group(group) for group in request.groups],
        route=pb.JobRoute(
            name=route.name,
            service=route.service,
            priority=route.priority,
            latency_objective_ms=_milliseconds(route.latency_objective_s),
            stretch=route.stretch,
            max_attempts=route.max_attempts,
        ),
        waited_ms=_milliseconds(waited_s),
        limit_ms=_milliseconds(limit_s),
        begun_earlier=begun_earlier,
        unconfirmed=unconfirmed,
        sent_ms=round(sent_s * MILLISECONDS),
        completed=from_completed(completed),
        earlier_tokens=sorted(earlier_tokens),
    )


def to_submission(
    message: pb.JobSubmission,
    *,
    origin: str,
    failure_domain: str,
    unread_s: float = 0.0,
) -> Submission:
    """Return the job that another member forwarded.

    :param origin: id of that member.
    :param failure_domain: failure domain of that member.
    :param unread_s: how long the message waited to be read, in seconds.
    """
    route = message.route
    return Submission(
        request=JobRequest(
            job_id=message.job_id,
            payload=message.payload,
            groups=tuple(_to_group(group) for group in message.groups),
            must_be_stored=False,
        ),
        route=Route(
            name=route.name,
            host="",
            prefix="",
            service=route.service,
            priority=route.priority,
            latency_objective_s=route.latency_objective_ms / MILLISECONDS,
            stretch=route.stretch,
            max_attempts=route.max_attempts,
        ),
        origin=origin,
        waited_s=message.waited_ms / MILLISECONDS + unread_s,
        limit_s=message.limit_ms / MILLISECONDS - unread_s,
        begun_earlier=message.begun_earlier,
        failure_domain=failure_domain,
        is_confirmed=not message.unconfirmed,
        completed=to_completed(message.job_id, message.completed),
        earlier_tokens=frozenset(message.earlier_tokens) or None,
    )


def from_target(report: TargetReport) -> pb.TargetEntry:
    """Return the message for a directory entry."""
    return pb.TargetEntry(
        target_id=report.target_id,
        address=report.address,
        service=report.service,
        failure_domain=report.failure_domain,
        capacity=_from_resources(report.capacity),
        labels=sorted(report.labels),
        leaving=report.leaving,
        sequence=report.sequence,
        incarnation=report.incarnation,
    )


def to_target(message: pb.TargetEntry) -> TargetReport:
    """Return the directory entry in a message."""
    return TargetReport(
        target_id=message.target_id,
        address=message.address,
        service=message.service,
        failure_domain=message.failure_domain,
        capacity=_to_resources(message.capacity),
        labels=frozenset(message.labels),
        leaving=message.leaving,
        sequence=message.sequence,
        incarnation=message.incarnation,
    )


def _milliseconds(seconds: float) -> int:
    """Return a time in milliseconds, clamped to an unsigned 32-bit field."""
    return max(0, min(round(seconds * MILLISECONDS), MAX_UINT32))


def _from_group(group: TaskGroup) -> pb.JobGroup:
    return pb.JobGroup(
        count=group.count,
        resources=_from_resources(group.resources),
        expected_run_ms=_milliseconds(group.expected_run_s),
        after=group.after,
        required_label=group.required_label,
        preferred_rack=group.preferred_rack,
        max_per_target=group.max_per_target,
    )


def _to_group(message: pb.JobGroup) -> TaskGroup:
    return TaskGroup(
        count=message.count,
        resources=_to_resources(message.resources),
        expected_run_s=message.expected_run_ms / MILLISECONDS,
        after=tuple(message.after),
        required_label=message.required_label,
        preferred_rack=message.preferred_rack,
        max_per_target=message.max_per_target,
    )


def _from_resources(resources: Resources) -> pb.TaskResources:
    return pb.TaskResources(
        cpu_millis=resources.cpu_millis,
        memory_mib=resources.memory_mib,
        accelerators=resources.accelerators,
    )


def _to_resources(message: pb.TaskResources) -> Resources:
    return Resources(
        cpu_millis=message.cpu_millis,
        memory_mib=message.memory_mib,
        accelerators=message.accelerators,
    )
