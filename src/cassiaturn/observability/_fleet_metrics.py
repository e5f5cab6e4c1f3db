"""Metrics of a member of a fleet: per route and priority."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from cassiaturn.observability._tally import TIME_BUCKETS_S, TallyFamily

EXPOSITION = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the scraped metrics."""

if TYPE_CHECKING:
    from cassiaturn.observability._fleet_export import FleetExport


@dataclass(frozen=True, slots=True, kw_only=True)
class CountSource:
    """Counts by kind that are read when somebody collects."""

    name: str
    """Name of the metric."""

    description: str
    """What is counted."""

    read: Callable[[], Mapping[str, float]]
    """Returns the counts by kind; called from another thread."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GaugeSource:
    """A value that is read when somebody collects."""

    name: str
    """Name of the metric."""

    description: str
    """What is measured."""

    read: Callable[[], float]
    """Returns the value; called from another thread."""


class AnswerKey(NamedTuple):
    """What the histograms of answers stand apart for."""

    route: str
    """Name of the route."""

    priority: int
    """Its order among routes; 0 goes first."""

    verdict: str
    """How the job ended."""


class WaitKey(NamedTuple):
    """What the histograms of waits stand apart for."""

    route: str
    """Name of the route."""

    priority: int
    """Its order among routes; 0 goes first."""


class FleetMetrics:
    """Every metric of one member; whoever records is handed it."""

    def __init__(self, *, member_name: str, failure_domain: str) -> None:
        """Start counting.

        :param member_name: a resource attribute.
        :param failure_domain: a resource attribute.
        """
        self._started_ns = time.time_ns()
        self._attributes = {
            "service.name": "cassiaturn",
            "service.instance.id": member_name,
            "cassiaturn.failure_domain": failure_domain,
        }
        self._counts: list[CountSource] = []
        self._gauges: list[GaugeSource] = []
        self._export: FleetExport | None = None
        self._responses: TallyFamily[AnswerKey] = TallyFamily(
            name="cassiaturn.job_response_time",
            unit="s",
            description="From a job's request to its answer.",
            boundaries=TIME_BUCKETS_S,
        )
        self._target_answers: TallyFamily[str] = TallyFamily(
            name="cassiaturn.target_answer_time",
            unit="s",
            description="From a request to a target to its answer.",
            boundaries=TIME_BUCKETS_S,
        )
        self._frame_waits: TallyFamily[str] = TallyFamily(
            name="cassiaturn.frame_wait",
            unit="s",
            description="How long a frame waits for its follower's stream.",
            boundaries=TIME_BUCKETS_S,
        )
        self._lateness: TallyFamily[str] = TallyFamily(
            name="cassiaturn.loop_late",
            unit="s",
            description="By how much timers of a leader's event loop fire late.",
            boundaries=TIME_BUCKETS_S,
        )
        self._waits: TallyFamily[WaitKey] = TallyFamily(
            name="cassiaturn.task_wait",
            unit="s",
            description="From a job's request to the start of a task.",
            boundaries=TIME_BUCKETS_S,
        )

    def answered(
        self, route: str, priority: int, verdict: Enum, response_s: float
    ) -> None:
        """Count the answer of a job.

        :param route: name of its route.
        :param priority: of its route.
        :param verdict: how it ended.
        :param response_s: time since its request, in seconds.
        """
        key = AnswerKey(route, priority, verdict.name.lower())
        tally = self._responses.find(key) or self._responses.bind(key, _labels(key))
        tally.record(response_s)

    def started(self, route: str, priority: int, wait_s: float) -> None:
        """Count the start of a task.

        :param route: name of its route.
        :param priority: of its route.
        :param wait_s: time since the job's request, in seconds.
        """
        key = WaitKey(route, priority)
        tally = self._waits.find(key) or self._waits.bind(key, _labels(key))
        tally.record(wait_s)

    def target_answered(self, kind: str, answer_s: float) -> None:
        """Count the answer of a target to a request that it answers at once.

        :param kind: of the request.
        :param answer_s: time since the request, in seconds.
        """
        answers = self._target_answers
        tally = answers.find(kind) or answers.bind(kind, {"kind": kind})
        tally.record(answer_s)

    def frame_sent(self, kind: str, waited_s: float) -> None:
        """Count a frame to a follower.

        :param kind: of the frame.
        :param waited_s: how long it waited for the stream, in seconds.
        """
        waits = self._frame_waits
        tally = waits.find(kind) or waits.bind(kind, {"kind": kind})
        tally.record(waited_s)

    def loop_late(self, late_s: float) -> None:
        """Count a timer of the event loop.

        :param late_s: by how much it fired late, in seconds.
        """
        self._lateness.bind("", {}).record(late_s)

    def observe_counts(
        self, name: str, description: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Show counts by kind that are read when somebody collects.

        :param name: such as ``cassiaturn.runs``.
        :param read: returns the counts by kind; called from another thread.
        """
        self._counts.append(CountSource(name=name, description=description, read=read))

    def observe_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Show a value that is read when somebody collects.

        :param read: returns it; called from another thread.
        """
        self._gauges.append(GaugeSource(name=name, description=description, read=read))

    def exposition(self) -> bytes:
        """Return every metric in Prometheus' text format.

        The SDK is imported by the first scrape, in its thread: it takes a fifth of
        the imports of a member (0.11 of 0.5 s in a profile), and callers of a
        host that starts again wait for that.
        """
        if self._export is None:
            from cassiaturn.observability._fleet_export import FleetExport

            self._export = FleetExport(
                attributes=self._attributes,
                families=[
                    self._responses,
                    self._waits,
                    self._target_answers,
                    self._frame_waits,
                    self._lateness,
                ],
                counts=self._counts,
                gauges=self._gauges,
                started_ns=self._started_ns,
            )
        return self._export.exposition()


def _labels(key: AnswerKey | WaitKey) -> Mapping[str, str]:
    return {name: str(value) for name, value in key._asdict().items()}
