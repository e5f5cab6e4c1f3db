"""The real engine under cut streams and links, in many seeded orders of events."""

from functools import partial

import pytest

from cassiaturn.engine.tests.virtual_fleet import ONCE, REPEATABLE, VirtualFleet
from cassiaturn.entities import Outcome

SEEDS = range(25)
LOAD_S = 3.0
SETTLING_S = 30.0


def load(fleet: VirtualFleet) -> None:
    """Submit jobs of both kinds at every instance over some seconds."""
    for _ in range(60):
        home = fleet.rng.choice(list(fleet.states_by_id))
        name = fleet.rng.choice([ONCE, REPEATABLE])
        tasks = fleet.rng.choice([1, 1, 2, 12])
        when = fleet.rng.uniform(0, LOAD_S)
        fleet.at(when, partial(fleet.submit, home, name, tasks))


def check(fleet: VirtualFleet) -> None:
    """Check what must hold of answers, starts and tables once all is quiet."""
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
        if name == ONCE:
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
    load(fleet)
    fleet.run(LOAD_S + SETTLING_S)
    check(fleet)
    outcomes = {answers[0].outcome for answers in fleet.answers_by_id.values()}
    assert outcomes == {Outcome.COMPLETE}


@pytest.mark.parametrize("seed", SEEDS)
def test_links_that_break_for_a_moment_lose_and_double_nothing(seed: int) -> None:
    """Links between instances break and come back before anyone is given up.

    Frames under way are lost both ways, both sides send again, and every caller
    still gets a complete answer.
    """
    fleet = VirtualFleet(seed=seed)
    load(fleet)
    ids = list(fleet.states_by_id)
    for _ in range(12):
        one, other = fleet.rng.sample(ids, 2)
        begin = fleet.rng.uniform(0, LOAD_S)
        fleet.at(begin, partial(fleet.cut_link, one, other))
        end = begin + fleet.rng.uniform(0.01, 0.3)
        fleet.at(end, partial(fleet.restore_link, one, other))
    fleet.run(LOAD_S + SETTLING_S)
    check(fleet)
    outcomes = {answers[0].outcome for answers in fleet.answers_by_id.values()}
    assert outcomes == {Outcome.COMPLETE}


@pytest.mark.parametrize("seed", SEEDS)
def test_streams_to_targets_that_break_double_nothing(seed: int) -> None:
    """Streams to targets break for less or more than a lease, and come back.

    A target tells on the new stream what it began, so lost starts are sent again
    and lost results arrive; what may have run and may not be repeated fails.
    """
    fleet = VirtualFleet(seed=seed)
    load(fleet)
    for _ in range(8):
        target = fleet.rng.choice(list(fleet.targets_by_id.values()))
        begin = fleet.rng.uniform(0, LOAD_S)
        fleet.at(begin, target.cut)
        end = begin + fleet.rng.choice([0.05, 0.3, 4.0])
        fleet.at(end, target.connect)
    fleet.run(LOAD_S + SETTLING_S)
    check(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_peer_taken_for_gone_that_lives_on_doubles_nothing(seed: int) -> None:
    """A link breaks for long; each side takes the other for gone while both live.

    Tasks given to the other side run on there. They run again only once that run
    is certainly over, and those that may not be repeated never do.
    """
    fleet = VirtualFleet(seed=seed, targets_each=5, long_share=0.3)
    load(fleet)
    one, other = fleet.rng.sample(list(fleet.states_by_id), 2)
    begin = fleet.rng.uniform(0.2, LOAD_S)
    fleet.at(begin, partial(fleet.cut_link, one, other))
    fleet.at(begin + 1.0, partial(fleet.take_for_gone, one, other))
    fleet.run(LOAD_S + SETTLING_S)
    check(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_cancellations_whose_frames_are_lost_leave_nothing_behind(seed: int) -> None:
    """Callers cancel while streams to targets break.

    A cancelled task's slot is free again once its target says so or its lease is
    over, also when the frame that should stop it was lost.
    """
    fleet = VirtualFleet(seed=seed, long_share=0.5)
    load(fleet)
    for _ in range(40):
        fleet.at(fleet.rng.uniform(0.1, LOAD_S), fleet.cancel_one)
    for _ in range(8):
        target = fleet.rng.choice(list(fleet.targets_by_id.values()))
        begin = fleet.rng.uniform(0, LOAD_S)
        fleet.at(begin, target.cut)
        fleet.at(begin + fleet.rng.choice([0.01, 0.1]), target.connect)
    fleet.run(LOAD_S + SETTLING_S)
    check(fleet)
