"""What callers ask for: kinds of requests, jobs and tenants."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from cassiaturn.entities import RequestClass

TENANTS = 22
HEAVY_TENANTS = 4
HEAVY_WEIGHT = 3.0
LIGHT_WEIGHT = 1.0
CALLERS_PER_TENANT = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """One method of a user's schema with its traffic.

    Use it to draw jobs; times are what tasks really take, but for
    ``declared_run_s``.
    """

    method: str
    """Full name of the method."""

    request_class: RequestClass
    """How soon it matters."""

    share: float
    """Share of all jobs."""

    median_run_s: float
    """Median of the real run times, in seconds."""

    declared_run_s: float
    """Run time that the schema declares, in seconds."""

    deadline_s: float
    """From acceptance, in seconds."""

    repeatable: bool = True
    """Whether a task may run again once an earlier run is over."""

    tail_share: float = 0.002
    """Share of tasks that run for several seconds."""

    many_share: float = 0.0
    """Share of jobs of more than one task."""

    many_range: tuple[int, int] = (1, 1)
    """Fewest and most tasks of those jobs, drawn evenly in the logarithm."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """One submission, with the run times that its tasks will have."""

    submission_id: str
    """Unique within a run."""

    kind: RequestKind
    """The method that it calls."""

    tenant: str
    """Who pays."""

    caller: str
    """Who asks."""

    instance: int
    """Index of the instance that the caller's connection reaches."""

    submitted_at: float
    """When the caller sends it, in seconds."""

    run_s: Sequence[float]
    """Real run time of each task on a healthy target, in seconds."""

    declared_run_s: float
    """Run time that its schema declares, in seconds."""

    watched: bool
    """Whether the scenario compares it with the reference run."""

    cancel_at: float | None
    """When the caller cancels it, in seconds."""

    @property
    def longest_run_s(self) -> float:
        """Run time of the longest task, in seconds."""
        return max(self.run_s)


@dataclass(frozen=True, slots=True, kw_only=True)
class Tenants:
    """The tenants of a site and what each is entitled to."""

    weights_by_tenant: Mapping[str, float]
    """Relative entitlements."""

    def quota_slots(self, slots: int) -> Mapping[str, float]:
        """Return each tenant's share of a number of slots, by tenant."""
        total = sum(self.weights_by_tenant.values())
        return {
            tenant: slots * weight / total
            for tenant, weight in self.weights_by_tenant.items()
        }


def default_tenants() -> Tenants:
    """Return 22 tenants, the first four with three times the others' weight."""
    return Tenants(
        weights_by_tenant={
            f"tenant-{index:02d}": (
                HEAVY_WEIGHT if index < HEAVY_TENANTS else LIGHT_WEIGHT
            )
            for index in range(TENANTS)
        }
    )
