"""The promises, checked at the targets and at the callers of a schedule."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cassiaturn.entities import Answer, Outcome, TaskKey
from cassiaturn.model._fakes import FakeStart, FakeTarget, result_of
from cassiaturn.model._jobs import Request


@dataclass(slots=True, kw_only=True)
class Finding:
    """What a run of the schedule showed."""

    seed: int
    """Seed of the run."""

    broken: str | None = None
    """A broken promise; None: all were kept."""

    begins: int = 0
    """Tasks that began, at all targets."""

    answers_by_outcome: dict[Outcome, int] = field(default_factory=dict)
    """Answers told to callers."""

    events: list[str] = field(default_factory=list)
    """What happened, for a trace."""


class Checks:
    """Notes what targets begin and callers hear, and finds what must not be."""

    def __init__(self, *, seed: int) -> None:
        self.finding = Finding(seed=seed)
        self._requests_by_id: dict[str, Request] = {}
        self._said_by_id: dict[str, set[Outcome]] = {}
        self._begins_by_key: dict[TaskKey, int] = {}
        self._begun_ids: set[str] = set()

    def note(self, event: str, now: float) -> None:
        """Keep an event for the trace."""
        self.finding.events.append(f"{now:.2f} {event}")

    def break_promise(self, promise: str, now: float) -> None:
        """Keep the first promise that breaks."""
        self.note(f"broken: {promise}", now)
        self.finding.broken = self.finding.broken or promise

    def note_request(self, request: Request) -> None:
        """Keep what a caller asked for."""
        self._requests_by_id[request.submission_id] = request

    def note_answer(self, answer: Answer, now: float) -> None:
        """Check what a caller is told."""
        counts = self.finding.answers_by_outcome
        counts[answer.outcome] = counts.get(answer.outcome, 0) + 1
        self.note(f"answer {answer.submission_id}: {answer.outcome.name}", now)
        if answer.outcome is Outcome.COMPLETE:
            self._check_complete(answer, now)
        if not answer.is_final:
            return
        said = self._said_by_id.setdefault(answer.submission_id, set())
        said.add(answer.outcome)
        if len(said) > 1:
            self.break_promise("one_final_answer", now)
        self._check_not_run(answer.submission_id, now)

    def note_begin(
        self, start: FakeStart, targets: Iterable[FakeTarget], now: float
    ) -> None:
        """Check a task that a target has just begun."""
        key = start.key
        self._begins_by_key[key] = self._begins_by_key.get(key, 0) + 1
        self._begun_ids.add(key.submission_id)
        self.finding.begins += 1
        running = [
            run
            for target in targets
            for run in target.running()
            if run.start.key == key
        ]
        if len(running) > 1:
            self.break_promise("never_two_at_once", now)
        if self._begins_by_key[key] > 1 and not start.repeatable:
            self.break_promise("begins_at_most_once", now)
        self._check_not_run(key.submission_id, now)

    def _check_complete(self, answer: Answer, now: float) -> None:
        tasks = self._requests_by_id[answer.submission_id].tasks
        keys = [TaskKey(answer.submission_id, index) for index in range(tasks)]
        if len(answer.results) != tasks:
            self.break_promise("complete_is_whole", now)
        elif tuple(answer.results) != tuple(map(result_of, keys)):
            self.break_promise("complete_is_own", now)

    def _check_not_run(self, submission_id: str, now: float) -> None:
        said = self._said_by_id.get(submission_id, ())
        if Outcome.NOT_RUN in said and submission_id in self._begun_ids:
            self.break_promise("not_run_is_true", now)
