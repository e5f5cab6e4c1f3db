"""Accepts submissions at their home: validation, admission control, queueing.

The home of a submission is the instance that settles its answer.
"""

from cassiaturn.engine._settle import settle_not_run
from cassiaturn.engine._state import State
from cassiaturn.engine._tables import Job, Submission, TaskRecord, TaskState
from cassiaturn.entities import Answer, Method, Outcome, Reason, TaskKey
from cassiaturn.policy import AdmissionRequest, Admit, LoadView, QueuedTask
from cassiaturn.submission import (
    Expired,
    Joined,
    Mismatched,
    Opened,
    Settled,
    fingerprint_of,
)

STARTING_RETRY_MS = 200
"""Retry-after, in milliseconds, until the shared configuration is read: long enough
for a few reads of its table."""


def submit(state: State, submission: Submission, now: float) -> Answer:
    """Accept or refuse a submission at its home.

    :param submission: what the caller sent; this instance must be the home of its
        id.
    :param now: monotonic time, in seconds.
    :returns: the answer if it is known, else one with ``PENDING``.
    """
    if not state.tenants_by_name:
        return _starting(submission.submission_id)
    if state.superseded and state.submissions.get(submission.submission_id) is None:
        return _superseded(submission.submission_id)
    opening = state.submissions.open(
        submission_id=submission.submission_id,
        fingerprint=fingerprint(submission),
        tasks_total=len(submission.payloads),
        now=now,
        adopted=submission.resumed,
        owner=submission.tenant,
    )
    match opening:
        case Settled():
            return opening.answer
        case Joined():
            if opening.record.answer is not None:
                return opening.record.answer
            return pending(state, submission.submission_id, len(submission.payloads))
        case Mismatched():
            return _mismatch(submission.submission_id)
        case Expired():
            return opening.answer
        case Opened():
            return _admit(state, submission, now)


def fingerprint(submission: Submission) -> bytes:
    """Return a digest of the tenant, the method and the payloads of a submission.

    It covers the tenant so that no tenant gets the answer to another tenant's
    request with the same id.
    """
    qualified_method = f"{submission.tenant}/{submission.method}"
    return fingerprint_of(method=qualified_method, tasks=submission.payloads)


def pending(state: State, submission_id: str, tasks_total: int) -> Answer:
    """Return the progress of a submission that has no answer yet."""
    job = state.jobs_by_id.get(submission_id)
    done = len(job.results) - job.remaining if job else 0
    return Answer(
        submission_id=submission_id,
        outcome=Outcome.PENDING,
        tasks_done=done,
        tasks_total=tasks_total,
    )


def _admit(state: State, submission: Submission, now: float) -> Answer:
    problem = _validate(state, submission)
    if problem is not None:
        reason, detail = problem
        return settle_not_run(state, submission, reason, detail, now)
    method = state.schema.methods_by_name[submission.method]
    deadline_s = submission.deadline_s or method.deadline_ms / 1000
    expected_s = state.admission.expected_run_s(
        method.name, method.expected_run_ms / 1000
    )
    if not submission.resumed:
        request = AdmissionRequest(
            submission_id=submission.submission_id,
            tenant=submission.tenant,
            caller=submission.caller,
            request_class=method.request_class,
            method=method.name,
            tasks=len(submission.payloads),
            expected_run_s=expected_s,
            deadline_in_s=deadline_s,
        )
        decision = state.admission.decide(request, load_view(state, submission, now))
        if not isinstance(decision, Admit):
            state.counters.refused += 1
            return settle_not_run(
                state,
                submission,
                decision.reason,
                decision.detail,
                now,
                retry_after_ms=round(decision.retry_after_s * 1000),
            )
    state.counters.admitted += 1
    job = _make_job(submission, method, deadline_s, now)
    state.jobs_by_id[job.submission_id] = job
    for _ in range(
        len(submission.adopted_by_index) + len(submission.run_after_by_index)
    ):
        # These tasks ran or may have run, so NOT_RUN would be false from now on.
        state.submissions.begin(job.submission_id)
    state.add_deadline(job)
    _make_records(state, job, submission, expected_s, now)
    return pending(state, job.submission_id, len(job.results))


