"""Readers that add tallies to what the OpenTelemetry SDK collects."""

import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics.export import (
    Metric,
    MetricExporter,
    MetricsData,
    PeriodicExportingMetricReader,
    ResourceMetrics,
)
from prometheus_client import CollectorRegistry

TallySource = Callable[[int], Sequence[Metric]]
"""Returns the tallies' metrics at a time in Unix nanoseconds."""


class ScrapedReader(PrometheusMetricReader):
    """Collects when a scrape asks."""

    def __init__(self, *, tallies: TallySource, registry: CollectorRegistry) -> None:
        """Register with a registry.

        :param tallies: the metrics to add to those of the SDK.
        :param registry: what a scrape reads.
        """
        self._tallies = tallies
        super().__init__(registry=registry, scope_info_enabled=False)

    def _receive_metrics(
        self, metrics_data: MetricsData, timeout_millis: float = 10_000, **kwargs: Any
    ) -> None:
        with_tallies = add_tallies(metrics_data, self._tallies)
        super()._receive_metrics(with_tallies, timeout_millis, **kwargs)


class PushedReader(PeriodicExportingMetricReader):
    """Collects each period, in a thread, and pushes to a collector."""

    def __init__(
        self, *, tallies: TallySource, exporter: MetricExporter, period_ms: int
    ) -> None:
        """Start the thread.

        :param tallies: the metrics to add to those of the SDK.
        :param exporter: sends to the collector.
        :param period_ms: time between two pushes, in milliseconds.
        """
        self._tallies = tallies
        super().__init__(exporter, export_interval_millis=period_ms)

    def _receive_metrics(
        self, metrics_data: MetricsData, timeout_millis: float = 10_000, **kwargs: Any
    ) -> None:
        with_tallies = add_tallies(metrics_data, self._tallies)
        super()._receive_metrics(with_tallies, timeout_millis, **kwargs)


def add_tallies(metrics_data: MetricsData, tallies: TallySource) -> MetricsData:
    """Return collected metrics with the tallies beside them.

    :param metrics_data: what the SDK collected, with one scope at least.
    :param tallies: the metrics to add.
    """
    added = tallies(time.time_ns())
    first, *rest = metrics_data.resource_metrics
    return MetricsData(resource_metrics=[_with_metrics(first, added), *rest])


def _with_metrics(
    resource: ResourceMetrics, added: Sequence[Metric]
) -> ResourceMetrics:
    first, *rest = resource.scope_metrics
    scope = replace(first, metrics=[*first.metrics, *added])
    return replace(resource, scope_metrics=[scope, *rest])
