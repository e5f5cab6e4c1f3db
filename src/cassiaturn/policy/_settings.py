"""Tunables of the decisions under load, with units and grounds."""

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
    """How the fair queue orders tasks; use it to build a ``FairQueue``."""

    floor_by_class: Mapping[RequestClass, float] = field(
        default_factory=_default_floors
    )
    """Share of service (0 to 1) a class keeps while a higher class is queued."""

    default_weight: float = 1.0
    """Weight of a tenant that has none configured; a ratio."""

    level_base_s: float = 0.5
    """Service of the first job level, in seconds: some short tasks in full."""

    expiry_step_s: float = 0.010
    """How late ``expire`` may report a task, in seconds; ``pop`` is exact."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSettings:
    """When a submission is refused; use it to build an ``Admission``."""

    max_wait_s_by_class: Mapping[RequestClass, float] = field(
        default_factory=_default_max_wait
    )
    """Longest expected wait accepted whatever the deadline, in seconds."""

    least_share_by_class: Mapping[RequestClass, float] = field(
        default_factory=_default_floors
    )
    """Share of the slots that a class can count on; the floors of the order."""

    busy_share: float = 0.8
    """Share of the slots in use from which a job of a tenant over its quota is
    weighed by what is left over for it."""

    safety: float = 0.9
    """Share of the deadline that the expected end may take; a ratio."""

    resume: float = 0.8
    """Share of the limit at which a class that refused admits again; a ratio.

    The gap between 1 and this value is the hysteresis: without it instances
    that refuse drain together, admit together and overfill together.
    """

    spread: float = 1.0
    """Width of the retry-after interval as a multiple of its start; a ratio."""

    min_retry_after_s: float = 0.2
    """Least retry-after, in seconds: the middle of a short task."""

    max_retry_after_s: float = 30.0
    """Largest start of the retry-after interval, in seconds."""

    learning_rate: float = 0.05
    """Weight of one new run in the mean run time; about 20 runs of memory."""

    prior_runs: float = 5.0
    """Runs that the declared run time counts for, in tasks."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementSettings:
    """When and where a task leaves its home; use it to build a ``Placement``."""

    spill_after_s_by_class: Mapping[RequestClass, float] = field(
        default_factory=_default_spill_after
    )
    """Own expected wait that justifies a send within the domain, in seconds."""

    spare_share_by_class: Mapping[RequestClass, float] = field(
        default_factory=_default_spare
    )
    """Share of an instance's slots left to higher classes while a peer has room.

    One and two of the 24 slots of an instance. More of it makes urgent tasks
    wait less and lower classes travel more.
    """

    far_extra_s: float = 0.002
    """Further wait that justifies a send to another domain, in seconds.

    Twice the one-way latency between domains of the slower deployment (0.9 ms).
    """

    report_trust_s: float = 5.0
    """Age at which a peer's report counts for nothing, in seconds.

    Above twice the longest silence between neighbours; a peer that is not one
    says so sooner if it has got room.
    """

    claim_share: float = 0.35
    """Share of a peer's reported free slots that one sender may claim; a ratio."""

    hysteresis: float = 0.7
    """A peer's wait must be under this share of ours; a ratio."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthSettings:
    """When a target is ejected; use it to build a ``TargetHealth``."""

    slow_ratio: float = 3.0
    """Ratio to the peers' median run time that makes a task slow."""

    slow_share: float = 0.5
    """Share of slow tasks among the last ones that makes a target slow; a share.

    Far above the share of long tasks in either user's mix.
    """

    slow_margin: float = 0.4
    """How far that share must be above the peers' median; a share."""

    failure_share: float = 0.5
    """Share of failed tasks that counts as failing, if peers do better."""

    failure_margin: float = 0.3
    """How far the share must be above the peers' median; a share."""

    min_samples: int = 4
    """Failed tasks before a target is judged, in tasks."""

    window: int = 8
    """Results a target is judged by, in tasks, besides what it is running."""

    ejected_share: float = 0.34
    """Largest share of targets ejected or on probation at a time; a share."""

    ejection_s: float = 2.0
    """First ejection, in seconds; doubled at each return to ejection."""

    max_ejection_s: float = 60.0
    """Longest ejection, in seconds."""

    probation_successes: int = 4
    """Good results in a row that end probation, in tasks."""

    probation_failures: int = 2
    """Failed or slow tasks in a row that end it by another ejection, in tasks."""

    tick_s: float = 0.1
    """Least time between two judgements, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """How much may be tried again; use it to build a ``RetryBudget``."""

    share: float = 0.1
    """Retries earned by one success; a ratio."""

    burst: float = 10.0
    """Most retries saved up, in retries."""

    trickle_per_s: float = 0.5
    """Retries earned by time alone, per second, so that a quiet site may retry."""

    max_attempts: int = 3
    """Runs of a task in all, in attempts."""

    max_refused: int = 64
    """Refused starts of a task in all: it will never fit anywhere."""

    first_delay_s: float = 0.005
    """Delay before the first retry, in seconds; doubled at each attempt."""

    max_delay_s: float = 1.0
    """Longest delay, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """All tunables of one instance."""

    order: OrderSettings = field(default_factory=OrderSettings)
    """Order of queued tasks."""

    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    """Refusal of submissions."""

    placement: PlacementSettings = field(default_factory=PlacementSettings)
    """Choice of targets and peers."""

    health: HealthSettings = field(default_factory=HealthSettings)
    """Ejection of targets."""

    retries: RetrySettings = field(default_factory=RetrySettings)
    """Second attempts."""
