"""Scenarios as data: a deployment, its load and a timed list of faults."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

from pydantic import AfterValidator, ConfigDict, Field, with_config

from cassiaturn.load._payloads import METHODS
from cassiaturn.settings import Identifier
from cassiaturn.standins import RunTime

CLOSED = ConfigDict(extra="forbid")

Seconds = Annotated[float, Field(ge=0.0, le=3600.0)]
Share = Annotated[float, Field(ge=0.0, le=1.0)]
PerSecond = Annotated[float, Field(ge=0.0, le=100_000.0)]


def _check_method(name: str) -> str:
    if name not in METHODS:
        raise ValueError(f"one of: {', '.join(sorted(METHODS))}")
    return name


MethodName = Annotated[str, AfterValidator(_check_method)]
"""A method of the example schemas."""


@with_config(CLOSED)
@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """What is started; instances and runners are dealt to the domains in turn."""

    failure_domains: Annotated[tuple[Identifier, ...], Field(min_length=1)]
    """Failure domains."""

    instances: Annotated[int, Field(ge=1, le=64)] = 3
    """Instances of the dispatcher, a process each."""

    runners: Annotated[int, Field(ge=1, le=256)] = 8
    """Runners."""

    slots: Annotated[int, Field(ge=1, le=64)] = 8
    """Slots of each runner."""

    runners_per_process: Annotated[int, Field(ge=1, le=64)] = 8
    """Runners that a process hosts; 1 where single ones are killed or paused."""

    timings: Mapping[str, Annotated[int, Field(gt=0)]] = field(default_factory=dict)
    """Timings of the instances that differ from the defaults, in milliseconds;
    the instances check them."""

    store_writes_per_s: PerSecond = 400.0
    """Limit of the table service and object store."""

    store_reads_per_s: PerSecond = 2000.0
    """Limit of the table service and object store."""


@with_config(CLOSED)
@dataclass(frozen=True, slots=True, kw_only=True)
class Burst:
    """Jobs that arrive at the same moment."""

    at_s: Seconds
    """When, from the start of the load."""

    jobs: Annotated[int, Field(ge=1, le=100_000)]
    """How many."""


@with_config(CLOSED)
@dataclass(frozen=True, slots=True, kw_only=True)
class Flow:
    """Jobs of one method; a scenario mixes several."""

    method: MethodName
    """Method of the jobs."""

    jobs_per_s: PerSecond
    """Mean rate of Poisson arrivals."""

    run_time: RunTime
    """Real run time of each task; the declared one stands in the schema."""

    fewest_tasks: Annotated[int, Field(ge=1, le=750)] = 1
    """Tasks of the smallest job."""

    most_tasks: Annotated[int, Field(ge=1, le=750)] = 1
    """Tasks of the largest job, drawn evenly in between."""

    tenants: tuple[Identifier, ...] = ()
    """Tenants that send these jobs; none named: all."""

    deadline_s: Annotated[float, Field(gt=0.0, le=3600.0)] = 10.0
    """Until when a caller waits and resubmits."""

    own_id_share: Share = 0.0
    """Share of the jobs under ids of the caller's own choice, not tickets."""

    bursts: tuple[Burst, ...] = ()
    """Bursts beside the steady arrivals."""


@with_config(CLOSED)
@dataclass(frozen=True, slots=True, kw_only=True)
class Resubmission:
    """Callers that send the same submission again, to another instance."""

    share: Share = 0.0
    """Share of the jobs that are sent a second time."""

    after_s: Seconds = 0.05
    """Longest time between the two; 0: at the same moment."""


class FaultKind(StrEnum):
    """What can be made to fail."""

    KILL_INSTANCE = "kill_instance"
    PAUSE_INSTANCE = "pause_instance"
    STOP_INSTANCE = "stop_instance"
    RESTART_INSTANCE = "restart_instance"
    KILL_RUNNER = "kill_runner"
    PAUSE_RUNNER = "pause_runner"
    LEAVE = "leave"
    SLOW = "slow"
    FAIL_EVERYTHING = "fail_everything"
    FREEZE_ANSWERS = "freeze_answers"
    REFUSE_CONNECTIONS = "refuse_connections"
    STORE_DOWN = "store_down"
    STORE_HANGING = "store_hanging"
    STORE_SLOW = "store_slow"
    STORE_ANSWER_LOST = "store_answer_lost"
    PARTITION = "partition"
    CONFIGURATION_CHANGE = "configuration_change"


