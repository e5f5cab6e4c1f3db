"""Jobs by the time at which their first queued task expires."""

import heapq
from typing import Generic, Protocol, TypeVar


class Expiring(Protocol):
    """A job with queued tasks that must start by some time."""

    expiry_step: int | None
    """Step that the job is filed under; None: not filed."""


J = TypeVar("J", bound=Expiring)


class ExpiryIndex(Generic[J]):
    """Files jobs in steps of time, so that filing and removal are O(1).

    One heap entry a step, not a task: at 8,000 starts/s a heap of tasks would
    hold every task of the last half minute, most of them long started.
    """

    __slots__ = ("_jobs_by_step", "_step_s", "_steps")

    def __init__(self, *, step_s: float) -> None:
        self._step_s = step_s
        self._jobs_by_step: dict[int, dict[int, J]] = {}
        self._steps: list[int] = []

    def file(self, job: J, start_by: float) -> None:
        """File a job under a start-by time, unless it is filed earlier."""
        step = int(start_by / self._step_s) + 1
        filed = job.expiry_step
        if filed is not None:
            if filed <= step:
                return
            del self._jobs_by_step[filed][id(job)]
        job.expiry_step = step
        jobs = self._jobs_by_step.get(step)
        if jobs is None:
            jobs = self._jobs_by_step[step] = {}
            heapq.heappush(self._steps, step)
        jobs[id(job)] = job

    def remove(self, job: J) -> None:
        """Take a job out, if it is filed."""
        if job.expiry_step is not None:
            del self._jobs_by_step[job.expiry_step][id(job)]
            job.expiry_step = None

    def due(self, now: float) -> list[J]:
        """Take out and return the jobs whose step is over."""
        due: list[J] = []
        while self._steps and self._steps[0] * self._step_s <= now:
            step = heapq.heappop(self._steps)
            due.extend(self._jobs_by_step.pop(step).values())
        for job in due:
            job.expiry_step = None
        return due
