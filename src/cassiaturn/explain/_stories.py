"""What the logs tell of each job."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from cassiaturn.explain._lines import Line

JOB_ENDS = frozenset({"job_answered", "job_left"})
"""Events after which the member of the caller is done with a job."""

MILLISECONDS = 1000

ANSWER_WAY_MS = 50.0
"""Time that an answer may take to its caller, in milliseconds."""


@dataclass(slots=True, kw_only=True)
class JobStory:
    """One job, by its id, over all processes."""

    job_id: str
    """Its id."""

    lines: list[Line] = field(default_factory=list)
    """Every line with its id, in order of time."""

    def of(self, *events: str) -> list[Line]:
        """Return its lines of some events."""
        return [line for line in self.lines if line.event in events]

    @property
    def arrived_at_s(self) -> float:
        """When its caller was first heard of, in seconds since 1970."""
        first = self.lines[0]
        return first.at_s - (first.number("age_ms") or 0.0) / MILLISECONDS

    @property
    def end(self) -> Line | None:
        """The line in which its caller's member was done with it; None: there is none.

        A job that its caller sent again has several; the last one counts.
        """
        ends = self.of(*JOB_ENDS)
        return ends[-1] if ends else None

    @property
    def verdict(self) -> str:
        """How it ended: completed, failed, refused, abandoned; or left, or open."""
        end = self.end
        if end is None:
            refusals = self.of("job_refused")
            return "refused" if refusals else "open"
        return end.fields.get("verdict", "left")

    @property
    def reason(self) -> str:
        """The rule that decided; empty: none is logged."""
        end = self.end or next(iter(self.of("job_refused")), None)
        return end.fields.get("reason", "") if end is not None else ""

    @property
    def age_ms(self) -> float | None:
        """How long its caller waited, in milliseconds; None: not answered."""
        return self.end.number("age_ms") if self.end is not None else None

    @property
    def due_ms(self) -> float | None:
        """How long its caller may wait for an answer in time, in milliseconds."""
        return next(
            (due for line in self.lines if (due := line.number("due_ms")) is not None),
            None,
        )

    @property
    def caller_still_waited(self) -> bool:
        """Whether it was ended or refused while its caller would have gone on waiting.

        By what the caller itself said, whatever limit was applied to the job.
        """
        if self.end is None or self.verdict in ("completed", "left"):
            return False
        told_ms = self.end.number("told_ms")
        return told_ms is not None and (self.age_ms or 0.0) < told_ms - ANSWER_WAY_MS

    @property
    def is_late(self) -> bool:
        """Whether it was complete after it was due."""
        if self.verdict != "completed" or self.age_ms is None or self.due_ms is None:
            return False
        return self.age_ms > self.due_ms

    @property
    def is_served(self) -> bool:
        """Whether its caller got a complete answer in time."""
        return self.verdict == "completed" and not self.is_late

    @property
    def work_s(self) -> float:
        """Expected work of all its tasks, in seconds."""
        queued = self.of("job_queued")
        if not queued:
            return 0.0
        tasks = queued[0].number("tasks") or 0.0
        return tasks * (queued[0].number("expected_ms") or 0.0) / MILLISECONDS

    @property
    def last_start_wait_ms(self) -> float:
        """How long its last task waited for its first start, in milliseconds."""
        starts = [line for line in self.of("job_started") if line.number("left") == 0]
        return (starts[0].number("wait_ms") or 0.0) if starts else 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """All that was read."""

    lines: Sequence[Line]
    """Every line, in order of time."""

    stories_by_id: dict[str, JobStory]
    """Every job."""

    @property
    def began_at_s(self) -> float:
        """Time of the first line, in seconds since 1970; 0: there is none."""
        return self.lines[0].at_s if self.lines else 0.0

    def leader_changes(self) -> list[float]:
        """Return when members began to lead, in seconds since 1970."""
        return [
            line.at_s
            for line in self.lines
            if line.event == "leader_elected" and "raised" not in line.fields
        ]


def read_record(lines: Iterable[Line]) -> Record:
    """Sort lines by time and by job."""
    ordered = sorted(lines, key=lambda line: line.at_s)
    stories: dict[str, JobStory] = {}
    for line in ordered:
        job_id = line.fields.get("id", "")
        if job_id and line.event.startswith(("job_", "run_", "task_", "start_")):
            stories.setdefault(job_id, JobStory(job_id=job_id)).lines.append(line)
    # Runs that a leader found after the jobs they belong to are no jobs by themselves.
    jobs = {
        key: story
        for key, story in stories.items()
        if any(line.event.startswith("job_") for line in story.lines)
    }
    return Record(lines=ordered, stories_by_id=jobs)
