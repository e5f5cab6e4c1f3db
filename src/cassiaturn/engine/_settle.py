"""Settles jobs: records one final answer and removes all state of the job."""

from collections.abc import Sequence

from cassiaturn.engine._state import State
from cassiaturn.engine._tables import Job, Submission, TaskRecord, TaskState
from cassiaturn.entities import Answer, Outcome, Ran, Reason


def settle_not_run(
    state: State,
    submission: Submission,
    reason: Reason,
    detail: str,
    now: float,
    *,
    retry_after_ms: int = 0,
) -> Answer:
    """Settle a submission of which no task was sent; the answer is final."""
    answer = Answer(
        submission_id=submission.submission_id,
        outcome=Outcome.NOT_RUN,
        ran=Ran.NOTHING,
        reason=reason,
        detail=detail,
        retry_after_ms=retry_after_ms,
        tasks_total=len(submission.payloads),
    )
    settled = state.submissions.settle(answer, now)
    state.ports.deliver(settled, None)
    return settled


def settle_complete(state: State, job: Job, now: float) -> None:
    """Settle a job of which every task has a result."""
    results = [result for result in job.results if result is not None]
    answer = Answer(
        submission_id=job.submission_id,
        outcome=Outcome.COMPLETE,
        ran=Ran.EVERYTHING,
        results=results,
        tasks_done=len(job.results),
        tasks_total=len(job.results),
    )
    _settle_job(state, job, answer, now)


def settle_incomplete(
    state: State,
    job: Job,
    reason: Reason,
    detail: str,
    now: float,
    *,
    possibly_run: Sequence[TaskRecord] = (),
) -> None:
    """Settle a job that will not complete, claiming only what is certain.

    :param possibly_run: tasks that may or may not have run.
    """
    # A pending start may begin or end at any moment, so NOT_RUN is answered only
    # if every start that was sent was also refused.
    record = state.submissions.get(job.submission_id)
    nothing_ran = (
        record is not None and record.possible_starts == 0 and not possibly_run
    )
    answer = Answer(
        submission_id=job.submission_id,
        outcome=Outcome.NOT_RUN if nothing_ran else Outcome.FAILED,
        ran=_what_ran(job, nothing_ran, possibly_run),
        reason=reason,
        detail=detail,
        tasks_done=len(job.results) - job.remaining,
        tasks_total=len(job.results),
    )
    _settle_job(state, job, answer, now)


def settle_superseded(state: State, job: Job, now: float) -> None:
    """End a job whose outcome only the successor may decide."""
    answer = Answer(
        submission_id=job.submission_id,
        outcome=Outcome.UNKNOWN,
        ran=Ran.MAYBE,
        reason=Reason.SUPERSEDED,
        detail="another instance took over; submit the same id again to learn",
        tasks_done=len(job.results) - job.remaining,
        tasks_total=len(job.results),
    )
    _settle_job(state, job, answer, now)


def supersede_all(state: State, now: float) -> None:
    """End every job after a successor fenced this incarnation."""
    for job in list(state.jobs_by_id.values()):
        settle_superseded(state, job, now)


def cancel(state: State, submission_id: str, now: float) -> bool:
    """Cancel a job that is not settled.

    :returns: whether the job was cancelled; False if it is unknown or settled.
    """
    job = state.jobs_by_id.get(submission_id)
    if job is None:
        return False
    possibly_run = [r for r in job.records if r.state is TaskState.SPILLED]
    detail = f"cancelled with {job.remaining} tasks to go"
    settle_incomplete(
        state, job, Reason.CANCELLED, detail, now, possibly_run=possibly_run
    )
    return True


def _what_ran(job: Job, nothing_ran: bool, possibly_run: Sequence[TaskRecord]) -> Ran:
    if nothing_ran:
        return Ran.NOTHING
    if job.remaining == 0:
        return Ran.EVERYTHING
    if job.ran:
        return Ran.SOME
    return Ran.MAYBE


def _settle_job(state: State, job: Job, answer: Answer, now: float) -> None:
    settled = state.submissions.settle(answer, now)
    del state.jobs_by_id[job.submission_id]
    state.queue.cancel(job.submission_id)
    state.queue.forget_job(job.submission_id)
    for record in job.records:
        _discard_record(state, record, now)
    state.ports.deliver(settled, job)


def _discard_record(state: State, record: TaskRecord, now: float) -> None:
    ports = state.ports
    attempt = record.task.attempt
    match record.state:
        case TaskState.RUNNING:
            # The record keeps its slot until the target reports the end of the
            # cancelled run.
            ports.send_cancel(record.target_id, record.key, attempt)
            record.state = TaskState.CANCELLED
        case TaskState.SPILLED:
            ports.cancel_spill(record.peer, record.key, attempt)
            record.state = TaskState.CANCELLED
            state.in_flight_by_key.pop(record.key, None)
            state.records_by_key.pop(record.key, None)
        case TaskState.DONE:
            if record.target_id:
                state.acknowledge_later(record, now)
            state.records_by_key.pop(record.key, None)
        case _:
            record.state = TaskState.CANCELLED
            state.records_by_key.pop(record.key, None)
