"""What a run measured."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from cassiaturn.entities import Outcome, Reason, RequestClass, Schema
from cassiaturn.load._answers import CallerAnswer
from cassiaturn.load._counts import RunCounts
from cassiaturn.load._histogram import RATIO_SCALE, US_PER_S, Histogram


@dataclass(frozen=True, slots=True, kw_only=True)
class Observations:
    """What the load tool saw of a run beside answers and journals."""

    round_trip_s: float
    """Idle round trip from a caller to an instance, in seconds."""

    resubmissions: int
    """Sendings that callers were forced to repeat."""

    late_s: Sequence[float]
    """How much later than planned each job was sent, in seconds; above a few
    milliseconds the tool itself was too slow, and response times are too long."""

    exit_codes: Sequence[int | None]
    """Exit codes of the instances that were asked to end; None: it took too long."""

    configuration_in_force_s: Sequence[float]
    """Time until each new configuration was in force at every instance."""

    held_by_relays: int | None
    """How often a partition held something back; None: the scenario has none."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Everything that a run measured."""

    counts: RunCounts
    """Counts of both sides."""

    seen: Observations
    """What the load tool saw besides."""

    response_s: Histogram
    """Response times of complete answers, in seconds."""

    ideal_ratio: Histogram
    """Response times over the ideal."""

    response_s_by_class: Mapping[RequestClass, Histogram]
    """Response times of each request class."""

    late_s: Histogram
    """How much later than planned jobs were sent."""

    answers_by_reason: Mapping[tuple[Outcome, Reason], int]
    """Answers that are not complete, by outcome and reason."""

    @property
    def faults_had_effect(self) -> bool:
        """Whether no partition was without effect, which would prove nothing."""
        return self.seen.held_by_relays != 0

    @property
    def wasted_messages_per_task(self) -> float:
        """Wasted messages over tasks."""
        wasted = self.counts.refused_starts + self.seen.resubmissions
        return wasted / max(1, self.counts.tasks)


def measure(
    answers: Sequence[CallerAnswer],
    counts: RunCounts,
    seen: Observations,
    *,
    schema: Schema,
    longest_run_s_by_id: Mapping[str, float],
) -> Figures:
    """Return the figures of a run.

    The ideal response time of a job is the real run time of its longest task
    plus one idle round trip. Only first sendings are timed: a second sending
    finds the job under way.

    :param answers: every answer that a caller got.
    :param counts: the invariants, checked.
    :param seen: what the load tool saw besides.
    :param schema: the classes of the methods.
    :param longest_run_s_by_id: longest real run of each submission's tasks.
    """
    response_s = Histogram(scale=US_PER_S)
    ideal_ratio = Histogram(scale=RATIO_SCALE)
    by_class: dict[RequestClass, Histogram] = {}
    for answer in _timed(answers):
        request_class = schema.methods_by_name[answer.job.method].request_class
        by_class.setdefault(request_class, Histogram(scale=US_PER_S))
        by_class[request_class].record(answer.response_s)
        response_s.record(answer.response_s)
        longest_s = longest_run_s_by_id.get(answer.submission_id)
        if longest_s is not None:
            ideal_ratio.record(answer.response_s / (longest_s + seen.round_trip_s))
    return Figures(
        counts=counts,
        seen=seen,
        response_s=response_s,
        ideal_ratio=ideal_ratio,
        response_s_by_class=by_class,
        late_s=_to_histogram(seen.late_s),
        answers_by_reason=Counter(
            (answer.answer.outcome, answer.answer.reason)
            for answer in answers
            if answer.answer.outcome is not Outcome.COMPLETE
        ),
    )


def _timed(answers: Iterable[CallerAnswer]) -> Iterable[CallerAnswer]:
    for answer in answers:
        if answer.is_first and answer.answer.outcome is Outcome.COMPLETE:
            yield answer


def _to_histogram(times_s: Iterable[float]) -> Histogram:
    histogram = Histogram(scale=US_PER_S)
    for time_s in times_s:
        histogram.record(time_s)
    return histogram
