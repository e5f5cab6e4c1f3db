"""Which decision modules an instance uses, for ablations."""

from dataclasses import dataclass, field

from cassiaturn.policy import PolicySettings


@dataclass(frozen=True, slots=True, kw_only=True)
class Modules:
    """Modules that are on, and their tunables; one is off in each ablation."""

    admission: bool = True
    """Off: every submission is admitted."""

    fair_order: bool = True
    """Off: tasks start in order of arrival."""

    spill: bool = True
    """Off: tasks run on their own instance's targets only."""

    health: bool = True
    """Off: no target is ejected."""

    retries: bool = True
    """Off: the first failure of a task fails its job."""

    hard_quota: bool = False
    """On: a tenant starts nothing beyond its share of slots."""

    notices: bool = True
    """Off: an instance that becomes free tells nobody by itself."""

    heartbeat_s: float = 1.8
    """Longest silence towards a neighbour, in seconds; as both users set it."""

    settings: PolicySettings = field(default_factory=PolicySettings)
    """Tunables of the modules."""
