"""Targets without admission control must not exceed their workers' capacity."""

import random

import pytest

from cassiaturn.entities import (
    Resources,
    RoutingTable,
    Service,
    StartAnswer,
    TaskGroup,
    TaskRef,
)
from cassiaturn.standins.virtual_targets import VirtualLeader
from cassiaturn.workload import Verdict

GROUP = TaskGroup(count=1, resources=Resources(cpu_millis=6_800))


def _routing(*, admission_check: bool) -> RoutingTable:
    service = Service(
        name="svc",
        admission_check=admission_check,
        connections_per_target=64,
        spare=False,
    )
    return RoutingTable(
        version=1, routes=(), services_by_name={"svc": service}, document=b""
    )


def _play(*, checks_admission: bool = False, running: int = 2) -> VirtualLeader:
    """Return a play of a new leader; both targets run tasks of an earlier one."""
    play = VirtualLeader(term=1)
    play.tables.routing = _routing(admission_check=checks_admission)
    play.tables.knows_targets = True
    for name in ("t0", "t1"):
        play.add_target(name, checks_admission=checks_admission)
        for index in range(running):
            ref = TaskRef(f"old-{name}", 0, 0, index)
            answer = play.targets[name].start(ref, 1, GROUP, 0.4, play.now)
            assert answer is StartAnswer.STARTED
    return play


def test_new_leader_does_not_overcommit_workers() -> None:
    """The leader changes while every worker is full.

    The new leader has the lists of all targets within a few milliseconds, before the
    members have passed their jobs on. The lists name the runs but not their resources,
    so a first start would exceed a worker's capacity and delay all runs there.
    """
    play = _play()
    play.run(0.01)
    play.submit("new", run_s=0.06, count=2)
    play.run(0.2)
    assert not any(target.overfull for target in play.targets.values())
    play.run(0.8)
    assert play.verdict("new") is Verdict.COMPLETED
    assert not any(target.overfull for target in play.targets.values())


def test_room_beside_known_runs_is_used_at_once() -> None:
    play = _play(running=1)
    play.run(0.01)
    for name in ("t0", "t1"):
        play.submit(f"old-{name}", run_s=0.4, begun_earlier=True)
    play.submit("new", run_s=0.06, count=2)
    play.run(0.2)
    assert play.verdict("new") is Verdict.COMPLETED
    assert not any(target.overfull for target in play.targets.values())


def test_target_with_admission_check_may_start_beside_unknown_runs() -> None:
    play = _play(checks_admission=True, running=1)
    play.run(0.01)
    play.submit("new", run_s=0.06, count=2)
    play.run(0.2)
    assert play.verdict("new") is Verdict.COMPLETED


def test_duplicate_run_being_stopped_counts_as_used() -> None:
    """An order to start is carried out late, beside the run that replaced it.

    The target is told to stop the late run; until it has, its room is not free.
    """
    play = _play(running=0)
    play.run(0.01)
    play.submit("a", run_s=0.5, count=1)
    play.run(0.02)
    (ref,) = play.tables.runs_by_ref
    second = next(row for row in play.targets.values() if ref not in row.runs_by_ref)
    second.start(ref, 99, GROUP, 1.0, play.now)
    second.lease_until = play.now + 5.0
    play.stop = lambda run: None  # type: ignore[method-assign]
    play.request_list(second.target_id)
    play.run(0.01)
    play.submit("b", run_s=0.06, count=3)
    play.run(0.2)
    assert second.overfull == 0


@pytest.mark.parametrize("seed", range(40))
def test_random_failures_never_overcommit_a_worker(seed: int) -> None:
    """Starts are lost or delayed, and targets are partitioned, at random.

    The leader accounts for room by its own orders and the lists of targets. In any
    order of these events no start may find its worker full.
    """
    rng = random.Random(seed)
    play = VirtualLeader()
    play.tables.routing = _routing(admission_check=False)
    for index in range(4):
        cpu = rng.choice([16_000, 24_000])
        play.add_target(f"t{index}", cpu=cpu, checks_admission=False)
    play.lose_start = lambda _: rng.random() < 0.1
    for step in range(100):
        target = rng.choice(list(play.targets.values()))
        target.late_s = rng.choice([0.0, 0.1, 0.4])
        if rng.random() < 0.03 and not target.cut:
            target.cut = True
            play.lose(target.target_id)
            play.later(rng.uniform(0.2, 2.0), lambda row=target: _reconnect(row))  # type: ignore[misc]
        count = rng.randint(1, 6)
        lengths = [rng.uniform(0.03, 0.8) for _ in range(count)]
        play.submit(f"j{step}", count=count, run_s=0.3, lengths=lengths)
        play.run(rng.uniform(0.0, 0.08))
    play.run(2.0)
    assert not any(row.overfull for row in play.targets.values())


def _reconnect(target: object) -> None:
    target.cut = False  # type: ignore[attr-defined]
