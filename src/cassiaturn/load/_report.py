"""The figures of a run, for programs on one line and for people below it."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from cassiaturn.entities import Outcome, Reason, RequestClass, Schema
from cassiaturn.load._answers import CallerAnswer
from cassiaturn.load._counts import RunCounts

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000
RATIO_SCALE = 10_000
"""Ratios are recorded as whole numbers of ten-thousandths."""

SHOWN_PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class Histogram:
    """Response times or ratios, to three digits."""

    def __init__(self, *, scale: int) -> None:
        """Start empty.

        :param scale: units of the histogram for 1 of the value.
        """
        self._scale = scale
        self._values = HdrHistogram(  # type: ignore[no-untyped-call]
            LOWEST_US, HIGHEST_US, DIGITS
        )

    @property
    def count(self) -> int:
        """Values recorded."""
        return int(self._values.get_total_count())  # type: ignore[no-untyped-call]

    def record(self, value: float) -> None:
        """Record a value."""
        self._values.record_value(  # type: ignore[no-untyped-call]
            max(LOWEST_US, round(value * self._scale))
        )

    def percentile(self, percentile: float) -> float:
        """Return a percentile; 0 without values."""
        found = self._values.get_value_at_percentile(  # type: ignore[no-untyped-call]
            percentile
        )
        return float(found) / self._scale


@dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Everything that a run measured."""

    counts: RunCounts
    """Counts of both sides."""

    response_s: Histogram
    """Response times of complete answers, in seconds."""

    ideal_ratio: Histogram
    """Response times over the ideal."""

    response_s_by_class: Mapping[RequestClass, Histogram]
    """The same for each request class."""

    resubmissions: int
    """Sendings that callers were forced to repeat."""

    exit_codes: Sequence[int | None]
    """Exit codes of the instances that were asked to end; None: it took too long."""

    configuration_in_force_s: Sequence[float]
    """Time until each new configuration was in force at every instance."""

    held_by_relays: int | None
    """How often a partition held something back; None: the scenario has none."""

    late_s: Histogram
    """How much later than planned jobs were sent; above a few milliseconds the
    load tool itself was too slow, and response times are too long."""

    answers_by_reason: Mapping[tuple[Outcome, Reason], int]
    """Answers that are not complete, by outcome and reason."""

    @property
    def faults_had_effect(self) -> bool:
        """Whether no partition was without effect, which would prove nothing."""
        return self.held_by_relays != 0

    @property
    def wasted_messages_per_task(self) -> float:
        """Wasted messages over tasks."""
        wasted = self.counts.refused_starts + self.resubmissions
        return wasted / max(1, self.counts.tasks)


def measure(
    answers: Sequence[CallerAnswer],
    counts: RunCounts,
    *,
    schema: Schema,
    longest_run_s_by_id: Mapping[str, float],
    round_trip_s: float,
    resubmissions: int,
    exit_codes: Sequence[int | None],
    configuration_in_force_s: Sequence[float],
    late_s: Iterable[float],
    held_by_relays: int | None,
) -> Figures:
    """Return the figures of a run.

    The ideal response time of a job is the real run time of its longest task
    plus one idle round trip. Only first sendings are timed: a second sending
    finds the job under way.

    :param answers: every answer that a caller got.
    :param counts: what they and the journals prove.
    :param schema: the classes of the methods.
    :param longest_run_s_by_id: longest real run of each submission's tasks.
    :param round_trip_s: idle round trip, in seconds.
    :param resubmissions: sendings that callers were forced to repeat.
    :param exit_codes: how the instances ended that were asked to.
    :param configuration_in_force_s: how long each change took, in seconds.
    :param late_s: how much later than planned each job was sent, in seconds.
    :param held_by_relays: how often a partition held something back.
    """
    response_s = Histogram(scale=US_PER_S)
    ideal_ratio = Histogram(scale=RATIO_SCALE)
    lateness = Histogram(scale=US_PER_S)
    for late in late_s:
        lateness.record(late)
    by_class: dict[RequestClass, Histogram] = {}
    for answer in _timed(answers):
        request_class = schema.methods_by_name[answer.job.method].request_class
        by_class.setdefault(request_class, Histogram(scale=US_PER_S))
        by_class[request_class].record(answer.response_s)
        response_s.record(answer.response_s)
        longest_s = longest_run_s_by_id.get(answer.submission_id)
        if longest_s is not None:
            ideal_ratio.record(answer.response_s / (longest_s + round_trip_s))
    return Figures(
        counts=counts,
        response_s=response_s,
        ideal_ratio=ideal_ratio,
        response_s_by_class=by_class,
        resubmissions=resubmissions,
        exit_codes=exit_codes,
        configuration_in_force_s=configuration_in_force_s,
        late_s=lateness,
        held_by_relays=held_by_relays,
        answers_by_reason=Counter(
            (answer.answer.outcome, answer.answer.reason)
            for answer in answers
            if answer.answer.outcome is not Outcome.COMPLETE
        ),
    )


