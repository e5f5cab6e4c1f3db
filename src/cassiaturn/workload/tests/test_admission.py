"""Tests of admission in virtual time, under bursts beyond processor or targets."""

import random
from collections import Counter
from dataclasses import dataclass, field, replace
from functools import cache

import pytest

from cassiaturn.observability import Event
from cassiaturn.standins.slow_leader import SlowLeader
from cassiaturn.standins.virtual_targets import ROUTE, VirtualLeader
from cassiaturn.workload import Outcome, Verdict, WorkloadSettings

KINDS = ((0, 0.08, 0.3, 4), (1, 0.2, 0.5, 4), (2, 0.5, 0.2, 8))
"""Priority, run time in seconds, share of all jobs, and tasks of each kind."""

ROUTES = {
    priority: replace(ROUTE, name=f"r{priority}", priority=priority)
    for priority, *_ in KINDS
}

CALM_S = 2.0

BURST_S = 5.0

AFTER_S = 3.0

SHARES_END_S = 0.5
"""Time after a burst from which nothing may be refused, in seconds."""

SCENARIOS = {
    "processor": {"starts_per_s": 500.0, "targets": 75, "jobs_per_s": 75.0},
    "targets": {"starts_per_s": 4_000.0, "targets": 30, "jobs_per_s": 75.0},
}
"""What is scarce. The jobs take 0.75 of it at the usual load: of 500 starts, or of the
room of 30 targets for three tasks each."""


@dataclass(kw_only=True)
class _Result:
    in_time: int = 0
    refused_late: list[str] = field(default_factory=list)
    refused_after: list[str] = field(default_factory=list)
    reasons: "Counter[str]" = field(default_factory=Counter)
    retry_after_s: list[float] = field(default_factory=list)


@cache
def _play(scenario: str, admission: str, load: float) -> _Result:
    """Simulate half of the usual load, a burst, and half of the usual load."""
    limits = SCENARIOS[scenario]
    leader = SlowLeader(
        admission=admission,
        starts_per_s=limits["starts_per_s"],
        priorities=tuple(ROUTES),
    )
    for number in range(int(limits["targets"])):
        leader.add_target(f"t{number}", cpu=24_000)
    leader.run(0.5)
    begun_at = leader.now
    rng = random.Random(3)
    jobs: list[tuple[str, float, float]] = []
    at = 0.0
    for factor, until in (
        (0.5, CALM_S),
        (load, CALM_S + BURST_S),
        (0.5, CALM_S + BURST_S + AFTER_S),
    ):
        while (at := at + rng.expovariate(factor * limits["jobs_per_s"])) < until:
            weights = [kind[2] for kind in KINDS]
            ((priority, run_s, _, count),) = rng.choices(KINDS, weights)
            job_id = f"j{len(jobs)}"
            objective_s = ROUTE.stretch * run_s + ROUTE.latency_objective_s
            jobs.append((job_id, at, objective_s))

            def arrive(
                job_id: str = job_id,
                priority: int = priority,
                run_s: float = run_s,
                count: int = count,
                limit_s: float = 3 * objective_s + 1.0,
            ) -> None:
                leader.arrive(
                    job_id,
                    count=count,
                    run_s=run_s,
                    route=ROUTES[priority],
                    limit_s=limit_s,
                )

            leader.later(at, arrive)
        at = until
    leader.run(CALM_S + BURST_S + AFTER_S + 4.0)
    result = _Result()
    for job_id, at, objective_s in jobs:
        outcome = leader.outcomes.get(job_id)
        _judge(result, leader, job_id, at, begun_at + at, objective_s, outcome)
    return result


def _judge(
    result: _Result,
    leader: SlowLeader,
    job_id: str,
    at: float,
    arrived_at: float,
    objective_s: float,
    outcome: Outcome | None,
) -> None:
    is_refused = job_id in leader.shed or (
        outcome is not None and outcome.verdict is Verdict.REFUSED
    )
    if not CALM_S <= at < CALM_S + BURST_S + SHARES_END_S and is_refused:
        result.refused_after.append(job_id)
    if outcome is None:
        result.reasons["shed" if is_refused else "none"] += 1
        return
    result.reasons[outcome.reason] += 1
    response_s = leader.answered_at[job_id] - arrived_at
    if is_refused:
        result.retry_after_s.append(outcome.retry_after_s)
        if response_s > 3 * objective_s:
            result.refused_late.append(job_id)
    elif CALM_S <= at < CALM_S + BURST_S:
        is_complete = outcome.verdict is Verdict.COMPLETED
        result.in_time += is_complete and response_s <= objective_s


