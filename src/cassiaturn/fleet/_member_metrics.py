"""Counters and gauges of a member; its histograms are recorded elsewhere."""

from dataclasses import asdict
from typing import Protocol

from cassiaturn.fleet._caller_jobs import CallerJobs
from cassiaturn.fleet._drains import CurrentDrains
from cassiaturn.fleet._leader import Leader
from cassiaturn.fleet._leader_relief import LeaderRelief
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.observability import FleetMetrics
from cassiaturn.settings import FleetSettings
from cassiaturn.sharing import CpuLoad


class ObservedMember(Protocol):
    """What the metrics read from a member."""

    metrics: FleetMetrics
    caller_jobs: CallerJobs
    routing: CurrentRouting
    drains: CurrentDrains
    settings: FleetSettings
    cpu_load: CpuLoad
    relief: LeaderRelief

    @property
    def leader(self) -> Leader | None:
        """The leader on this member; None if it does not lead."""


def register_metrics(member: ObservedMember) -> None:
    """Register a member's counters and gauges."""
    metrics = member.metrics
    metrics.observe_counts(
        "cassiaturn.leader",
        "What this member did as the leader.",
        lambda: _counts(member.leader),
    )
    metrics.observe_counts(
        "cassiaturn.hand_over_requests",
        "Requests to other members to lead for this one, by reason.",
        member.relief.requests_by_reason.copy,
    )
    metrics.observe_gauge(
        "cassiaturn.cpu_capacity",
        "Processor capacity of the host, in cores; 0: not known.",
        lambda: member.settings.cpu_cores,
    )
    metrics.observe_gauge(
        "cassiaturn.cpu_busy_share",
        "Share of the last second or so that the process was busy; 0: not measured.",
        lambda: member.cpu_load.busy_share,
    )
    metrics.observe_gauge(
        "cassiaturn.open_jobs",
        "Jobs without an answer.",
        lambda: member.caller_jobs.open_jobs,
    )
    metrics.observe_gauge(
        "cassiaturn.leads", "1 on the leader.", lambda: float(member.leader is not None)
    )
    metrics.observe_gauge(
        "cassiaturn.routing_version",
        "Configuration in force.",
        lambda: member.routing.version,
    )
    metrics.observe_gauge(
        "cassiaturn.drained_failure_domains",
        "Failure domains whose targets get no start; -1: not known yet.",
        lambda: _drained(member.drains),
    )
    metrics.observe_gauge(
        "cassiaturn.heard_targets",
        "Targets that answer this leader.",
        lambda: member.leader.heard_targets if member.leader is not None else 0,
    )
    metrics.observe_gauge(
        "cassiaturn.forecast_margin",
        "Time that this leader adds to forecasts, in seconds; the largest.",
        lambda: member.leader.margin_s if member.leader is not None else 0.0,
    )
    metrics.observe_gauge(
        "cassiaturn.start_rate",
        "Starts per second that this leader can make; -1: not known.",
        lambda: _start_rate(member.leader),
    )
    metrics.observe_gauge(
        "cassiaturn.shed_share",
        "Largest share of a priority's new jobs that members refuse for this leader.",
        lambda: _largest_share(member.leader),
    )


def _start_rate(leader: Leader | None) -> float:
    rate = leader.starts_per_s if leader is not None else float("inf")
    return -1.0 if rate == float("inf") else rate


def _largest_share(leader: Leader | None) -> float:
    shares = leader.shed_by_priority if leader is not None else {}
    return max(shares.values(), default=0.0)


def _drained(drains: CurrentDrains) -> float:
    failure_domains = drains.failure_domains
    return -1.0 if failure_domains is None else float(len(failure_domains))


def _counts(leader: Leader | None) -> dict[str, float]:
    return asdict(leader.tables.counters) if leader is not None else {}