def load_view(state: State, submission: Submission, now: float) -> LoadView:
    """Return the load that admission control takes into account."""
    tenant = submission.tenant
    return LoadView(
        now=now,
        slots=state.usable_slots(),
        busy=sum(state.running_by_class.values()),
        queued_by_class=state.queue.queued_by_class(),
        tenant_running=state.running_by_tenant[tenant],
        tenant_queued=state.queue.queued_of(tenant),
        tenant_quota_slots=state.quota_share_by_tenant.get(tenant, 0),
        mean_run_s_by_class=state.mean_run_s_by_class,
        peers_free_slots=sum(
            row.free_slots for row in state.peers_by_incarnation.values() if row.ready
        ),
    )


def _validate(state: State, submission: Submission) -> tuple[Reason, str] | None:
    settings = state.settings
    if state.draining and not submission.resumed:
        return Reason.DRAINING, "this instance is stopping; take a ticket elsewhere"
    if submission.tenant not in state.tenants_by_name:
        problem = "the shared configuration names no such tenant"
        return Reason.UNKNOWN_TENANT, f"tenant '{submission.tenant}': {problem}"
    if submission.method not in state.schema.methods_by_name:
        return Reason.INVALID, f"method '{submission.method}' is in no schema here"
    count = len(submission.payloads)
    if not 1 <= count <= settings.max_tasks_per_job:
        allowed = f"1 to {settings.max_tasks_per_job} are allowed"
        return Reason.INVALID, f"{count} tasks in one submission; {allowed}"
    largest = max(map(len, submission.payloads))
    if largest > settings.max_payload_bytes:
        allowed = f"{settings.max_payload_bytes} are allowed"
        return Reason.INVALID, f"a task of {largest} bytes; {allowed}"
    total = sum(map(len, submission.payloads))
    if total > settings.max_job_bytes:
        allowed = f"{settings.max_job_bytes} are allowed"
        return Reason.INVALID, f"a submission of {total} bytes; {allowed}"
    return None


def _make_job(
    submission: Submission, method: Method, deadline_s: float, now: float
) -> Job:
    results: list[bytes | None] = [
        submission.adopted_by_index.get(index)
        for index in range(len(submission.payloads))
    ]
    return Job(
        submission_id=submission.submission_id,
        tenant=submission.tenant,
        caller=submission.caller,
        method=method,
        accepted_at=now,
        deadline_at=now + deadline_s,
        results=results,
        remaining=results.count(None),
        ran=submission.resumed,
    )


def _make_records(
    state: State, job: Job, submission: Submission, expected_s: float, now: float
) -> None:
    for index, payload in enumerate(submission.payloads):
        if index in submission.adopted_by_index:
            continue
        record = _make_record(state, job, index, payload, expected_s, now)
        job.records.append(record)
        state.records_by_key[record.key] = record
        run_after = submission.run_after_by_index.get(index)
        if run_after is None:
            state.enqueue(record)
        else:
            state.delay(record, run_after)


def _make_record(
    state: State, job: Job, index: int, payload: bytes, expected_s: float, now: float
) -> TaskRecord:
    key = TaskKey(job.submission_id, index)
    task = QueuedTask(
        key=key,
        tenant=job.tenant,
        caller=job.caller,
        request_class=job.method.request_class,
        method=job.method.name,
        resources=job.method.resources,
        enqueued_at=now,
        start_by=job.deadline_at,
        job_remaining=job.remaining,
        repeatable=job.method.repeatable,
        expected_run_s=expected_s,
    )
    return TaskRecord(
        key=key,
        task=task,
        method=job.method,
        payload=payload,
        home=state.settings.incarnation,
        origin=None,
        state=TaskState.QUEUED,
    )


def _starting(submission_id: str) -> Answer:
    # A refusal would be final for the id, and wrong while the tenants of the
    # shared configuration are not known yet.
    return Answer.unknown(
        submission_id,
        Reason.HOME_UNREACHABLE,
        "its home is starting and has no shared configuration yet",
        retry_after_ms=STARTING_RETRY_MS,
    )


def _superseded(submission_id: str) -> Answer:
    return Answer.unknown(
        submission_id,
        Reason.SUPERSEDED,
        "another instance took over; submit the same id there",
    )


def _mismatch(submission_id: str) -> Answer:
    # The id belongs to another request. That request's answer must not leak, and
    # NOT_RUN may be false for the id, so only this call gets the answer.
    return Answer.unknown(
        submission_id,
        Reason.MISMATCH,
        "this id was used for another request; submit under a new id",
    )