LOADS = (1.0, 2.0, 3.0)


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_goodput_holds_at_three_times_the_load(scenario: str) -> None:
    """Guards against orders that are all late once too much is accepted."""
    in_time = [_play(scenario, "forecast", load).in_time for load in LOADS]
    assert in_time[-1] >= 0.9 * max(in_time)


@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_no_caller_waits_for_a_refusal_past_the_use_of_an_answer(
    scenario: str, load: float
) -> None:
    """Guards against callers that wait in vain and cannot go elsewhere any more."""
    result = _play(scenario, "forecast", load)
    assert not result.refused_late
    assert not result.reasons["no_room_in_time"]
    assert all(wait_s >= 1.0 for wait_s in result.retry_after_s)


@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_no_caller_is_refused_before_or_after_the_burst(
    scenario: str, load: float
) -> None:
    """Guards against shares and margins that outlast the overload."""
    assert not _play(scenario, "forecast", load).refused_after


def test_fluctuations_below_the_limit_of_the_processor_refuse_nobody() -> None:
    """Guards against shedding for the excess of a tenth of a second."""
    assert set(_play("processor", "forecast", 1.0).reasons) == {"all_done"}


def test_backlog_lets_callers_wait_for_late_refusals() -> None:
    """Shows that the load of these tests is one that the other policy answers late."""
    assert _play("targets", "backlog", 3.0).refused_late


def _forecasting_leader(targets: int) -> VirtualLeader:
    play = VirtualLeader(settings=WorkloadSettings(admission="forecast"))
    for number in range(targets):
        play.add_target(f"t{number}")
    play.run(0.5)
    return play


def test_new_leader_does_not_refuse_before_its_targets_have_reported() -> None:
    """Guards against refusals after a change of leader for room that is there."""
    play = VirtualLeader(settings=WorkloadSettings(admission="forecast"))
    play.add_target("t0")
    play.run(0.01)
    for number in range(7):
        play.submit(f"j{number}", count=2, run_s=0.2)
    for number in range(1, 12):
        play.add_target(f"t{number}")
    play.run(1.4)
    assert {play.verdict(f"j{number}") for number in range(7)} == {Verdict.COMPLETED}


def test_queued_jobs_are_refused_when_targets_fall_silent() -> None:
    """Guards against callers that wait for capacity which was lost after admission."""
    play = _forecasting_leader(4)
    for number in range(40):
        play.submit(f"j{number}", count=2, run_s=0.3, limit_s=8.0)
    begun = {job.job_id for job in play.tables.jobs_by_id.values() if job.begun}
    for number in range(1, 4):
        play.targets[f"t{number}"].cut = True
        play.lose(f"t{number}")
    play.run(0.5)
    lost = [
        job_id
        for job_id, outcome in play.outcomes.items()
        if outcome.reason == "forecast_lost"
    ]
    assert lost
    assert not begun & set(lost)
    assert all(play.verdict(job_id) is Verdict.REFUSED for job_id in lost)


def test_job_that_has_begun_is_not_refused() -> None:
    """A refusal says that nothing ran."""
    play = _forecasting_leader(1)
    play.submit("first", count=8, run_s=1.0, limit_s=9.0)
    for number in range(10):
        play.submit(f"j{number}", count=2, run_s=0.5, limit_s=9.0)
    play.run(8.0)
    assert play.verdict("first") is not Verdict.REFUSED
    assert all(
        not fields["begun"]
        for event, fields in play.records
        if event is Event.JOB_ENDED and fields["verdict"] is Verdict.REFUSED
    )


def test_idle_leader_admits_a_job_that_may_still_be_in_time() -> None:
    """A start that takes nobody's place costs nothing."""
    play = _forecasting_leader(1)
    play.submit("j", run_s=1.4, lengths=[0.8], limit_s=1.45)
    play.run(1.5)
    assert play.verdict("j") is Verdict.COMPLETED
