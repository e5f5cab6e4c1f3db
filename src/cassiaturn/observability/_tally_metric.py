"""Tallies as the data of OpenTelemetry's SDK."""

from collections.abc import Mapping
from typing import Any

from opentelemetry.sdk.metrics.export import (
    AggregationTemporality,
    Histogram,
    HistogramDataPoint,
    Metric,
)

from cassiaturn.observability._tally import Tally, TallyFamily


def to_metric(family: TallyFamily[Any], *, started_ns: int, now_ns: int) -> Metric:
    """Return every histogram of a family.

    :param started_ns: when counting began, in Unix nanoseconds.
    :param now_ns: the time of this collection, in Unix nanoseconds.
    """
    return Metric(
        name=family.name,
        description=family.description,
        unit=family.unit,
        data=Histogram(
            data_points=[
                _point(labels, tally, started_ns, now_ns)
                for labels, tally in family.series()
            ],
            aggregation_temporality=AggregationTemporality.CUMULATIVE,
        ),
    )


def _point(
    labels: Mapping[str, str], tally: Tally, started_ns: int, now_ns: int
) -> HistogramDataPoint:
    counts = list(tally.counts)
    return HistogramDataPoint(
        attributes=labels,
        start_time_unix_nano=started_ns,
        time_unix_nano=now_ns,
        count=sum(counts),
        sum=tally.total,
        bucket_counts=counts,
        explicit_bounds=tally.boundaries,
        min=tally.lowest,
        max=tally.highest,
    )
