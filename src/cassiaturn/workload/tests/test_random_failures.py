"""Random mixes of failures: no concurrent runs of a task, every caller answered."""

import random

import pytest

from cassiaturn import workload
from cassiaturn.standins.virtual_targets import VirtualLeader
from cassiaturn.workload import Verdict

SEEDS = range(60)

LIMIT_S = 1.5


@pytest.mark.parametrize("seed", SEEDS)
def test_random_failures_never_run_a_task_twice_at_once(seed: int) -> None:
    """Targets are partitioned, stall, fail, and lose or delay orders.

    Callers cancel, and resubmit the same id. In any order of these events no task may
    run twice at the same time, a refused job may not have run, and every waiting caller
    must have its answer by its limit.
    """
    rng = random.Random(seed)
    play = VirtualLeader()
    for index in range(5):
        play.add_target(f"t{index}", cpu=rng.choice([16_000, 24_000]))
    play.lose_start = lambda _: rng.random() < 0.03
    play.run(0.1)
    submitted: dict[str, float] = {}
    for step in range(120):
        _inject_failure(play, rng)
        job_id = f"j{step}"
        if submitted and rng.random() < 0.15:
            job_id = rng.choice(list(submitted))
        else:
            submitted[job_id] = play.now
            count = rng.randint(1, 8)
            lengths = [rng.uniform(0.03, 1.2) for _ in range(count)]
            play.submit(job_id, count=count, run_s=0.3, lengths=lengths)
        if rng.random() < 0.1:
            workload.cancel(play.tables, play, job_id, "m1", play.now)
            submitted.pop(job_id, None)
        play.run(rng.uniform(0.0, 0.08))
    play.run(LIMIT_S + 0.2)
    assert not play.overlaps
    assert submitted.keys() <= play.outcomes.keys()
    for job_id, began_at in submitted.items():
        assert play.answered_at[job_id] - began_at <= LIMIT_S + 0.1
    refused = [key for key in submitted if play.verdict(key) is Verdict.REFUSED]
    started = {
        ref.job_id for target in play.targets.values() for ref in target.last_run_by_ref
    }
    assert not started.intersection(refused)


def _inject_failure(play: VirtualLeader, rng: random.Random) -> None:
    name = rng.choice(list(play.targets))
    target = play.targets[name]
    draw = rng.random()
    if draw < 0.04 and not target.cut:
        target.cut = True
        play.lose(name)
        play.later(rng.uniform(0.2, 3.0), lambda: setattr(target, "cut", False))
    elif draw < 0.07:
        target.hangs = not target.hangs
    elif draw < 0.10:
        target.fails = not target.fails
    elif draw < 0.14:
        target.late_s = rng.choice([0.0, 0.2, 0.6, 2.0])
    elif draw < 0.18:
        target.speed = rng.choice([0.2, 0.8, 1.0, 1.25])
