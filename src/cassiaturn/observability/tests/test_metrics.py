from enum import Enum

import pytest
from prometheus_client.parser import text_string_to_metric_families

from cassiaturn.entities import Outcome, Reason, RequestClass
from cassiaturn.observability import (
    Direction,
    Metrics,
    StoreOperation,
    WastedMessage,
)
from cassiaturn.observability._tally import MAX_SERIES


class Series:
    """The samples of one scrape."""

    def __init__(self, metrics: Metrics) -> None:
        families = text_string_to_metric_families(metrics.exposition().decode())
        self.samples = [sample for family in families for sample in family.samples]

    def values(self, name: str, **labels: str) -> list[float]:
        return [
            sample.value
            for sample in self.samples
            if sample.name == f"cassiaturn_{name}"
            and labels.items() <= sample.labels.items()
        ]


@pytest.fixture
def metrics() -> Metrics:
    return Metrics(instance_id="osu-1", failure_domain="osu")


def test_histograms_stand_per_tenant_and_class(metrics: Metrics) -> None:
    urgent = metrics.for_requests("counters", RequestClass.URGENT)
    for response_s in (0.08, 0.1, 0.9):
        urgent.answered(Outcome.COMPLETE, response_s, 0.08)
    urgent.answered(Outcome.FAILED, 1.2, 0.08)
    urgent.started(0.004)
    metrics.for_requests("guild", RequestClass.BATCH).started(70.0)
    series = Series(metrics)
    of_counters = {"tenant": "counters", "class": "urgent"}
    name = "response_time_seconds"
    assert series.values(f"{name}_bucket", le="0.1", **of_counters) == [2]
    assert series.values(f"{name}_count", **of_counters) == [4]
    assert series.values(f"{name}_sum", **of_counters) == [pytest.approx(2.28)]
    assert series.values("slowdown_count", **of_counters) == [3]
    assert series.values("wait_seconds_bucket", le="60.0", tenant="guild") == [0]
    assert series.values("wait_seconds_bucket", le="+Inf", tenant="guild") == [1]
    assert series.values("answers_total", outcome="failed", **of_counters) == [1]
    assert series.values("starts_total", **of_counters) == [1]


@pytest.mark.parametrize(
    ("attribute", "kind", "name", "label"),
    [
        ("refusals_by_reason", Reason.OVERLOAD, "refusals_total", "reason"),
        (
            "wasted_by_kind",
            WastedMessage.REFUSED_START,
            "wasted_messages_total",
            "kind",
        ),
        ("store_by_operation", StoreOperation.WRITE, "store_total", "operation"),
        ("peer_frames_by_direction", Direction.SENT, "peer_frames_total", "direction"),
        (
            "peer_bytes_by_direction",
            Direction.RECEIVED,
            "peer_bytes_total",
            "direction",
        ),
    ],
)
def test_counts_are_shown_and_kept(
    metrics: Metrics, attribute: str, kind: Enum, name: str, label: str
) -> None:
    getattr(metrics, attribute)[kind].value += 3
    for _ in range(2):
        series = Series(metrics)
        assert series.values(name, **{label: kind.name.lower()}) == [3]
        assert sum(series.values(name)) == 3


def test_gauges_are_read_at_each_scrape(metrics: Metrics) -> None:
    values = iter([5.0, 7.0])
    metrics.observe_gauge("cassiaturn.slots", "Slots held.", lambda: next(values))
    assert Series(metrics).values("slots") == [5]
    assert Series(metrics).values("slots") == [7]


def test_too_many_tenants_share_one_series(metrics: Metrics) -> None:
    for number in range(MAX_SERIES + 20):
        bound = metrics.for_requests(f"tenant-{number}", RequestClass.NORMAL)
        bound.started(0.1)
    series = Series(metrics)
    assert len(series.values("wait_seconds_count")) == MAX_SERIES + 1
    assert series.values("wait_seconds_count", overflow="true") == [20]
