"""The figures of a run, for programs on one line and for people above it."""

from collections.abc import Iterable

from cassiaturn.load._figures import Figures
from cassiaturn.load._histogram import Histogram

MS_PER_S = 1_000

SHOWN_PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


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
        f" resubmissions={figures.seen.resubmissions}"
    )
    yield (
        f"event=load_tool late_p50_ms={_ms(figures.late_s, 50.0)}"
        f" late_p99_ms={_ms(figures.late_s, 99.0)}"
    )
    if figures.seen.held_by_relays is not None:
        yield f"event=partition held={figures.seen.held_by_relays}"
    codes = ",".join(str(code) for code in figures.seen.exit_codes)
    yield f"event=instances_ended exit_codes={codes}"
    if figures.seen.configuration_in_force_s:
        longest_s = max(figures.seen.configuration_in_force_s)
        changes = len(figures.seen.configuration_in_force_s)
        yield f"event=configuration changes={changes} longest_s={longest_s:.2f}"
    for violation in figures.counts.violations:
        yield f"event=violation detail={violation!r}"


def _ms(histogram: Histogram, percentile: float) -> str:
    return f"{histogram.percentile(percentile) * MS_PER_S:.1f}"
