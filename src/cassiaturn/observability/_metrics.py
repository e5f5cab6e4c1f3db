"""Metrics of one process: per tenant and class, per store and per peer."""

import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum
from typing import NamedTuple, TypeVar

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.export import Metric, MetricExporter, MetricReader
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from cassiaturn.entities import Outcome, Reason, RequestClass
from cassiaturn.observability._export import PushedReader, ScrapedReader
from cassiaturn.observability._tally import (
    MAX_SERIES,
    TIME_BUCKETS_S,
    Count,
    Tally,
    TallyFamily,
)
from cassiaturn.observability._tally_metric import to_metric

KindT = TypeVar("KindT", bound=Enum)

SLOWDOWN_BUCKETS = (
    1.01, 1.02, 1.05, 1.1, 1.15, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0, 50.0, 100.0,
)  # fmt: skip
"""Upper ends of response time over ideal; the goals, 1.1 and 1.5, are ends."""

PUSH_PERIOD_MS = 15_000
"""Time between two pushes to a collector, in milliseconds."""


PUSH_TIMEOUT_S = 2.0
"""Longest wait for a collector, retries included, in seconds.

A planned stop pushes once more at its end; with the exporter's own 10 s, a
collector that is down would hold every restart up by as much.
"""


class WastedMessage(Enum):
    """Messages that a dispatcher with perfect knowledge would not send."""

    REFUSED_START = "refused_start"
    """A start that a target refused."""

    MISPLACED_SPILL = "misplaced_spill"
    """A task given to a peer that had no room for it."""

    REDIRECT = "redirect"
    """A call that had to be forwarded to another home."""

    DUPLICATE_ANSWER = "duplicate_answer"
    """An answer or result that had been received before."""

    CONTROL = "control"
    """A frame without work in it, such as a lone heartbeat."""


class StoreOperation(Enum):
    """What was asked of the table service, and how it went."""

    READ = "read"
    """A read that was answered."""

    WRITE = "write"
    """A transaction that was answered, conflicts included."""

    FAILED = "failed"
    """A request without an answer in time."""


class Direction(Enum):
    """Which way a frame between instances went."""

    SENT = "sent"
    """Written by this process."""

    RECEIVED = "received"
    """Read by this process."""


class RequestMetrics:
    """What is recorded for one tenant and class; bind once, then record."""

    __slots__ = ("answers_by_outcome", "response_time", "slowdown", "starts", "wait")

    def __init__(self, *, response_time: Tally, slowdown: Tally, wait: Tally) -> None:
        """Count from nothing.

        :param response_time: seconds from acceptance to the answer.
        :param slowdown: response time over the ideal one.
        :param wait: seconds from acceptance to the start of a task.
        """
        self.response_time = response_time
        self.slowdown = slowdown
        self.wait = wait
        self.starts = Count()
        self.answers_by_outcome = {outcome: Count() for outcome in Outcome}

    def started(self, wait_s: float) -> None:
        """Count the start of a task.

        :param wait_s: time since its job was accepted, in seconds.
        """
        self.starts.value += 1
        self.wait.record(wait_s)

    def answered(self, outcome: Outcome, response_s: float, ideal_s: float) -> None:
        """Count the answer of a job.

        :param outcome: how it ended.
        :param response_s: time since its acceptance, in seconds.
        :param ideal_s: run time of its longest task, in seconds; 0: not known.
        """
        self.answers_by_outcome[outcome].value += 1
        self.response_time.record(response_s)
        if outcome is Outcome.COMPLETE and ideal_s > 0:
            self.slowdown.record(response_s / ideal_s)


class RequestKey(NamedTuple):
    """What histograms stand apart for."""

    tenant: str
    """Who the jobs belong to."""

    request_class: RequestClass
    """How soon they matter."""


