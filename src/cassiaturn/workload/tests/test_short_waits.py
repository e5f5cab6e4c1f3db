"""Tests that a leader refuses jobs for its processor only if callers wait for it."""

from collections import Counter
from dataclasses import replace

import pytest

from cassiaturn.standins.slow_leader import READ_S, SlowLeader
from cassiaturn.standins.virtual_targets import ROUTE
from cassiaturn.workload import Verdict

KINDS = ((0, 8, 0.06, 0.25), (1, 2, 0.2, 0.7), (2, 4, 0.9, 0.05))
"""Priority, tasks, run time in seconds, and share of all jobs of each kind."""

ROUTES = {
    priority: replace(ROUTE, name=f"r{priority}", priority=priority)
    for priority, *_ in KINDS
}

TASKS_PER_JOB = sum(tasks * share for _, tasks, _, share in KINDS)

BURST_S = 0.1

BURST_FACTOR = 1.75
"""Rate within a burst, over the mean rate; as long a lull follows."""

LENGTH_S = 2.0

SETTLED_S = 1.0
"""Time after which callers are counted under overload, in seconds."""

STEP_S = 0.001

TARGETS = 300


def _play(
    *, start_s: float, load: float, arrivals: dict[str, float] | None = None
) -> SlowLeader:
    """Simulate bursts of a tenth of a second without any chance in them.

    :param start_s: processor time of a start, in seconds.
    :param load: requested processor time over the available.
    :param arrivals: receives when each job arrives, in seconds.
    """
    leader = SlowLeader(
        admission="forecast", starts_per_s=1.0 / start_s, priorities=tuple(ROUTES)
    )
    for number in range(TARGETS):
        leader.add_target(f"t{number}", cpu=24_000)
    leader.run(0.5)
    jobs_per_s = load / (READ_S + TASKS_PER_JOB * start_s)
    due_by_kind = dict.fromkeys(ROUTES, 0.0)
    jobs = 0
    begun_at = leader.now
    for step in range(round(LENGTH_S / STEP_S)):
        at = step * STEP_S
        in_burst = int(at / BURST_S) % 2 == 0
        factor = BURST_FACTOR if in_burst else 2.0 - BURST_FACTOR
        for priority, tasks, run_s, share in KINDS:
            due_by_kind[priority] += factor * share * jobs_per_s * STEP_S
            while due_by_kind[priority] >= 1.0:
                due_by_kind[priority] -= 1.0
                jobs += 1
                job_id = f"r{priority}-{jobs}"
                _submit_later(leader, job_id, at, priority, tasks, run_s)
                if arrivals is not None:
                    arrivals[job_id] = begun_at + at
    leader.run(LENGTH_S + 5.0)
    return leader


def _submit_later(
    leader: SlowLeader, job_id: str, at: float, priority: int, tasks: int, run_s: float
) -> None:
    def arrive() -> None:
        leader.arrive(
            job_id, count=tasks, run_s=run_s, route=ROUTES[priority], limit_s=5.0
        )

    leader.later(at, arrive)


@pytest.mark.parametrize("load", [0.7, 0.85, 1.0])
@pytest.mark.parametrize("start_s", [0.0005, 0.001, 0.0012, 0.0015, 0.002])
def test_bursts_that_the_leader_makes_up_for_refuse_nobody(
    start_s: float, load: float
) -> None:
    """Guards against refusals by a cost of starts that callers do not notice."""
    leader = _play(start_s=start_s, load=load)
    assert not leader.shed
    verdicts = Counter(outcome.verdict for outcome in leader.outcomes.values())
    assert set(verdicts) == {Verdict.COMPLETED}


@pytest.mark.parametrize("load", [1.5, 2.0, 3.0])
@pytest.mark.parametrize("start_s", [0.0005, 0.0012, 0.002])
def test_each_kind_is_served_half_as_often_as_all_under_overload(
    start_s: float, load: float
) -> None:
    """Guards against an overload for which the less urgent kinds alone pay."""
    arrivals: dict[str, float] = {}
    leader = _play(start_s=start_s, load=load, arrivals=arrivals)
    objective_by_kind = {
        f"r{priority}": ROUTE.stretch * run_s + ROUTE.latency_objective_s
        for priority, _, run_s, _ in KINDS
    }
    settled_at = min(arrivals.values()) + SETTLED_S
    asked: Counter[str] = Counter()
    in_time: Counter[str] = Counter()
    for job_id, arrived_at in arrivals.items():
        if arrived_at < settled_at:
            continue
        kind = job_id.partition("-")[0]
        asked[kind] += 1
        outcome = leader.outcomes.get(job_id)
        if outcome is not None and outcome.verdict is Verdict.COMPLETED:
            response_s = leader.answered_at[job_id] - arrived_at
            in_time[kind] += response_s <= objective_by_kind[kind]
    served = in_time.total() / asked.total()
    assert min(in_time[kind] / asked[kind] for kind in asked) >= 0.5 * served
