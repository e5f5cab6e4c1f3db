"""The scenarios that decisions are judged by."""

from cassiaturn.bench._deployment import TARGETS
from cassiaturn.bench._scenario import Flow, Scenario, TargetFault, scenario
from cassiaturn.bench._traffic import default_tenants
from cassiaturn.entities import RequestClass

SECONDS = 30.0
"""Length of the arrivals: some 4,000 jobs, so that p99 rests on dozens."""

FAULT_AT_S = 10.0
REACTION_S = 2.0
OUTAGE_S = 5.0
DECLARATION_ERROR = 10.0
HOT_FACTOR = 10.0

TENANTS = tuple(default_tenants().weights_by_tenant)
HOT_TENANT = TENANTS[-1]
OTHER_TENANTS = TENANTS[:-1]
QUOTA_SHARE_BY_TENANT = default_tenants().quota_slots(1)
HOT_TENANT_LOAD = HOT_FACTOR * QUOTA_SHARE_BY_TENANT[HOT_TENANT]

QUIET_TENANTS = TENANTS[2:10]
GREEDY_TENANTS = tuple(name for name in TENANTS if name not in QUIET_TENANTS)
QUIET_LOAD = 0.6 * sum(QUOTA_SHARE_BY_TENANT[name] for name in QUIET_TENANTS)


@scenario
def _steady_60() -> Scenario:
    return Scenario(
        name="steady-60",
        summary="Poisson arrivals of every tenant at 60% of the slots.",
        flows=(Flow(name="all", load=0.6, until_s=SECONDS),),
    )


@scenario
def _steady_80() -> Scenario:
    return Scenario(
        name="steady-80",
        summary="Poisson arrivals of every tenant at 80% of the slots.",
        flows=(Flow(name="all", load=0.8, until_s=SECONDS),),
    )


@scenario
def _burst() -> Scenario:
    return Scenario(
        name="burst",
        summary="60%, and five times the slots for half a second.",
        flows=(
            Flow(name="all", load=0.6, until_s=SECONDS),
            Flow(
                name="burst",
                load=5.0,
                from_s=FAULT_AT_S,
                until_s=FAULT_AT_S + 0.5,
                watched=False,
            ),
        ),
    )


@scenario
def _hot_tenant() -> Scenario:
    return Scenario(
        name="hot-tenant",
        summary="One tenant asks for ten times its quota, the others for 70%.",
        flows=(
            Flow(name="others", load=0.7, until_s=SECONDS, tenants=OTHER_TENANTS),
            Flow(
                name="hot",
                load=HOT_TENANT_LOAD,
                until_s=SECONDS,
                tenants=(HOT_TENANT,),
                watched=False,
            ),
        ),
    )


@scenario
def _hot_caller() -> Scenario:
    return Scenario(
        name="hot-caller",
        summary="One caller of a tenant takes ten times its tenant's quota.",
        flows=(
            Flow(name="others", load=0.7, until_s=SECONDS),
            Flow(
                name="hot",
                load=HOT_TENANT_LOAD,
                until_s=SECONDS,
                tenants=(HOT_TENANT,),
                callers_per_tenant=1,
                watched=False,
            ),
        ),
    )


@scenario
def _hot_key() -> Scenario:
    return Scenario(
        name="hot-key",
        summary="Tasks on one key take ten times as long, on every target.",
        flows=(
            Flow(name="others", load=0.6, until_s=SECONDS),
            Flow(
                name="key",
                load=0.2,
                from_s=FAULT_AT_S,
                until_s=SECONDS,
                classes=frozenset({RequestClass.URGENT}),
                run_factor=HOT_FACTOR,
                watched=False,
            ),
        ),
    )


@scenario
def _slow_target() -> Scenario:
    return Scenario(
        name="slow-target",
        summary="60%; one target runs everything ten times slower.",
        flows=(Flow(name="all", load=0.6, until_s=SECONDS),),
        faults=(TargetFault(at_s=FAULT_AT_S, targets=(0,), slowdown=10.0),),
        watched_from_s=FAULT_AT_S + REACTION_S,
    )


@scenario
def _long_among_short() -> Scenario:
    return Scenario(
        name="long-among-short",
        summary="70%, with jobs of several seconds a task as 30% of the work.",
        flows=(
            Flow(name="short", load=0.4, until_s=SECONDS),
            Flow(
                name="long",
                load=0.3,
                until_s=SECONDS,
                classes=frozenset({RequestClass.NORMAL, RequestClass.BATCH}),
                tail_share=1.0,
                watched=False,
            ),
        ),
    )


def _overload(factor: float) -> tuple[Flow, ...]:
    return (
        Flow(
            name="quiet",
            load=QUIET_LOAD,
            until_s=SECONDS,
            tenants=QUIET_TENANTS,
        ),
        Flow(
            name="greedy",
            load=factor - QUIET_LOAD,
            until_s=SECONDS,
            tenants=GREEDY_TENANTS,
            watched=False,
        ),
    )


@scenario
def _overload_1_5() -> Scenario:
    return Scenario(
        name="overload-1.5",
        summary="1.5 times the slots; eight tenants stay at 60% of their quotas.",
        flows=_overload(1.5),
    )


@scenario
def _overload_3() -> Scenario:
    return Scenario(
        name="overload-3",
        summary="3 times the slots; eight tenants stay at 60% of their quotas.",
        flows=_overload(3.0),
    )


@scenario
def _failing_targets() -> Scenario:
    return Scenario(
        name="failing-targets",
        summary="60%; two targets fail every task within 5 ms.",
        flows=(Flow(name="all", load=0.6, until_s=SECONDS),),
        faults=(TargetFault(at_s=FAULT_AT_S, targets=(0, 5), fails_after_s=0.005),),
        watched_from_s=FAULT_AT_S + REACTION_S,
    )


@scenario
def _wrong_declarations() -> Scenario:
    return Scenario(
        name="wrong-declarations",
        summary="80%, each declared time ten times too long or too short.",
        flows=(
            Flow(
                name="all",
                load=0.8,
                until_s=SECONDS,
                declaration_error=DECLARATION_ERROR,
            ),
        ),
    )


@scenario
def _cancellation_wave() -> Scenario:
    return Scenario(
        name="cancellation-wave",
        summary="60%; some ten thousand batch tasks arrive and are cancelled at once.",
        flows=(
            Flow(name="all", load=0.6, until_s=SECONDS),
            Flow(
                name="wave",
                load=35.0,
                from_s=FAULT_AT_S,
                until_s=FAULT_AT_S + 0.5,
                classes=frozenset({RequestClass.BATCH}),
                cancel_at_s=FAULT_AT_S + 1.0,
                watched=False,
            ),
        ),
    )


@scenario
def _every_target_fails() -> Scenario:
    every_target = tuple(range(TARGETS))
    return Scenario(
        name="every-target-fails",
        summary="60%; every target fails every task for five seconds.",
        flows=(Flow(name="all", load=0.6, until_s=SECONDS),),
        faults=(
            TargetFault(at_s=FAULT_AT_S, targets=every_target, fails_after_s=0.005),
            TargetFault(at_s=FAULT_AT_S + OUTAGE_S, targets=every_target),
        ),
        watched_from_s=FAULT_AT_S + OUTAGE_S + REACTION_S,
    )
