"""How jobs are served that need much of their callers' time, by their work.

The largest jobs fail first: each of their tasks has to be fast. Some have a task that
takes longer than its caller waits wherever it runs; the others could have been served.
"""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise

from cassiaturn.explain._causes import cause_of
from cassiaturn.explain._lines import Line
from cassiaturn.explain._stories import JobStory, Record

SIZES = ("rest", "next_fifth", "largest_tenth")
"""Classes of a route's jobs by their work, the smallest first."""

SIZE_BOUNDS = (0.0, 0.7, 0.9, 1.0)
"""Where each class begins and ends, as shares of the route's timed jobs by their
work."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SizeRow:
    """The jobs of one route and one size."""

    route: str
    """Their route."""

    size: str
    """One of :data:`SIZES`."""

    jobs: int
    """How many were begun."""

    served: int
    """How many of them were complete within their callers' own limits."""

    possible: int
    """How many could have been: each of their tasks, on a fast target, takes no longer
    than their caller's own limit."""

    missed_by_cause: Mapping[str, int]
    """Those that could have been served and were not, by cause."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _TimedJob:
    story: JobStory
    timing: Line

    @property
    def is_served(self) -> bool:
        return self.timing.fields.get("served") == "true"

    @property
    def is_possible(self) -> bool:
        """Whether it could have been served within its caller's own limit."""
        fastest_ms = self.timing.number("fastest_ms") or 0.0
        limit_ms = self.timing.number("limit_ms") or float("inf")
        return self.is_served or fastest_ms <= limit_ms


def by_size(record: Record) -> list[SizeRow]:
    """Return a row for each route and size of the jobs whose time was told."""
    jobs_by_route: dict[str, list[_TimedJob]] = {}
    for story in record.stories_by_id.values():
        timings = story.of("job_timed")
        if timings:
            job = _TimedJob(story=story, timing=timings[-1])
            route = job.timing.fields.get("route", "")
            jobs_by_route.setdefault(route, []).append(job)
    return [
        _row(record, route, size, jobs)
        for route, all_jobs in sorted(jobs_by_route.items())
        for size, jobs in _split(all_jobs)
    ]


def _split(jobs: Sequence[_TimedJob]) -> Iterator[tuple[str, Sequence[_TimedJob]]]:
    """Return the jobs of each size."""
    ordered = sorted(jobs, key=lambda job: job.timing.number("work_cpu_s") or 0.0)
    bounds = [round(share * len(ordered)) for share in SIZE_BOUNDS]
    for size, (begin, end) in zip(SIZES, pairwise(bounds), strict=True):
        yield size, ordered[begin:end]


def _row(record: Record, route: str, size: str, jobs: Sequence[_TimedJob]) -> SizeRow:
    missed: dict[str, int] = {}
    for job in jobs:
        if job.is_possible and not job.is_served:
            cause = cause_of(job.story, record)
            missed[cause] = missed.get(cause, 0) + 1
    return SizeRow(
        route=route,
        size=size,
        jobs=len(jobs),
        served=sum(job.is_served for job in jobs),
        possible=sum(job.is_possible for job in jobs),
        missed_by_cause=missed,
    )
