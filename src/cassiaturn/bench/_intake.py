"""What a job becomes at its home: a request to admit, and tasks to queue."""

from cassiaturn.bench._own_targets import TASK_RESOURCES
from cassiaturn.bench._runner import JobRun
from cassiaturn.entities import TaskKey
from cassiaturn.policy import AdmissionRequest, QueuedTask


def make_request(run: JobRun, expected_run_s: float) -> AdmissionRequest:
    """Return what admission decides on.

    :param expected_run_s: expected run time of one task, in seconds.
    """
    job = run.job
    return AdmissionRequest(
        submission_id=job.submission_id,
        tenant=job.tenant,
        caller=job.caller,
        request_class=job.kind.request_class,
        method=job.kind.method,
        tasks=len(job.run_s),
        expected_run_s=expected_run_s,
        deadline_in_s=job.kind.deadline_s,
    )


def make_task(run: JobRun, index: int, expected_run_s: float) -> QueuedTask:
    """Return one task of a job that was accepted just now.

    :param expected_run_s: its expected run time, in seconds.
    """
    job = run.job
    return QueuedTask(
        key=TaskKey(job.submission_id, index),
        tenant=job.tenant,
        caller=job.caller,
        request_class=job.kind.request_class,
        method=job.kind.method,
        resources=TASK_RESOURCES,
        enqueued_at=run.accepted_at,
        start_by=run.accepted_at + job.kind.deadline_s,
        job_remaining=len(job.run_s),
        repeatable=job.kind.repeatable,
        expected_run_s=expected_run_s,
    )
