"""Index of jobs by the time at which their first queued task expires."""

import heapq
from typing import Generic, Protocol, TypeVar


class Expiring(Protocol):
    """A job whose queued tasks must start before a deadline."""

    expiry_bucket: int | None
    """Number of the time bucket that holds the job; None: not in the index."""


J = TypeVar("J", bound=Expiring)


class ExpiryIndex(Generic[J]):
    """Keeps jobs in time buckets, so that insertion and removal are O(1).

    The heap has one entry per bucket, not per task: at 8,000 starts/s a heap of
    tasks would hold every task of the last half minute, most of which have started
    long ago.
    """

    __slots__ = ("_bucket_s", "_buckets", "_jobs_by_bucket")

    def __init__(self, *, bucket_s: float) -> None:
        self._bucket_s = bucket_s
        self._jobs_by_bucket: dict[int, dict[int, J]] = {}
        self._buckets: list[int] = []

    def schedule(self, job: J, start_by: float) -> None:
        """Insert a job or move it to an earlier bucket.

        :param start_by: earliest start-by time of its tasks, in seconds.
        """
        bucket = int(start_by / self._bucket_s) + 1
        current = job.expiry_bucket
        if current is not None:
            if current <= bucket:
                return
            del self._jobs_by_bucket[current][id(job)]
        job.expiry_bucket = bucket
        jobs = self._jobs_by_bucket.get(bucket)
        if jobs is None:
            jobs = self._jobs_by_bucket[bucket] = {}
            heapq.heappush(self._buckets, bucket)
        jobs[id(job)] = job

    def remove(self, job: J) -> None:
        """Remove a job, if the index holds it."""
        if job.expiry_bucket is not None:
            del self._jobs_by_bucket[job.expiry_bucket][id(job)]
            job.expiry_bucket = None

    def due(self, now: float) -> list[J]:
        """Remove and return the jobs whose bucket has ended.

        :param now: present time, in seconds.
        """
        due: list[J] = []
        while self._buckets and self._buckets[0] * self._bucket_s <= now:
            bucket = heapq.heappop(self._buckets)
            due.extend(self._jobs_by_bucket.pop(bucket).values())
        for job in due:
            job.expiry_bucket = None
        return due
