"""Outcomes of jobs while operators drain failure domains.

The load: every worker of two failure domains is in use and jobs wait, when one of the
domains, or both, get no further start.
"""

import pytest

from cassiaturn import workload
from cassiaturn.entities import StartAnswer
from cassiaturn.observability import Event
from cassiaturn.standins.virtual_targets import VirtualLeader
from cassiaturn.workload import Verdict

ALL = frozenset({"a", "b"})


def _play(per_domain: int = 2) -> VirtualLeader:
    """Return a play with targets in the failure domains a and b."""
    play = VirtualLeader()
    for failure_domain in sorted(ALL):
        for index in range(per_domain):
            name = f"{failure_domain}{index}"
            play.add_target(name, failure_domain=failure_domain)
    play.run(0.1)
    return play


def _drain(play: VirtualLeader, *failure_domains: str) -> None:
    drained = frozenset(failure_domains)
    workload.on_drained_domains(play.tables, play, drained, play.now)
    play._dispatch()


def _started_in(play: VirtualLeader, failure_domain: str) -> int:
    return sum(
        str(fields["tasks"]).count(f"@{failure_domain}")
        for event, fields in play.records
        if event is Event.JOB_STARTED
    )


def test_a_drained_domain_gets_no_start() -> None:
    """Guards against starts where operators have asked for none."""
    play = _play()
    _drain(play, "a")
    for index in range(40):
        play.submit(f"j{index}", failure_domain="a")
        play.run(0.05)
    play.run(1.0)
    assert _started_in(play, "a") == 0
    assert {play.verdict(f"j{index}") for index in range(40)} == {Verdict.COMPLETED}


def test_runs_in_a_drained_domain_end_by_themselves() -> None:
    """Guards against stopping work that operators let end in peace."""
    play = _play(1)
    for name in ("x", "y"):
        play.submit(name, count=2, run_s=0.5, cpu=8_000)
    play.run(0.1)
    _drain(play, "a")
    play.run(1.0)
    assert [play.verdict(name) for name in "xy"] == [Verdict.COMPLETED] * 2
    assert play.tables.counters.stops == 0
    assert play.tables.counters.starts == 4


def test_a_failed_start_in_a_drained_domain_goes_elsewhere() -> None:
    """Guards against a repeated start on a target that was drained meanwhile."""
    play = _play(1)
    play.submit("x", run_s=0.5, failure_domain="a")
    (run,) = play.tables.runs_by_ref.values()
    assert run.target_id == "a0"
    _drain(play, "a")
    workload.on_start_answer(
        play.tables, play, "a0", run.ref, run.number, StartAnswer.UNHEALTHY, play.now
    )
    play._dispatch()
    (run,) = play.tables.runs_by_ref.values()
    assert run.target_id == "b0"


def test_callers_are_refused_at_once_where_all_domains_are_drained() -> None:
    """Guards against a queue that waits for targets that get no start."""
    play = _play(1)
    for index in range(8):
        play.submit(f"j{index}", run_s=0.4, cpu=16_000)
    play.run(0.05)
    _drain(play, *ALL)
    play.submit("late")
    refused = [name for name in play.submitted_at if play.outcomes.get(name)]
    assert len(refused) == 7
    outcomes = [play.outcomes[name] for name in refused]
    assert {outcome.verdict for outcome in outcomes} == {Verdict.REFUSED}
    assert {outcome.reason for outcome in outcomes} == {"drained"}
    assert all(outcome.retry_after_s > 0 for outcome in outcomes)
    lines = [event for event, _ in play.records if event is Event.DRAINS_IN_FORCE]
    assert len(lines) == 1
    play.run(1.0)
    assert [play.verdict(name) for name in ("j0", "j1")] == [Verdict.COMPLETED] * 2


def test_callers_that_the_rest_cannot_serve_are_refused_at_once() -> None:
    """Guards against callers that wait for their limit behind half of the workers.

    Twenty jobs of 0.3 s wait for two workers that run one each: 3.0 s for the last one
    with both workers, twice that with one.
    """
    play = _play(1)
    for index in range(20):
        play.submit(f"j{index}", run_s=0.3, cpu=16_000, limit_s=4.0)
    play.run(0.05)
    assert not play.outcomes
    _drain(play, "a")
    refused = set(play.outcomes)
    assert 6 <= len(refused) <= 10
    play.run(4.5)
    served = {name for name in play.submitted_at if name not in refused}
    assert {play.verdict(name) for name in served} == {Verdict.COMPLETED}


def test_a_domain_that_is_taken_back_gets_work_at_once() -> None:
    """Guards against speeds of before the drain that slow the return of a domain."""
    play = _play(1)
    play.tables.targets_by_id["a0"].slowness = 8.0
    _drain(play, "a")
    _drain(play)
    assert play.tables.targets_by_id["a0"].slowness == 1.0
    play.submit("x", failure_domain="a")
    assert next(iter(play.tables.runs_by_ref.values())).target_id == "a0"


def test_nothing_starts_before_the_drains_are_known() -> None:
    """Guards against a new leader that takes "not known" for "nothing is drained"."""
    play = _play(1)
    play.tables.drained_domains = None
    play.submit("x", run_s=0.1)
    play.run(0.2)
    assert not play.tables.runs_by_ref
    assert not play.outcomes
    _drain(play, "a")
    play.run(0.3)
    assert play.verdict("x") is Verdict.COMPLETED
    assert _started_in(play, "a") == 0


@pytest.mark.parametrize("seed", range(5))
def test_drains_that_come_and_go_break_no_promise(seed: int) -> None:
    """Guards against two runs of a task, and lost jobs, under drains in succession."""
    play = _play()
    orders = [("a",), (), ("b",), ("a", "b"), ("b",), ("a",), ("a",), ()]
    for step, drained in enumerate(orders[seed:] + orders[:seed]):
        for index in range(6):
            play.submit(f"j{seed}{step}{index}", count=2, run_s=0.1)
        _drain(play, *drained)
        before = {domain: _started_in(play, domain) for domain in drained}
        play.run(0.2)
        assert {domain: _started_in(play, domain) for domain in drained} == before
    play.run(2.0)
    assert set(play.outcomes) == set(play.submitted_at)
    assert not play.overlaps
