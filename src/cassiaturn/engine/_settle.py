"""How a job ends: one final answer, and nothing of it left behind."""

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
    """Settle a submission of which nothing was sent; final for its id."""
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
    """Settle a job whose every task has its result."""
    results = [result for result in job.results if result is not None]
    answer = Answer(
        submission_id=job.submission_id,
        outcome=Outcome.COMPLETE,
        ran=Ran.EVERYTHING,
        results=results,
        tasks_done=len(job.results),
        tasks_total=len(job.results),
    )
    _finish(state, job, answer, now)


def settle_incomplete(
    state: State,
    job: Job,
    reason: Reason,
    detail: str,
    now: float,
    *,
    maybe: Sequence[TaskRecord] = (),
) -> None:
    """Settle a job that will not be complete, as truly as can be said.

    :param maybe: tasks of which nobody can say whether they ran.
    """
    # A start in force may begin or end at any moment, so "not run" is said
    # only when none was ever sent and not refused.
    record = state.submissions.get(job.submission_id)
    nothing = record is not None and record.possible_starts == 0 and not maybe
    answer = Answer(
        submission_id=job.submission_id,
        outcome=Outcome.NOT_RUN if nothing else Outcome.FAILED,
        ran=_what_ran(job, nothing, maybe),
        reason=reason,
        detail=detail,
        tasks_done=len(job.results) - job.remaining,
        tasks_total=len(job.results),
    )
    _finish(state, job, answer, now)


def settle_superseded(state: State, job: Job, now: float) -> None:
    """End a job here whose successor alone may say how it ended."""
    answer = Answer(
        submission_id=job.submission_id,
        outcome=Outcome.UNKNOWN,
        ran=Ran.MAYBE,
        reason=Reason.SUPERSEDED,
        detail="another instance took over; submit the same id again to learn",
        tasks_done=len(job.results) - job.remaining,
        tasks_total=len(job.results),
    )
    _finish(state, job, answer, now)


def supersede_all(state: State, now: float) -> None:
    """End every job here after a successor fenced this incarnation."""
    for job in list(state.jobs_by_id.values()):
        settle_superseded(state, job, now)


def cancel(state: State, submission_id: str, now: float) -> bool:
    """Cancel a job that is not settled.

    :returns: whether the cancellation settled it; if not, its answer stands.
    """
    job = state.jobs_by_id.get(submission_id)
    if job is None:
        return False
    maybe = [r for r in job.records if r.state is TaskState.SPILLED]
    detail = f"cancelled with {job.remaining} tasks to go"
    settle_incomplete(state, job, Reason.CANCELLED, detail, now, maybe=maybe)
    return True


def _what_ran(job: Job, nothing: bool, maybe: Sequence[TaskRecord]) -> Ran:
    if nothing:
        return Ran.NOTHING
    if job.remaining == 0:
        return Ran.EVERYTHING
    if job.ran:
        return Ran.SOME
    return Ran.MAYBE


def _finish(state: State, job: Job, answer: Answer, now: float) -> None:
    settled = state.submissions.settle(answer, now)
    del state.jobs_by_id[job.submission_id]
    state.queue.cancel(job.submission_id)
    state.queue.forget_job(job.submission_id)
    for record in job.records:
        _drop(state, record, now)
    state.ports.deliver(settled, job)


def _drop(state: State, record: TaskRecord, now: float) -> None:
    ports = state.ports
    attempt = record.task.attempt
    match record.state:
        case TaskState.RUNNING:
            # The slot is free only once the target says so: the record stays
            # until the cancelled run's result arrives.
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
