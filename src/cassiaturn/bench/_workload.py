"""Draws the jobs of a scenario from its seed."""

import math
import random
from collections.abc import Iterable, Sequence

from cassiaturn.bench._deployment import Deployment
from cassiaturn.bench._scenario import Flow, Scenario
from cassiaturn.bench._traffic import Job, RequestKind, Tenants

SEED = 20_260_901
"""Seed of every committed figure."""

SHORTEST_RUN_S = 0.05
LONGEST_COMMON_RUN_S = 1.0
TAIL_RUN_RANGE_S = (2.0, 6.0)
RUN_SIGMA = 0.5
"""Spread of the logarithm of common run times."""


def jobs_of(
    scenario: Scenario, deployment: Deployment, tenants: Tenants, *, seed: int = SEED
) -> Sequence[Job]:
    """Return the jobs of a scenario in the order in which callers send them.

    Each flow draws from a generator of its own, so that a flow's jobs are the
    same whether or not other flows run beside it.
    """
    jobs = [
        job
        for flow in scenario.flows
        for job in _draw_flow(flow, deployment, tenants, seed)
    ]
    jobs.sort(key=lambda job: job.submitted_at)
    return jobs


def _draw_flow(
    flow: Flow, deployment: Deployment, tenants: Tenants, seed: int
) -> Iterable[Job]:
    rng = random.Random(f"{seed}/{deployment.user}/{flow.name}/{flow.load}")
    kinds = [kind for kind in deployment.kinds if kind.request_class in flow.classes]
    shares = [kind.share for kind in kinds]
    names = list(flow.tenants or tenants.weights_by_tenant)
    weights = [tenants.weights_by_tenant[name] for name in names]
    work_left_s = flow.load * deployment.slots * (flow.until_s - flow.from_s)
    sequence = 0
    while work_left_s > 0:
        kind = rng.choices(kinds, shares)[0]
        tenant = rng.choices(names, weights)[0]
        job = Job(
            submission_id=f"{flow.name}-{sequence}",
            kind=kind,
            tenant=tenant,
            caller=f"{tenant}/{rng.randrange(flow.callers_per_tenant)}",
            instance=rng.randrange(deployment.instances),
            submitted_at=rng.uniform(flow.from_s, flow.until_s),
            run_s=_draw_run_times(kind, flow, rng),
            declared_run_s=_draw_declaration(kind, flow, rng),
            watched=flow.watched,
            cancel_at=flow.cancel_at_s,
        )
        work_left_s -= sum(job.run_s)
        sequence += 1
        yield job


def _draw_run_times(
    kind: RequestKind, flow: Flow, rng: random.Random
) -> Sequence[float]:
    count = 1
    if rng.random() < kind.many_share:
        fewest, most = kind.many_range
        count = round(math.exp(rng.uniform(math.log(fewest), math.log(most))))
    tail_share = kind.tail_share if flow.tail_share is None else flow.tail_share
    return tuple(
        flow.run_factor * _draw_run_time(kind, tail_share, rng) for _ in range(count)
    )


def _draw_run_time(kind: RequestKind, tail_share: float, rng: random.Random) -> float:
    if rng.random() < tail_share:
        return rng.uniform(*TAIL_RUN_RANGE_S)
    drawn = rng.lognormvariate(math.log(kind.median_run_s), RUN_SIGMA)
    return min(max(drawn, SHORTEST_RUN_S), LONGEST_COMMON_RUN_S)


def _draw_declaration(kind: RequestKind, flow: Flow, rng: random.Random) -> float:
    if rng.random() < 0.5:
        return kind.declared_run_s * flow.declaration_error
    return kind.declared_run_s / flow.declaration_error