def to_line(event: str, figures: Figures) -> str:
    """Return the one line of key=value pairs that programs read.

    :param event: name of the event.
    :param figures: the run.
    """
    counts = figures.counts
    return (
        f"event={event} jobs={counts.jobs} tasks={counts.tasks}"
        f" complete={counts.complete} failed={counts.failed}"
        f" not_run={counts.not_run} unknown={counts.unknown}"
        f" started_twice={counts.started_twice} lost={counts.lost}"
        f" p50_ms={_ms(figures.response_s, 50.0)}"
        f" p99_ms={_ms(figures.response_s, 99.0)}"
        f" ideal_ratio_p50={figures.ideal_ratio.percentile(50.0):.3f}"
        f" ideal_ratio_p99={figures.ideal_ratio.percentile(99.0):.3f}"
        f" wasted_messages_per_task={figures.wasted_messages_per_task:.4f}"
        f" false_not_run={counts.false_not_run} partial={counts.partial}"
        f" foreign={counts.foreign} contradictory={counts.contradictory}"
        f" restarted={counts.restarted}"
    )


def to_lines(figures: Figures) -> Iterable[str]:
    """Yield what people read before the last line.

    :param figures: the run.
    """
    for request_class, histogram in sorted(figures.response_s_by_class.items()):
        shown = " ".join(
            f"p{percentile:g}_ms={_ms(histogram, percentile)}"
            for percentile in SHOWN_PERCENTILES
        )
        name = request_class.name.lower()
        yield f"event=class_histogram class={name} count={histogram.count} {shown}"
    for (outcome, reason), count in sorted(figures.answers_by_reason.items()):
        yield (
            f"event=not_complete outcome={outcome.name.lower()}"
            f" reason={reason.name.lower()} answers={count}"
        )
    yield (
        f"event=wasted refused_starts={figures.counts.refused_starts}"
        f" resubmissions={figures.resubmissions}"
    )
    yield (
        f"event=load_tool late_p50_ms={_ms(figures.late_s, 50.0)}"
        f" late_p99_ms={_ms(figures.late_s, 99.0)}"
    )
    if figures.held_by_relays is not None:
        yield f"event=partition held={figures.held_by_relays}"
    codes = ",".join(str(code) for code in figures.exit_codes)
    yield f"event=instances_ended exit_codes={codes}"
    if figures.configuration_in_force_s:
        longest_s = max(figures.configuration_in_force_s)
        changes = len(figures.configuration_in_force_s)
        yield f"event=configuration changes={changes} longest_s={longest_s:.2f}"
    for violation in figures.counts.violations:
        yield f"event=violation detail={violation!r}"


def _timed(answers: Iterable[CallerAnswer]) -> Iterable[CallerAnswer]:
    for answer in answers:
        if answer.is_first and answer.answer.outcome is Outcome.COMPLETE:
            yield answer


def _ms(histogram: Histogram, percentile: float) -> str:
    return f"{histogram.percentile(percentile) * US_PER_S / US_PER_MS:.1f}"