@with_config(CLOSED)
@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One thing that fails at a moment, for a while or for good."""

    at_s: Seconds
    """When, from the start of the load."""

    kind: FaultKind
    """What fails."""

    index: Annotated[int, Field(ge=0)] = 0
    """Which instance or runner, from 0; without meaning for the store.
    Configuration change: the runner that is drained."""

    for_s: Seconds = 0.0
    """How long; 0: for good."""

    domains: tuple[Identifier, ...] = ()
    """Partition: failure domains that are cut off from all others together."""

    from_platform: bool = False
    """Partition: whether they are cut off from the platform too."""

    amount: Annotated[float, Field(ge=0.0)] = 0.0
    """Slow: factor on run times. Store slow: milliseconds for each call. Store
    answer lost: share of the writes."""


@with_config(CLOSED)
@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """One run: what is started, who asks for what, and what fails when."""

    name: Identifier
    """Name of the scenario."""

    seed: Annotated[int, Field(ge=0)] = 1
    """Seed of arrivals, run times and choices."""

    duration_s: Annotated[float, Field(gt=0.0, le=3600.0)]
    """How long jobs arrive."""

    deployment: Deployment
    """What is started."""

    tenants: Annotated[tuple[Identifier, ...], Field(min_length=1)]
    """Tenants, each with the same weight."""

    callers_per_tenant: Annotated[int, Field(ge=1, le=64)] = 2
    """Callers of each tenant."""

    flows: Annotated[tuple[Flow, ...], Field(min_length=1)]
    """Jobs."""

    resubmission: Resubmission = field(default_factory=Resubmission)
    """Jobs that are sent twice on purpose."""

    faults: tuple[Fault, ...] = ()
    """What fails, in any order."""

    @property
    def has_partition(self) -> bool:
        """Whether connections between failure domains go through relays."""
        return any(fault.kind is FaultKind.PARTITION for fault in self.faults)

    def __post_init__(self) -> None:
        """Refuse what each value alone does not show.

        :raises ValueError: naming the keys that contradict each other.
        """
        for number, flow in enumerate(self.flows):
            if flow.most_tasks < flow.fewest_tasks:
                raise ValueError(
                    f"flows.{number}.most_tasks must not be below fewest_tasks"
                )
            unknown = sorted(set(flow.tenants) - set(self.tenants))
            if unknown:
                raise ValueError(f"flows.{number}.tenants names unknown {unknown}")
        methods = [flow.method for flow in self.flows]
        if len(set(methods)) != len(methods):
            raise ValueError("flows: each method once, for its run time is one")
        for number, fault in enumerate(self.faults):
            self._check_fault(number, fault)

    def _check_fault(self, number: int, fault: Fault) -> None:
        unknown = sorted(set(fault.domains) - set(self.deployment.failure_domains))
        if unknown:
            raise ValueError(f"faults.{number}.domains names unknown {unknown}")
        if fault.kind is FaultKind.PARTITION and not fault.domains:
            raise ValueError(f"faults.{number}.domains must name at least one")
        count = count_of(fault.kind, self.deployment)
        if count is not None and fault.index >= count:
            raise ValueError(f"faults.{number}.index must be below {count}")
        if fault.kind is FaultKind.SLOW and fault.amount <= 0.0:
            raise ValueError(f"faults.{number}.amount must be a factor above 0")
        if fault.kind is FaultKind.STORE_ANSWER_LOST and fault.amount > 1.0:
            raise ValueError(f"faults.{number}.amount must be a share, 0 to 1")


INSTANCE_FAULTS = frozenset(
    {
        FaultKind.KILL_INSTANCE,
        FaultKind.PAUSE_INSTANCE,
        FaultKind.STOP_INSTANCE,
        FaultKind.RESTART_INSTANCE,
    }
)
"""Faults whose index is that of an instance."""

SITE_FAULTS = frozenset(
    {
        FaultKind.PARTITION,
        FaultKind.STORE_DOWN,
        FaultKind.STORE_HANGING,
        FaultKind.STORE_SLOW,
        FaultKind.STORE_ANSWER_LOST,
    }
)
"""Faults of the platform and the network, which have no index."""


def count_of(kind: FaultKind, deployment: Deployment) -> int | None:
    """Return how many there are of what a fault hits.

    :param kind: the fault.
    :param deployment: what is started.
    :returns: instances or runners; None for the platform.
    """
    if kind in INSTANCE_FAULTS:
        return deployment.instances
    if kind in SITE_FAULTS:
        return None
    return deployment.runners
