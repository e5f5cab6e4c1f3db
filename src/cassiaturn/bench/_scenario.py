"""Scenarios as data: flows of jobs and faults of targets."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from cassiaturn.entities import RequestClass

ALL_CLASSES = frozenset(RequestClass)


@dataclass(frozen=True, slots=True, kw_only=True)
class Flow:
    """Jobs that arrive at random over an interval.

    Use several in a scenario where some callers behave unlike the rest.
    """

    name: str
    """Part of the jobs' ids and of the seed."""

    load: float
    """Work that arrives, as a multiple of the site's slots."""

    from_s: float = 0.0
    """First arrival, in seconds."""

    until_s: float
    """Last arrival, in seconds."""

    tenants: Sequence[str] = ()
    """Whose jobs they are, by weight; empty: every tenant's."""

    callers_per_tenant: int = 8
    """Callers that share a tenant's jobs evenly."""

    classes: frozenset[RequestClass] = ALL_CLASSES
    """Requests drawn, by class."""

    run_factor: float = 1.0
    """Multiplies run times, on every target alike."""

    tail_share: float | None = None
    """Share of tasks of several seconds; ``None``: the kind's own."""

    declaration_error: float = 1.0
    """Each job's declared time is multiplied or divided by this, at random."""

    watched: bool = True
    """Whether the reference run has these jobs too and is compared by them."""

    cancel_at_s: float | None = None
    """When callers cancel what is not yet answered, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetFault:
    """A change in how some targets behave, from a time on.

    Use several on the same targets for one that recovers.
    """

    at_s: float
    """When it begins, in seconds."""

    targets: Sequence[int]
    """Indices of the targets."""

    slowdown: float = 1.0
    """Multiplies the run time of tasks started from then on."""

    fails_after_s: float | None = None
    """Every task fails after this time, in seconds; ``None``: none fails."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """What arrives and what fails in one run, as callers and targets cause it.

    Use :func:`scenario` to add one to :data:`SCENARIOS_BY_NAME`.
    """

    name: str
    """Name on the command line and in the baseline."""

    summary: str
    """What it is for, in a sentence."""

    flows: Sequence[Flow]
    """Jobs that arrive."""

    faults: Sequence[TargetFault] = ()
    """What happens to targets."""

    watched_from_s: float = 0.0
    """Watched jobs submitted earlier are left out of the comparison."""

    @property
    def until_s(self) -> float:
        """Time of the last arrival, in seconds."""
        return max(flow.until_s for flow in self.flows)

    @property
    def has_reference(self) -> bool:
        """Whether a run without its faults and unwatched flows says more."""
        return bool(self.faults) or not all(flow.watched for flow in self.flows)

    def reference(self) -> "Scenario":
        """Return the scenario that watched jobs should not differ from."""
        return Scenario(
            name=f"{self.name}-reference",
            summary=self.summary,
            flows=tuple(flow for flow in self.flows if flow.watched),
            watched_from_s=self.watched_from_s,
        )


SCENARIOS_BY_NAME: dict[str, Scenario] = {}
"""Every scenario, filled by :func:`scenario`."""


def scenario(build: Callable[[], Scenario]) -> Callable[[], Scenario]:
    """Register the scenario that a function builds."""
    built = build()
    if built.name in SCENARIOS_BY_NAME:
        raise ValueError(f"scenario {built.name} is registered twice")
    SCENARIOS_BY_NAME[built.name] = built
    return build


def scenarios_by_name() -> Mapping[str, Scenario]:
    """Return every scenario, by name."""
    import cassiaturn.bench._scenarios  # noqa: F401 (fills the registry)

    return SCENARIOS_BY_NAME
