"""Keeps finished tasks of unfinished jobs, and cancelled jobs, with a second member.

A leader tells one of its followers, the keeper, which tasks are done; all that ended
meanwhile goes into one frame, so the cost hardly grows with the load. The keeper passes
them on to the next leader, which does not start these tasks again.
"""

import time
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence

from cassiaturn.entities import TaskRef
from cassiaturn.fleet._codec import from_completed, to_completed
from cassiaturn.v1 import fleet_pb2 as pb
from cassiaturn.workload import CANCEL_RETENTION_S

KEEP_S = 30.0
"""How long a keeper remembers a job of which it hears nothing more, in seconds."""

MAX_KEPT_JOBS = 5_000
"""Number of jobs that a keeper remembers: several seconds' worth of a large fleet."""


class DoneTasks:
    """Finished tasks by job, as a keeper knows them."""

    def __init__(self) -> None:
        """Start without any."""
        self._refs_by_job: OrderedDict[str, set[TaskRef]] = OrderedDict()
        self._noted_at_by_job: dict[str, float] = {}
        self._cancelled_at_by_job: OrderedDict[str, float] = OrderedDict()

    def read(self, message: pb.DoneTasks) -> None:
        """Apply what the leader tells."""
        now = time.monotonic()
        for progress in message.jobs:
            refs = to_completed(progress.job_id, progress.completed)
            self._refs_by_job.setdefault(progress.job_id, set()).update(refs)
            self._refs_by_job.move_to_end(progress.job_id)
            self._noted_at_by_job[progress.job_id] = now
        for job_id in message.ended:
            self._remove(job_id)
        for job_id in message.cancelled:
            self._cancelled_at_by_job[job_id] = now
            self._cancelled_at_by_job.move_to_end(job_id)
        self._expire(now)

    def take_cancelled(self) -> Sequence[str]:
        """Return all jobs that their callers cancelled, and forget them."""
        self._expire(time.monotonic())
        taken = tuple(self._cancelled_at_by_job)
        self._cancelled_at_by_job.clear()
        return taken

    def take(self) -> Mapping[str, Iterable[TaskRef]]:
        """Return all tasks by job, and forget them."""
        taken = dict(self._refs_by_job)
        self._refs_by_job.clear()
        self._noted_at_by_job.clear()
        return taken

    def _remove(self, job_id: str) -> None:
        self._refs_by_job.pop(job_id, None)
        self._noted_at_by_job.pop(job_id, None)

    def _expire(self, now: float) -> None:
        cancelled = self._cancelled_at_by_job
        while cancelled and (
            now - next(iter(cancelled.values())) >= CANCEL_RETENTION_S
            or len(cancelled) > MAX_KEPT_JOBS
        ):
            cancelled.popitem(last=False)
        while self._refs_by_job:
            oldest = next(iter(self._refs_by_job))
            is_old = now - self._noted_at_by_job[oldest] >= KEEP_S
            if not is_old and len(self._refs_by_job) <= MAX_KEPT_JOBS:
                return
            self._remove(oldest)


def to_message(
    refs_by_job: Mapping[str, Iterable[TaskRef]],
    ended: Sequence[str] = (),
    cancelled: Sequence[str] = (),
) -> pb.DoneTasks:
    """Return the message that tells of finished tasks and cancelled jobs.

    :param refs_by_job: the tasks, by job.
    :param ended: jobs of which no task needs to be remembered any more.
    :param cancelled: jobs that their callers cancelled.
    """
    return pb.DoneTasks(
        jobs=[
            pb.JobProgress(job_id=job_id, completed=from_completed(refs))
            for job_id, refs in refs_by_job.items()
        ],
        ended=ended,
        cancelled=cancelled,
    )


def to_refs(message: pb.DoneTasks) -> list[TaskRef]:
    """Return the finished tasks that a message tells of."""
    return [
        ref
        for progress in message.jobs
        for ref in to_completed(progress.job_id, progress.completed)
    ]
