"""Jobs that were not served in time, counted by cause and by second."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from cassiaturn.explain._causes import IN_TIME, cause_of
from cassiaturn.explain._stories import JobStory, Record


@dataclass(frozen=True, slots=True, kw_only=True)
class CauseRow:
    """The jobs of one cause."""

    cause: str
    """Its name."""

    jobs: int
    """How many."""

    late: int
    """How many of them were complete, but late."""

    waiting: int
    """How many of them were ended or refused while their callers still waited."""

    share: float
    """Part of all jobs."""

    work_s: float
    """Expected work of their tasks, in seconds: large jobs are worth more."""

    example: str
    """Id of the first one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SecondRow:
    """The jobs that arrived in one interval."""

    from_s: float
    """Begin of the interval, in seconds after the first line."""

    jobs: int
    """How many."""

    in_time: int
    """How many of them were served in time."""

    jobs_by_cause: Mapping[str, int]
    """The others."""


def _explained(record: Record) -> Iterator[tuple[JobStory, str]]:
    for story in record.stories_by_id.values():
        yield story, cause_of(story, record)


def by_cause(record: Record) -> list[CauseRow]:
    """Return a row for each cause, the most frequent first."""
    stories_by_cause: dict[str, list[JobStory]] = {}
    for story, cause in _explained(record):
        stories_by_cause.setdefault(cause, []).append(story)
    rows = [
        CauseRow(
            cause=cause,
            jobs=len(stories),
            late=sum(story.is_late for story in stories),
            waiting=sum(story.caller_still_waited for story in stories),
            share=len(stories) / len(record.stories_by_id),
            work_s=sum(story.work_s for story in stories),
            example=stories[0].job_id,
        )
        for cause, stories in stories_by_cause.items()
    ]
    return sorted(rows, key=lambda row: (row.cause != IN_TIME, -row.jobs))


def by_second(record: Record, width_s: float) -> list[SecondRow]:
    """Return a row for each interval in which jobs arrived.

    :param width_s: length of an interval, in seconds.
    """
    counts: dict[int, dict[str, int]] = {}
    for story, cause in _explained(record):
        interval = int((story.arrived_at_s - record.began_at_s) // width_s)
        row = counts.setdefault(interval, {})
        row[cause] = row.get(cause, 0) + 1
    return [
        SecondRow(
            from_s=interval * width_s,
            jobs=sum(row.values()),
            in_time=row.pop(IN_TIME, 0),
            jobs_by_cause=row,
        )
        for interval, row in sorted(counts.items())
    ]
