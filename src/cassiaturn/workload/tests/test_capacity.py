"""Workers whose capacity shrinks and grows while tasks run there."""

from dataclasses import replace

import pytest

from cassiaturn import workload
from cassiaturn.entities import Resources, RoutingTable, Service, TargetReport
from cassiaturn.observability import Event
from cassiaturn.standins.virtual_targets import WAY_S, VirtualLeader
from cassiaturn.workload import Verdict

FULL = Resources(cpu_millis=16_000, memory_mib=64_000)
SHRUNK = Resources(cpu_millis=4_000, memory_mib=64_000)


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


def _play(*, checks_admission: bool, targets: int = 3) -> VirtualLeader:
    play = VirtualLeader()
    play.tables.routing = _routing(admission_check=checks_admission)
    for index in range(targets):
        play.add_target(f"t{index}", checks_admission=checks_admission)
    play.run(0.1)
    return play


def _resize(play: VirtualLeader, name: str, capacity: Resources) -> None:
    """Change a worker's capacity; a decrease waits for orders in transit."""
    target = play.targets[name]
    grows = capacity.cpu_millis > target.capacity.cpu_millis
    if grows:
        target.capacity = capacity
    else:
        play.later(2 * WAY_S, lambda: setattr(target, "capacity", capacity))
    report = TargetReport(
        target_id=name,
        address=name,
        service="svc",
        failure_domain="a",
        capacity=capacity,
    )
    workload.on_target_report(play.tables, play, report)


@pytest.mark.parametrize("checks_admission", [False, True])
def test_resized_workers_are_never_overcommitted(
    checks_admission: bool,
) -> None:
    """Guards against starts on a worker whose capacity has shrunk below its usage."""
    play = _play(checks_admission=checks_admission)
    for step in range(40):
        name = f"t{step % 3}"
        _resize(play, name, SHRUNK if step // 3 % 2 == 0 else FULL)
        for number in range(4):
            play.submit(f"j{step}-{number}", count=2, run_s=0.2, cpu=6_800)
        play.run(0.1)
    play.run(1.5)
    assert not any(target.overfull for target in play.targets.values())
    assert play.tables.counters.refused_starts == 0


def test_shrinking_a_worker_stops_no_run() -> None:
    play = _play(checks_admission=False, targets=1)
    play.submit("a", count=2, run_s=0.5)
    play.run(0.1)
    _resize(play, "t0", SHRUNK)
    play.run(0.6)
    assert play.verdict("a") is Verdict.COMPLETED
    assert play.tables.counters.stops == 0


def test_added_capacity_is_used_at_once() -> None:
    play = _play(checks_admission=False, targets=1)
    _resize(play, "t0", SHRUNK)
    play.run(0.1)
    play.submit("a", count=2, run_s=0.2)
    play.run(0.1)
    assert play.running("a") == 0
    _resize(play, "t0", FULL)
    play.run(0.1)
    assert play.running("a") == 2


def test_resize_log_has_old_and_new_capacity() -> None:
    play = _play(checks_admission=False, targets=1)
    _resize(play, "t0", SHRUNK)
    _resize(play, "t0", replace(SHRUNK))
    (fields,) = (
        fields for event, fields in play.records if event is Event.TARGET_RESIZED
    )
    assert fields["cpu_millis"] == SHRUNK.cpu_millis
    assert fields["cpu_millis_before"] == FULL.cpu_millis
