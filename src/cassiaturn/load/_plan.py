"""The jobs of a scenario, drawn from its seed before it runs."""

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from cassiaturn.load._payloads import draw_payload
from cassiaturn.load._scenario import Flow, Scenario


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedJob:
    """One job that a caller sends, perhaps twice."""

    at_s: float
    """When, from the start of the load."""

    method: str
    """Full method name."""

    tenant: str
    """Tenant of the caller."""

    caller: str
    """The caller."""

    payloads: Sequence[bytes]
    """One serialized request a task."""

    deadline_s: float
    """Until when the caller waits, from the sending."""

    own_id: str
    """An id of the caller's own choice; empty: a ticket."""

    instance: int
    """Index of the instance that it is sent to first."""

    other_instance: int
    """Index of the instance that the second sending goes to."""

    resubmit_after_s: float | None
    """Time until the second sending; None: none."""


def plan_jobs(scenario: Scenario) -> list[PlannedJob]:
    """Return every job in the order of sending; equal scenarios, equal jobs.

    :param scenario: a checked scenario.
    """
    jobs = [
        job
        for number, flow in enumerate(scenario.flows)
        for job in _FlowPlan(scenario=scenario, flow=flow, number=number).jobs()
    ]
    jobs.sort(key=lambda job: job.at_s)
    return jobs


class _FlowPlan:
    """Draws the jobs of one flow, independently of the other flows."""

    def __init__(self, *, scenario: Scenario, flow: Flow, number: int) -> None:
        self._scenario = scenario
        self._flow = flow
        self._prefix = f"{scenario.name}-{scenario.seed}-{number}"
        self._random = random.Random(self._prefix)
        self._tenants = flow.tenants or scenario.tenants

    def jobs(self) -> Iterator[PlannedJob]:
        for sequence, at_s in enumerate(self._arrivals()):
            yield self._job(sequence, at_s)

    def _arrivals(self) -> Iterator[float]:
        if self._flow.jobs_per_s > 0.0:
            at_s = self._random.expovariate(self._flow.jobs_per_s)
            while at_s < self._scenario.duration_s:
                yield at_s
                at_s += self._random.expovariate(self._flow.jobs_per_s)
        for burst in self._flow.bursts:
            for _ in range(burst.jobs):
                yield burst.at_s

    def _job(self, sequence: int, at_s: float) -> PlannedJob:
        source = self._random
        flow = self._flow
        tenant = source.choice(self._tenants)
        caller = source.randrange(self._scenario.callers_per_tenant)
        tasks = source.randint(flow.fewest_tasks, flow.most_tasks)
        instances = self._scenario.deployment.instances
        instance = source.randrange(instances)
        step = source.randrange(1, instances) if instances > 1 else 0
        own_id = source.random() < flow.own_id_share
        return PlannedJob(
            at_s=at_s,
            method=flow.method,
            tenant=tenant,
            caller=f"caller-{caller}",
            payloads=[draw_payload(flow.method, source) for _ in range(tasks)],
            deadline_s=flow.deadline_s,
            own_id=f"{self._prefix}-{sequence}" if own_id else "",
            instance=instance,
            other_instance=(instance + step) % instances,
            resubmit_after_s=self._draw_resubmission(),
        )

    def _draw_resubmission(self) -> float | None:
        resubmission = self._scenario.resubmission
        if self._random.random() >= resubmission.share:
            return None
        return self._random.uniform(0.0, resubmission.after_s)
