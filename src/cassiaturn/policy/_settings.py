"""Settings of the scheduling decisions, with their units and reasons."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cassiaturn.entities import RequestClass


def _default_floors() -> Mapping[RequestClass, float]:
    return {RequestClass.NORMAL: 0.15, RequestClass.BATCH: 0.05}


def _default_spill_after() -> Mapping[RequestClass, float]:
    return {
        RequestClass.URGENT: 0.001,
        RequestClass.NORMAL: 0.003,
        RequestClass.BATCH: 0.050,
    }


def _default_spare() -> Mapping[RequestClass, float]:
    return {RequestClass.NORMAL: 0.04, RequestClass.BATCH: 0.08}


def _default_max_wait() -> Mapping[RequestClass, float]:
    return {
        RequestClass.URGENT: 2.0,
        RequestClass.NORMAL: 10.0,
        RequestClass.BATCH: 60.0,
    }


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderSettings:
    """Order of queued tasks; settings of ``FairQueue``."""

    floor_by_class: Mapping[RequestClass, float] = field(
        default_factory=_default_floors
    )
    """Minimum share of service (0 to 1) of a class while a higher class is queued."""

    default_weight: float = 1.0
    """Weight of a tenant without a configured weight; a ratio."""

    level_base_s: float = 0.5
    """Service covered by the first job level, in seconds: a few short tasks."""

    expiry_step_s: float = 0.010
    """Largest delay of ``FairQueue.expire``, in seconds; ``pop`` is exact."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSettings:
    """Limits beyond which a submission is refused; settings of ``Admission``."""

    max_wait_s_by_class: Mapping[RequestClass, float] = field(
        default_factory=_default_max_wait
    )
    """Longest expected wait accepted for any deadline, in seconds."""

    least_share_by_class: Mapping[RequestClass, float] = field(
        default_factory=_default_floors
    )
    """Share of the slots that a class can count on: its floor in the fair queue."""

    busy_share: float = 0.8
    """Share of slots in use above which a job of a tenant over its quota is
    estimated on the slots left over for it."""

    safety: float = 0.9
    """Share of the time to the deadline that the expected answer may take; a
    ratio."""

    resume: float = 0.8
    """Share of the limit below which a class that refused admits again; a ratio.

    The gap to 1 is the hysteresis. Without it, instances that refuse would drain,
    admit and become overloaded again at the same time.
    """

    spread: float = 1.0
    """Width of the retry-after interval as a multiple of its start; a ratio."""

    min_retry_after_s: float = 0.2
    """Minimum retry-after, in seconds: a typical short task."""

    max_retry_after_s: float = 30.0
    """Largest start of the retry-after interval, in seconds."""

    learning_rate: float = 0.05
    """Weight of a new run in the mean run time, which covers about 20 runs; a
    ratio."""

    prior_runs: float = 5.0
    """Weight of the declared run time, in observed runs."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementSettings:
    """When and where tasks are sent to a peer; settings of ``Placement``."""

    spill_after_s_by_class: Mapping[RequestClass, float] = field(
        default_factory=_default_spill_after
    )
    """Own expected wait from which a task may be sent to a peer in the same failure
    domain, in seconds."""

    spare_share_by_class: Mapping[RequestClass, float] = field(
        default_factory=_default_spare
    )
    """Share of an instance's slots reserved for higher classes while a peer has
    free slots; a ratio.

    With 24 slots per instance these are one and two slots. A larger share shortens
    the wait of urgent tasks and sends more tasks of lower classes to peers.
    """

    far_extra_s: float = 0.002
    """Additional wait from which a task may be sent to another failure domain, in
    seconds.

    Twice the one-way latency between domains in the slower deployment (0.9 ms).
    """

    report_trust_s: float = 5.0
    """Age from which a peer's report is ignored, in seconds.

    More than twice the longest silence between neighbours. A peer that is not a
    neighbour sends a notice earlier if slots become free.
    """

    claim_share: float = 0.35
    """Share of a peer's reported free slots that one sender may claim; a ratio."""

    hysteresis: float = 0.7
    """Share of the own wait below which a peer's wait must be; a ratio."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthSettings:
    """When a target is ejected; settings of ``TargetHealth``."""

    slow_ratio: float = 3.0
    """Ratio to the median run time of its method from which a task is slow."""

    slow_share: float = 0.5
    """Share of slow tasks among the last ones from which a target is slow; a ratio.

    Well above the share of long tasks in the workload of either deployment.
    """

    slow_margin: float = 0.4
    """Least excess of that share over the median of all targets; a ratio."""

    failure_share: float = 0.5
    """Share of failed tasks from which a target is failing, if its peers do better;
    a ratio."""

    failure_margin: float = 0.3
    """Least excess of that share over the median of all targets; a ratio."""

    min_samples: int = 4
    """Failed tasks among the last results before a target is failing, in tasks."""

    window: int = 8
    """Last results that are evaluated besides the running tasks, in tasks."""

    ejected_share: float = 0.34
    """Largest share of targets ejected or on probation at a time; a ratio."""

    ejection_s: float = 2.0
    """Length of the first ejection, in seconds; doubled at each further one."""

    max_ejection_s: float = 60.0
    """Longest ejection, in seconds."""

    probation_successes: int = 4
    """Consecutive good results that end probation, in tasks."""

    probation_failures: int = 2
    """Consecutive failed or slow tasks on probation that eject again, in tasks."""

    tick_s: float = 0.1
    """Least time between two evaluations, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """Limits on retries; settings of ``RetryBudget``."""

    share: float = 0.1
    """Retries earned per successful task; a ratio."""

    burst: float = 10.0
    """Largest number of retries saved up."""

    trickle_per_s: float = 0.5
    """Retries earned per second regardless of results, so that an idle instance
    may retry."""

    max_attempts: int = 3
    """Largest number of runs of a task."""

    max_refused: int = 64
    """Refused starts after which a task is given up, because no target fits it."""

    first_delay_s: float = 0.005
    """Upper bound of the first delay, in seconds; doubled at each attempt."""

    max_delay_s: float = 1.0
    """Largest upper bound of a delay, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """All policy settings of one instance."""

    order: OrderSettings = field(default_factory=OrderSettings)
    """Order of queued tasks."""

    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    """Admission control."""

    placement: PlacementSettings = field(default_factory=PlacementSettings)
    """Placement of tasks on targets and peers."""

    health: HealthSettings = field(default_factory=HealthSettings)
    """Outlier ejection of targets."""

    retries: RetrySettings = field(default_factory=RetrySettings)
    """Retries of failed tasks."""
