"""Decodes the platform's messages into cassiaturn's types."""

from pydantic_core import ValidationError
from returns.result import Failure, Result, Success

from cassiaturn._core_models import describe_error
from cassiaturn.entities import (
    AdvicePolicy,
    DrainRequest,
    EndedRun,
    JobRequest,
    LeaseReport,
    RequestLimits,
    Resources,
    Route,
    RoutingTable,
    RunEnd,
    RunningTask,
    Schedule,
    Service,
    TargetReport,
    TaskGroup,
    TaskRef,
)
from cassiaturn.platform._documents import (
    MAX_WIRE_INT,
    CapacityDocument,
    ConfigurationDocument,
    JobDocument,
    LeaseReply,
    RouteDocument,
    RunnerDocument,
    StepDocument,
)

MS_PER_S = 1000

CONFIGURATION_KEY = "config"
"""Key of the operators' row that holds the configuration."""

DRAIN_KEY_PREFIX = "evacuate/"
"""Prefix of the keys of rows that drain a failure domain, before its name."""

MAX_TASKS_PER_JOB = 100_000
"""Limit on the tasks of one job. The largest jobs have about 750."""

_RUN_END_BY_NAME = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LEASE_EXPIRED,
    "broken": RunEnd.PEER_ENDED,
    "alone": RunEnd.NO_PEERS,
}


def decode_job(job_id: str, body: bytes) -> Result[JobRequest, str]:
    """Decode a job.

    :param job_id: id of the job, from the request's path.
    :param body: body of the request.
    :returns: the job, or a readable description of the first error in it.
    """
    try:
        document = JobDocument.model_validate_json(body)
    except ValidationError as error:
        return Failure(describe_error(error))
    for position, step in enumerate(document.steps):
        if any(earlier >= position for earlier in step.after):
            return Failure(f"steps.{position}.after: may name earlier steps only")
    if sum(step.count for step in document.steps) > MAX_TASKS_PER_JOB:
        return Failure(f"steps: {MAX_TASKS_PER_JOB} tasks at most")
    schedule = None
    if document.repetitions or document.start_at_ms:
        schedule = Schedule(
            repetitions=document.repetitions,
            first_at_ms=document.start_at_ms,
            interval_ms=document.interval_ms,
        )
    return Success(
        JobRequest(
            job_id=job_id,
            payload=document.task_spec,
            groups=tuple(_to_group(step) for step in document.steps),
            must_be_stored=not document.best_effort,
            schedule=schedule,
        )
    )


def is_operator_key(key: str) -> bool:
    """Return whether an operators' row with a key concerns this system."""
    return key == CONFIGURATION_KEY or key.startswith(DRAIN_KEY_PREFIX)


def decode_operator_row(
    key: str, document: bytes
) -> RoutingTable | DrainRequest | None:
    """Decode an operators' row; None if it is malformed.

    A drain is in force as long as its row is there, whatever the row contains.
    """
    if key == CONFIGURATION_KEY:
        return decode_configuration(document)
    failure_domain = key.removeprefix(DRAIN_KEY_PREFIX)
    return DrainRequest(failure_domain=failure_domain) if failure_domain else None


def decode_configuration(document: bytes) -> RoutingTable | None:
    """Decode the configuration that operators publish; None if it is malformed."""
    try:
        parsed = ConfigurationDocument.model_validate_json(document)
    except ValidationError:
        return None
    limits = parsed.limits
    services = [
        Service(
            name=service.name,
            admission_check=service.admission_check,
            connections_per_target=service.max_connections,
            spare=service.spare,
        )
        for service in parsed.services
    ]
    return RoutingTable(
        version=parsed.version,
        routes=tuple(_to_route(route) for route in parsed.routes),
        services_by_name={service.name: service for service in services},
        limits=RequestLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
        ),
        document=document,
    )


def decode_target(target_id: str, document: bytes) -> TargetReport | None:
    """Decode a target's directory entry; None if it names no target."""
    # Orders name the id in a header.
    if not (target_id.isascii() and target_id.isprintable()):
        return None
    try:
        parsed = RunnerDocument.model_validate_json(document)
    except ValidationError:
        return None
    if not (parsed.address.port and parsed.capacity.cpu):
        return None
    return TargetReport(
        target_id=target_id,
        address=str(parsed.address),
        service=parsed.service,
        failure_domain=parsed.zone,
        capacity=to_resources(parsed.capacity),
        labels=frozenset(parsed.labels),
        leaving=parsed.state == "draining",
        remaining_s=parsed.remaining_ms / MS_PER_S,
        slow_start_s=parsed.cold_remaining_ms / MS_PER_S,
        incarnation=parsed.born,
        sequence=max(0, min(parsed.sequence, MAX_WIRE_INT)),
    )


def decode_lease_report(body: bytes) -> LeaseReport | None:
    """Decode a target's running and ended runs; None if they are malformed."""
    try:
        parsed = LeaseReply.model_validate_json(body)
        running = tuple(
            RunningTask(
                ref=decode_ref(row[0]),
                run=row[1],
                checkpoint=row[2],
                percent=int(row[3]),
                recent_load=row[4] if len(row) == 5 else 0.0,
            )
            for row in parsed.running
        )
        ended = tuple(
            EndedRun(
                sequence=sequence,
                ref=decode_ref(name),
                run=run,
                end=_RUN_END_BY_NAME[end_name],
                checkpoint=checkpoint,
            )
            for sequence, name, run, end_name, checkpoint in parsed.ended
        )
    except (ValidationError, ValueError, KeyError, OverflowError):
        return None
    return LeaseReport(
        clock_ms=parsed.clock_ms, running=running, ended=ended, incarnation=parsed.born
    )


def encode_ref(ref: TaskRef) -> str:
    """Return a task's name on the wire: ``job.occurrence.step.index``."""
    return f"{ref.job_id}.{ref.occurrence}.{ref.group}.{ref.task_index}"


def decode_ref(name: str) -> TaskRef:
    """Return the task that a name on the wire refers to.

    :raises ValueError: the name is malformed.
    """
    job_id, occurrence, group, task_index = name.split(".")
    return TaskRef(job_id, int(occurrence), int(group), int(task_index))


def to_resources(document: CapacityDocument | StepDocument) -> Resources:
    """Return the resources that a worker has or a task needs."""
    return Resources(
        cpu_millis=document.cpu,
        memory_mib=document.mem_mb,
        accelerators=document.gpu,
    )


def _to_group(step: StepDocument) -> TaskGroup:
    return TaskGroup(
        count=step.count,
        resources=to_resources(step),
        expected_run_s=step.estimated_ms / MS_PER_S,
        after=tuple(step.after),
        required_label=step.requirements,
        preferred_rack=step.affinity,
        max_per_target=step.anti_affinity,
        all_or_none=step.gang,
        same_rack=step.same_rack,
        checkpoints=step.checkpointing,
        copies_allowed=step.speculative,
        long_running=step.long_running,
        image=step.image,
        latency_objective_s=step.target_ms / MS_PER_S,
        fills_leftover=step.fills,
        max_unavailable=step.may_miss,
    )


def _to_route(route: RouteDocument) -> Route:
    advice = None
    if route.advice is not None:
        advice = AdvicePolicy(
            decision_ms=round(route.advice.decision_ms),
            per_target_ms=route.advice.each_ms,
            valid_ms=round(route.advice.valid_ms),
        )
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        timeout_s=route.timeout_ms / MS_PER_S,
        latency_objective_s=route.target_latency_ms / MS_PER_S,
        stretch=route.stretch or 1.0,
        max_attempts=max(1, route.max_attempts),
        advice=advice,
    )
