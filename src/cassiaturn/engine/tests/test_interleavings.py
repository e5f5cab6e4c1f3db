"""Engine under lost streams and links, in seeded random orders of events."""

from functools import partial

import pytest

from cassiaturn.engine.tests.virtual_fleet import (
    NON_REPEATABLE,
    REPEATABLE,
    VirtualFleet,
)
from cassiaturn.entities import Outcome

SEEDS = range(25)
LOAD_S = 3.0
SETTLE_S = 30.0


def submit_load(fleet: VirtualFleet) -> None:
    """Submit repeatable and non-repeatable jobs at random instances and times."""
    for _ in range(60):
        home = fleet.rng.choice(list(fleet.states_by_id))
        name = fleet.rng.choice([NON_REPEATABLE, REPEATABLE])
        tasks = fleet.rng.choice([1, 1, 2, 12])
        when = fleet.rng.uniform(0, LOAD_S)
        fleet.at(when, partial(fleet.submit, home, name, tasks))


def check_invariants(fleet: VirtualFleet) -> None:
    """Check answers, starts and tables after all jobs have ended."""
    assert not fleet.overlaps
    for submission_id, (name, tasks) in fleet.jobs_by_id.items():
        answers = fleet.answers_by_id.get(submission_id, [])
        assert len(answers) == 1, f"{submission_id}: {len(answers)} answers"
        answer = answers[0]
        begun = {key for key in fleet.starts if key.submission_id == submission_id}
        if answer.outcome is Outcome.COMPLETE:
            expected = [f"{submission_id}/{index}".encode() for index in range(tasks)]
            assert list(answer.results) == expected
        if answer.outcome is Outcome.NOT_RUN:
            assert not begun
        if name == NON_REPEATABLE:
            assert all(fleet.starts[key] == 1 for key in begun)
    for state in fleet.states_by_id.values():
        assert not state.jobs_by_id
        assert not state.records_by_key
        assert not state.in_flight_by_key
        assert len(state.queue) == 0
        assert all(row.in_use == 0 for row in state.targets_by_id.values())
        assert not +state.running_by_tenant


@pytest.mark.parametrize("seed", SEEDS)
def test_without_faults_every_job_is_complete(seed: int) -> None:
    fleet = VirtualFleet(seed=seed)
    submit_load(fleet)
    fleet.run(LOAD_S + SETTLE_S)
    check_invariants(fleet)
    outcomes = {answers[0].outcome for answers in fleet.answers_by_id.values()}
    assert outcomes == {Outcome.COMPLETE}


@pytest.mark.parametrize("seed", SEEDS)
def test_brief_peer_link_loss_neither_loses_nor_repeats_tasks(seed: int) -> None:
    """Guards against tasks that are lost or run twice when a peer link breaks briefly.

    Links break and are restored before any peer counts as gone. Frames in transit
    are lost in both directions, and both sides resend; every job must complete.
    """
    fleet = VirtualFleet(seed=seed)
    submit_load(fleet)
    ids = list(fleet.states_by_id)
    for _ in range(12):
        one, other = fleet.rng.sample(ids, 2)
        begin = fleet.rng.uniform(0, LOAD_S)
        fleet.at(begin, partial(fleet.cut_link, one, other))
        end = begin + fleet.rng.uniform(0.01, 0.3)
        fleet.at(end, partial(fleet.restore_link, one, other))
    fleet.run(LOAD_S + SETTLE_S)
    check_invariants(fleet)
    outcomes = {answers[0].outcome for answers in fleet.answers_by_id.values()}
    assert outcomes == {Outcome.COMPLETE}


@pytest.mark.parametrize("seed", SEEDS)
def test_target_stream_loss_causes_no_duplicate_runs(seed: int) -> None:
    """Guards against duplicate runs when the stream to a target breaks.

    Streams break for less or more than a lease. On the new stream the target lists
    what it began, so lost starts are retried and lost results arrive. A task that
    may have run and is not repeatable fails.
    """
    fleet = VirtualFleet(seed=seed)
    submit_load(fleet)
    for _ in range(8):
        target = fleet.rng.choice(list(fleet.targets_by_id.values()))
        begin = fleet.rng.uniform(0, LOAD_S)
        fleet.at(begin, target.cut)
        end = begin + fleet.rng.choice([0.05, 0.3, 4.0])
        fleet.at(end, target.connect)
    fleet.run(LOAD_S + SETTLE_S)
    check_invariants(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_live_peer_declared_gone_causes_no_duplicate_runs(seed: int) -> None:
    """Guards against duplicate runs when a live peer is declared gone.

    A link stays broken until each side declares the other gone, while the tasks
    that it spilled go on running there. They may be rerun only once that run must
    have ended, and non-repeatable ones never.
    """
    fleet = VirtualFleet(seed=seed, targets_each=5, long_share=0.3)
    submit_load(fleet)
    one, other = fleet.rng.sample(list(fleet.states_by_id), 2)
    begin = fleet.rng.uniform(0.2, LOAD_S)
    fleet.at(begin, partial(fleet.cut_link, one, other))
    fleet.at(begin + 1.0, partial(fleet.declare_gone, one, other))
    fleet.run(LOAD_S + SETTLE_S)
    check_invariants(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_cancel_frames_leak_no_slots_or_records(seed: int) -> None:
    """Guards against leaked slots and records when cancel frames are lost.

    Callers cancel jobs while streams to targets break. The slot of a cancelled task
    must be released once its target reports the end or the lease expires.
    """
    fleet = VirtualFleet(seed=seed, long_share=0.5)
    submit_load(fleet)
    for _ in range(40):
        fleet.at(fleet.rng.uniform(0.1, LOAD_S), fleet.cancel_one)
    for _ in range(8):
        target = fleet.rng.choice(list(fleet.targets_by_id.values()))
        begin = fleet.rng.uniform(0, LOAD_S)
        fleet.at(begin, target.cut)
        fleet.at(begin + fleet.rng.choice([0.01, 0.1]), target.connect)
    fleet.run(LOAD_S + SETTLE_S)
    check_invariants(fleet)
