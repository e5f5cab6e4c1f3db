from collections import Counter

import pytest

from cassiaturn.entities import RequestClass, Resources
from cassiaturn.policy import (
    PeerRow,
    Placement,
    PlacementSettings,
    TargetRow,
    choose_target,
)
from cassiaturn.policy.tests.builders import make_peer, make_target, make_task


@pytest.mark.parametrize(
    ("target", "fits"),
    [
        (make_target(), True),
        (make_target(in_use=7), True),
        (make_target(in_use=8), False),
        (make_target(connections_in_use=64), False),
        (make_target(leaving=True), False),
        (make_target(connected=False), False),
        (make_target(allowance=0), False),
        (make_target(allowance=1, in_use=1), False),
        (make_target(methods=frozenset({"train"})), False),
        (make_target(methods=frozenset({"price"})), True),
        (make_target(used_cpu_millis=15_001), False),
        (make_target(used_memory_mib=65_025), False),
        (make_target(used_accelerators=1), True),
        (make_target(slots=0), False),
    ],
)
def test_a_target_is_chosen_only_if_everything_fits(
    target: TargetRow, fits: bool
) -> None:
    chosen = choose_target(make_task(), [target])
    assert chosen is (target if fits else None)


@pytest.mark.parametrize(("repeatable", "fits"), [(True, True), (False, False)])
def test_only_repeatable_tasks_start_on_a_target_on_probation(
    repeatable: bool, fits: bool
) -> None:
    """A target on probation, with an allowance below its slots, is free.

    It may still fail tasks. A failed task that is not repeatable must not run again,
    so its whole job would fail; it goes to another target.
    """
    task = make_task(repeatable=repeatable)
    assert (choose_target(task, [make_target(allowance=1)]) is not None) is fits


def test_an_accelerator_is_not_shared_by_tasks() -> None:
    task = make_task(resources=Resources(accelerators=1))
    target = make_target()
    assert choose_target(task, [target]) is target
    target.take(task.resources)
    assert choose_target(task, [target]) is None
    target.give_back(task.resources)
    assert choose_target(task, [target]) is target


def test_tasks_spread_over_workers() -> None:
    targets = [make_target(f"r{index}") for index in range(4)]
    for _ in range(8):
        chosen = choose_target(make_task(), targets)
        assert chosen is not None
        chosen.take(make_task().resources)
    assert [target.in_use for target in targets] == [2, 2, 2, 2]


def test_giving_back_a_slot_that_was_not_taken_raises() -> None:
    with pytest.raises(AssertionError, match="never took"):
        make_target().give_back(Resources())


@pytest.mark.parametrize(
    ("request_class", "may_use_spare", "fits"),
    [
        (RequestClass.URGENT, False, True),
        (RequestClass.NORMAL, False, False),
        (RequestClass.BATCH, False, False),
        (RequestClass.BATCH, True, True),
    ],
)
def test_the_last_free_slot_is_reserved_for_urgent_work(
    request_class: RequestClass, may_use_spare: bool, fits: bool
) -> None:
    targets = [make_target("r0", in_use=7), make_target("r1", in_use=8)]
    targets.append(make_target("r2", in_use=8))
    task = make_task(request_class=request_class, may_use_spare=may_use_spare)
    assert (choose_target(task, targets) is not None) is fits


@pytest.mark.parametrize(
    ("peer", "expected"),
    [
        (make_peer(free_slots=4), False),
        (make_peer(free_slots=0), True),
        (make_peer(free_slots=2), True),
        (make_peer(free_slots=4, ready=False), True),
        (make_peer(free_slots=4, reported_at=-5.0), True),
        # The peer reported free slots, which own sends have claimed since.
        (make_peer(free_slots=0, claimed=4), False),
    ],
)
def test_reserved_slots_are_used_when_no_peer_reports_free_slots(
    peer: PeerRow, expected: bool
) -> None:
    """Every instance is full except for the slots reserved for urgent work.

    If they stayed reserved, they would be idle during an overload and callers
    would be refused although slots are free. The task without a peer takes one.
    """
    placement = Placement(settings=PlacementSettings(), failure_domain="osu")
    task = make_task(request_class=RequestClass.BATCH)
    placement.choose_peer(task, 0.5, [peer], 0.1)
    assert task.may_use_spare is expected


def choose(
    peers: list[PeerRow],
    own_wait_s: float = 0.5,
    now: float = 0.1,
    request_class: RequestClass = RequestClass.NORMAL,
) -> str | None:
    placement = Placement(settings=PlacementSettings(), failure_domain="osu")
    task = make_task(request_class=request_class)
    peer = placement.choose_peer(task, own_wait_s, peers, now)
    return peer.instance_id if peer is not None else None


@pytest.mark.parametrize(
    ("peers", "own_wait_s", "expected"),
    [
        ([], 0.5, None),
        ([make_peer()], 0.5, "i0"),
        ([make_peer()], 0.0005, None),
        ([make_peer(free_slots=0)], 0.5, None),
        ([make_peer(ready=False)], 0.5, None),
        ([make_peer(reported_at=-5.0)], 0.5, None),
        ([make_peer(expected_wait_s=0.4)], 0.5, None),
        ([make_peer(expected_wait_s=0.1)], 0.5, "i0"),
        ([make_peer(failure_domain="tema")], 0.5, "i0"),
        ([make_peer(failure_domain="tema")], 0.003, None),
        ([make_peer(failure_domain="tema"), make_peer("i1")], 0.5, "i1"),
    ],
)
def test_choice_of_peer(
    peers: list[PeerRow], own_wait_s: float, expected: str | None
) -> None:
    assert choose(peers, own_wait_s) == expected


def test_urgent_work_is_sent_to_peers_earlier() -> None:
    peers = [make_peer()]
    assert choose(peers, 0.002, request_class=RequestClass.URGENT) == "i0"
    assert choose(peers, 0.002, request_class=RequestClass.NORMAL) is None
    assert choose(peers, 0.002, request_class=RequestClass.BATCH) is None


def test_a_sender_claims_only_a_share_of_the_free_slots() -> None:
    """Several instances see the same free slots in the same heartbeat.

    If each sent as many tasks as there are free slots, all but one of them would
    find the slots taken. A sender stops at its share until the next report.
    """
    peer = make_peer(free_slots=8)
    sent = 0
    while choose([peer]) is not None:
        peer.count_send()
        sent += 1
    assert 1 <= sent <= 4
    peer.apply_report(free_slots=8, queued=0, expected_wait_s=0.0, now=0.1)
    assert choose([peer]) == "i0"


def test_instances_do_not_all_pick_the_same_peer() -> None:
    """Guards against herding: all instances see the same reports of free slots."""
    placement = Placement(settings=PlacementSettings(), failure_domain="osu")
    peers = [make_peer(f"i{index}", free_slots=2 * index + 2) for index in range(3)]
    chosen: Counter[str] = Counter()
    for index in range(600):
        peer = placement.choose_peer(make_task(f"s{index}"), 0.5, peers, 0.1)
        assert peer is not None
        chosen[peer.instance_id] += 1
    assert chosen["i2"] > chosen["i1"] > chosen["i0"] > 60
