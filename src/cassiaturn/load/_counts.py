"""Counts of a run, from the runners' journals and the callers' answers."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from operator import attrgetter

from cassiaturn.entities import Outcome, TaskKey
from cassiaturn.load._answers import CallerAnswer
from cassiaturn.standins import JournalEntry, JournalEvent, reply_to


@dataclass(slots=True, kw_only=True)
class RunCounts:
    """Counts of a run; every count of a violated invariant has to be 0."""

    jobs: int = 0
    """Submissions, however often sent."""

    tasks: int = 0
    """Their tasks."""

    complete: int = 0
    """Submissions whose whole answer came."""

    failed: int = 0
    """Submissions that truly failed."""

    not_run: int = 0
    """Submissions that were refused without a start."""

    unknown: int = 0
    """Submissions of which an instance could not say truthfully what ran."""

    lost: int = 0
    """Submissions without any answer until their deadline."""

    started_twice: int = 0
    """Tasks begun again though not repeatable, or before the run was over."""

    restarted: int = 0
    """Repeatable tasks begun again after an earlier run was over."""

    false_not_run: int = 0
    """Submissions answered "not run" of which a task was begun."""

    partial: int = 0
    """Answers that were complete by name but not in their results."""

    foreign: int = 0
    """Answers with a result that belongs to another task."""

    contradictory: int = 0
    """Submissions whose two sendings got different final answers."""

    refused_starts: int = 0
    """Starts that a runner refused."""

    violations: list[str] = field(default_factory=list)
    """A line for each violation, the first few of each kind."""

    @property
    def invariants_hold(self) -> bool:
        """Whether no invariant was violated."""
        return not (
            self.started_twice
            or self.lost
            or self.false_not_run
            or self.partial
            or self.foreign
            or self.contradictory
        )


SHOWN_VIOLATIONS = 5
"""Lines of each kind kept for people; the counts are complete."""


def count_run(
    answers: Sequence[CallerAnswer],
    entries: Iterable[JournalEntry],
    *,
    repeatable_by_method: Mapping[str, bool],
    killed_at_us_by_target: Mapping[str, Sequence[int]],
) -> RunCounts:
    """Check the invariants against journals and answers.

    :param answers: every answer that a caller got.
    :param entries: the journals of all runners.
    :param repeatable_by_method: what the schemas declare.
    :param killed_at_us_by_target: wall clock of each kill of a runner, which
        ended the runs that its journal leaves open.
    """
    counter = _RunCounter(
        answers=answers,
        repeatable_by_method=repeatable_by_method,
        killed_at_us_by_target=killed_at_us_by_target,
    )
    counter.add_journals(entries)
    counter.add_answers()
    return counter.counts


class _RunCounter:
    """Relates the entries of all journals to the answers of all callers."""

    def __init__(
        self,
        *,
        answers: Sequence[CallerAnswer],
        repeatable_by_method: Mapping[str, bool],
        killed_at_us_by_target: Mapping[str, Sequence[int]],
    ) -> None:
        self.counts = RunCounts()
        self._answers_by_id: defaultdict[str, list[CallerAnswer]] = defaultdict(list)
        for answer in answers:
            self._answers_by_id[answer.submission_id].append(answer)
        self._repeatable_by_method = repeatable_by_method
        self._killed_at_us_by_target = killed_at_us_by_target
        self._begun_ids: set[str] = set()
        self._reported: Counter[str] = Counter()

    def add_journals(self, entries: Iterable[JournalEntry]) -> None:
        entries_by_key: defaultdict[TaskKey, list[JournalEntry]] = defaultdict(list)
        for entry in entries:
            if entry.event is JournalEvent.REFUSED:
                self.counts.refused_starts += 1
                continue
            entries_by_key[entry.key].append(entry)
            self._begun_ids.add(entry.submission_id)
        for key, history in entries_by_key.items():
            # The order of a journal stands where two entries share a moment.
            self._check_history(key, sorted(history, key=attrgetter("at_us")))

    def add_answers(self) -> None:
        for submission_id, sendings in self._answers_by_id.items():
            self.counts.jobs += 1
            self.counts.tasks += len(sendings[0].job.payloads)
            self._count_outcome(sendings)
            for sending in sendings:
                self._check_answer(submission_id, sending)

    def _check_history(self, key: TaskKey, history: Sequence[JournalEntry]) -> None:
        latest: JournalEntry | None = None
        for entry in history:
            if entry.event is JournalEvent.ENDED:
                if latest is not None and latest.attempt == entry.attempt:
                    latest = None
                continue
            if entry is not history[0]:
                self._check_second_start(key, latest, entry)
            latest = entry

    def _check_second_start(
        self, key: TaskKey, running: JournalEntry | None, again: JournalEntry
    ) -> None:
        is_over = running is None or self._was_killed(running, again)
        if is_over and self._is_repeatable(key):
            self.counts.restarted += 1
            return
        self.counts.started_twice += 1
        self._report("started twice", f"{key} on {again.target_id}")

    def _was_killed(self, running: JournalEntry, again: JournalEntry) -> bool:
        kills = self._killed_at_us_by_target.get(running.target_id, ())
        return any(running.at_us <= kill <= again.at_us for kill in kills)

    def _is_repeatable(self, key: TaskKey) -> bool:
        sendings = self._answers_by_id.get(key.submission_id)
        if not sendings:
            return False
        return self._repeatable_by_method[sendings[0].job.method]

    def _count_outcome(self, sendings: Sequence[CallerAnswer]) -> None:
        outcomes = {sending.answer.outcome for sending in sendings}
        finals = {
            sending.answer.outcome for sending in sendings if sending.answer.is_final
        }
        if len(finals) > 1:
            self.counts.contradictory += 1
            self._report("contradictory", f"{sendings[0].submission_id} {finals}")
        if Outcome.COMPLETE in outcomes:
            self.counts.complete += 1
        elif Outcome.FAILED in outcomes:
            self.counts.failed += 1
        elif Outcome.NOT_RUN in outcomes:
            self.counts.not_run += 1
        elif all(sending.is_lost for sending in sendings):
            self.counts.lost += 1
            self._report("lost", f"{sendings[0].submission_id}")
        else:
            self.counts.unknown += 1

    def _check_answer(self, submission_id: str, sending: CallerAnswer) -> None:
        answer = sending.answer
        if answer.outcome is Outcome.NOT_RUN and submission_id in self._begun_ids:
            self.counts.false_not_run += 1
            self._report("false not run", f"{submission_id}")
        if answer.submission_id != submission_id:
            self.counts.foreign += 1
            self._report("foreign", f"{submission_id} got {answer.submission_id}")
        if answer.outcome is Outcome.COMPLETE:
            self._check_results(submission_id, sending)
        elif answer.results:
            self.counts.partial += 1
            self._report("results without completion", f"{submission_id}")

    def _check_results(self, submission_id: str, sending: CallerAnswer) -> None:
        results = sending.answer.results
        payloads = sending.job.payloads
        if len(results) != len(payloads) and not sending.answer.result_object:
            self.counts.partial += 1
            self._report("partial", f"{submission_id}")
            return
        expected = [
            reply_to(
                method=sending.job.method,
                payload=payload,
                key=TaskKey(submission_id, index),
            )
            for index, payload in enumerate(payloads)
        ]
        if results and list(results) != expected:
            self.counts.foreign += 1
            self._report("foreign result", f"{submission_id}")

    def _report(self, kind: str, detail: str) -> None:
        self._reported[kind] += 1
        if self._reported[kind] <= SHOWN_VIOLATIONS:
            self.counts.violations.append(f"{kind}: {detail}")


def longest_run_s_by_id(entries: Iterable[JournalEntry]) -> Mapping[str, float]:
    """Return the longest run of each submission's tasks that ended well.

    :param entries: the journals of all runners.
    :returns: seconds, by submission.
    """
    longest_ms: Counter[str] = Counter()
    for entry in entries:
        if entry.event is JournalEvent.ENDED and entry.outcome == "DONE":
            longest_ms[entry.submission_id] = max(
                longest_ms[entry.submission_id],
                entry.run_ms,  # type: ignore[assignment]
            )
    return {key: run_ms / 1000 for key, run_ms in longest_ms.items()}
