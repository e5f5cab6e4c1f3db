"""A member's metrics, through OpenTelemetry's SDK to Prometheus' text format."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.export import Metric
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from cassiaturn.observability._export import ScrapedReader
from cassiaturn.observability._fleet_metrics import CountSource, GaugeSource
from cassiaturn.observability._tally import TallyFamily
from cassiaturn.observability._tally_metric import to_metric


class FleetExport:
    """What a scrape reads of one member."""

    def __init__(
        self,
        *,
        attributes: dict[str, str],
        families: Sequence[TallyFamily[Any]],
        counts: Sequence[CountSource],
        gauges: Sequence[GaugeSource],
        started_ns: int,
    ) -> None:
        """Register everything that there is to show.

        :param attributes: of the process, as resource attributes.
        :param started_ns: when counting began, in Unix nanoseconds.
        """
        self._families = families
        self._started_ns = started_ns
        self._registry = CollectorRegistry()
        reader = ScrapedReader(tallies=self._collect, registry=self._registry)
        provider = MeterProvider(
            metric_readers=[reader],
            resource=Resource.create(attributes),
            exemplar_filter=AlwaysOffExemplarFilter(),
        )
        meter = provider.get_meter("cassiaturn")
        for source in counts:
            meter.create_observable_counter(
                source.name, [_observe_counts(source)], description=source.description
            )
        for gauge in gauges:
            meter.create_observable_gauge(
                gauge.name, [_observe_gauge(gauge)], description=gauge.description
            )

    def exposition(self) -> bytes:
        """Return every metric in Prometheus' text format."""
        return generate_latest(self._registry)

    def _collect(self, now_ns: int) -> Sequence[Metric]:
        return [
            to_metric(family, started_ns=self._started_ns, now_ns=now_ns)
            for family in self._families
        ]


Callback = Callable[[CallbackOptions], Iterable[Observation]]


def _observe_counts(source: CountSource) -> Callback:
    def observe(_: CallbackOptions) -> Iterable[Observation]:
        for kind, value in source.read().items():
            yield Observation(value, {"kind": kind})

    return observe


def _observe_gauge(source: GaugeSource) -> Callback:
    def observe(_: CallbackOptions) -> Iterable[Observation]:
        yield Observation(source.read())

    return observe