class Metrics:
    """Every metric of one process; use one and hand it to whoever records."""

    def __init__(
        self,
        *,
        instance_id: str,
        failure_domain: str,
        otlp_endpoint: str | None = None,
    ) -> None:
        """Start counting.

        :param instance_id: the instance, a resource attribute.
        :param failure_domain: its failure domain, a resource attribute.
        :param otlp_endpoint: base URL of a collector to push to, if any.
        """
        self._started_ns = time.time_ns()
        self._registry = CollectorRegistry()
        self._families = _request_families()
        self._requests_by_key: dict[RequestKey, RequestMetrics] = {}
        self.refusals_by_reason = {reason: Count() for reason in Reason}
        self.wasted_by_kind = {kind: Count() for kind in WastedMessage}
        self.store_by_operation = {kind: Count() for kind in StoreOperation}
        self.peer_frames_by_direction = {way: Count() for way in Direction}
        self.peer_bytes_by_direction = {way: Count() for way in Direction}
        readers: list[MetricReader] = [
            ScrapedReader(tallies=self._collect_tallies, registry=self._registry)
        ]
        if otlp_endpoint is not None:
            readers.append(
                PushedReader(
                    tallies=self._collect_tallies,
                    exporter=_exporter_to(otlp_endpoint),
                    period_ms=PUSH_PERIOD_MS,
                )
            )
        self._provider = MeterProvider(
            metric_readers=readers,
            resource=Resource.create(
                {
                    "service.name": "cassiaturn",
                    "service.instance.id": instance_id,
                    "cassiaturn.failure_domain": failure_domain,
                }
            ),
            exemplar_filter=AlwaysOffExemplarFilter(),
        )
        self._meter = self._provider.get_meter("cassiaturn")
        self._observe_counts()

    def for_requests(self, tenant: str, request_class: RequestClass) -> RequestMetrics:
        """Return what records the jobs of a tenant and class.

        :param tenant: a tenant of the shared configuration.
        :param request_class: the class of the method.
        """
        key = RequestKey(tenant=tenant, request_class=request_class)
        found = self._requests_by_key.get(key)
        if found is None:
            labels = _request_labels(key)
            response_time, slowdown, wait = (
                family.bind(key, labels) for family in self._families
            )
            found = RequestMetrics(
                response_time=response_time, slowdown=slowdown, wait=wait
            )
            if len(self._requests_by_key) < MAX_SERIES:
                self._requests_by_key[key] = found
        return found

    def observe_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Show a value that is read when somebody collects.

        :param name: such as ``cassiaturn.slots``.
        :param description: what the value is.
        :param read: returns it; called from another thread.
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            yield Observation(read())

        self._meter.create_observable_gauge(name, [observe], description=description)

    def exposition(self) -> bytes:
        """Return every metric in Prometheus' text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Push what is left and stop the exporters."""
        self._provider.shutdown()

    def _collect_tallies(self, now_ns: int) -> Sequence[Metric]:
        return [
            to_metric(family, started_ns=self._started_ns, now_ns=now_ns)
            for family in self._families
        ]

    def _observe_counts(self) -> None:
        self._counter("cassiaturn.starts", "Task starts sent.", self._read_starts)
        self._counter("cassiaturn.answers", "Answers of jobs.", self._read_answers)
        self._kinds("refusals", "Jobs refused.", "reason", self.refusals_by_reason)
        self._kinds("wasted_messages", "Wasted.", "kind", self.wasted_by_kind)
        self._kinds("store", "Requests.", "operation", self.store_by_operation)
        self._kinds(
            "peer_frames", "Frames.", "direction", self.peer_frames_by_direction
        )
        self._kinds("peer_bytes", "Bytes.", "direction", self.peer_bytes_by_direction)

    def _kinds(
        self,
        name: str,
        description: str,
        label: str,
        counts_by_kind: Mapping[KindT, Count],
    ) -> None:
        def read() -> Iterable[Observation]:
            for kind, count in counts_by_kind.items():
                yield Observation(count.value, {label: kind.name.lower()})

        self._counter(f"cassiaturn.{name}", description, read)

    def _counter(
        self, name: str, description: str, read: Callable[[], Iterable[Observation]]
    ) -> None:
        self._meter.create_observable_counter(
            name, [lambda _: read()], description=description
        )

    def _read_starts(self) -> Iterable[Observation]:
        for key, request in list(self._requests_by_key.items()):
            yield Observation(request.starts.value, _request_labels(key))

    def _read_answers(self) -> Iterable[Observation]:
        for key, request in list(self._requests_by_key.items()):
            for outcome, count in request.answers_by_outcome.items():
                if count.value:
                    labels = {**_request_labels(key), "outcome": outcome.name.lower()}
                    yield Observation(count.value, labels)


def _exporter_to(endpoint: str) -> MetricExporter:
    # The exporter brings an HTTP client of 2 MB that most instances never use.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )

    url = f"{endpoint.rstrip('/')}/v1/metrics"
    return OTLPMetricExporter(url, timeout=PUSH_TIMEOUT_S)


def _request_families() -> Sequence[TallyFamily[RequestKey]]:
    return (
        TallyFamily(
            name="cassiaturn.response_time",
            unit="s",
            description="From a job's acceptance to its answer.",
            boundaries=TIME_BUCKETS_S,
        ),
        TallyFamily(
            name="cassiaturn.slowdown",
            unit="",
            description="Response time of a complete job over its longest task.",
            boundaries=SLOWDOWN_BUCKETS,
        ),
        TallyFamily(
            name="cassiaturn.wait",
            unit="s",
            description="From a job's acceptance to the start of a task.",
            boundaries=TIME_BUCKETS_S,
        ),
    )


def _request_labels(key: RequestKey) -> Mapping[str, str]:
    return {"tenant": key.tenant, "class": key.request_class.name.lower()}
