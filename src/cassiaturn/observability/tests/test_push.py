import asyncio
from collections.abc import AsyncIterator
from unittest.mock import Mock

import pytest
import pytest_asyncio
from opentelemetry.exporter.otlp.proto.http import metric_exporter
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
)
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from cassiaturn.entities import RequestClass
from cassiaturn.observability import Metrics
from cassiaturn.observability._metrics import _exporter_to


class Collector:
    def __init__(self) -> None:
        self.requests: list[ExportMetricsServiceRequest] = []
        collector = self

        class PushHandler(RequestHandler):
            def post(self) -> None:
                body = self.request.body
                collector.requests.append(ExportMetricsServiceRequest.FromString(body))

        self.server = HTTPServer(Application([("/v1/metrics", PushHandler)]))
        sockets = bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        self.url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"


@pytest_asyncio.fixture
async def collector() -> AsyncIterator[Collector]:
    collector = Collector()
    yield collector
    collector.server.stop()
    await collector.server.close_all_connections()


async def test_what_was_recorded_is_pushed_at_the_end(collector: Collector) -> None:
    metrics = Metrics(
        instance_id="osu-1", failure_domain="osu", otlp_endpoint=collector.url
    )
    metrics.for_requests("counters", RequestClass.URGENT).started(0.25)
    await asyncio.to_thread(metrics.close)
    (resource,) = collector.requests[-1].resource_metrics
    attributes = {a.key: a.value.string_value for a in resource.resource.attributes}
    assert attributes["service.instance.id"] == "osu-1"
    assert attributes["cassiaturn.failure_domain"] == "osu"
    pushed = {
        metric.name: metric
        for scope in resource.scope_metrics
        for metric in scope.metrics
    }
    (point,) = pushed["cassiaturn.wait"].histogram.data_points
    assert point.count == 1
    assert point.sum == 0.25
    assert point.max == 0.25
    assert len(point.bucket_counts) == len(point.explicit_bounds) + 1
    (start,) = pushed["cassiaturn.starts"].sum.data_points
    assert start.as_int == 1


def test_a_collector_that_never_answers_does_not_hold_a_stop_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A collector takes connections and never answers; the instance stops.

    The last push waits for the exporter's timeout. Ours is 2 s; with the
    exporter's default of 10 s every planned stop would take that much longer.
    """
    made = Mock()
    monkeypatch.setattr(metric_exporter, "OTLPMetricExporter", made)
    _exporter_to("http://127.0.0.1:1/")
    made.assert_called_once_with("http://127.0.0.1:1/v1/metrics", timeout=2.0)
