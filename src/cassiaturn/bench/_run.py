"""Runs one dispatcher through one scenario."""

from collections.abc import Sequence

from cassiaturn.bench._deployment import Deployment
from cassiaturn.bench._dispatcher import Dispatcher
from cassiaturn.bench._runner import JobRun
from cassiaturn.bench._scenario import Scenario
from cassiaturn.bench._tally import Tally
from cassiaturn.bench._traffic import Job, Tenants, default_tenants
from cassiaturn.bench._workload import SEED, jobs_of
from cassiaturn.bench._world import World
from cassiaturn.entities import Outcome

DRAIN_S = 70.0
"""Longer than the longest deadline, so that every job has been answered."""


def run_scenario(
    scenario: Scenario,
    deployment: Deployment,
    dispatcher_type: type[Dispatcher],
    *,
    seed: int = SEED,
) -> Tally:
    """Return what callers received in one run."""
    tenants = default_tenants()
    jobs = jobs_of(scenario, deployment, tenants, seed=seed)
    return run_jobs(jobs, scenario, deployment, tenants, dispatcher_type)


def run_jobs(
    jobs: Sequence[Job],
    scenario: Scenario,
    deployment: Deployment,
    tenants: Tenants,
    dispatcher_type: type[Dispatcher],
) -> Tally:
    """Return what the callers of given jobs received.

    :raises AssertionError: a job got no outcome, or a slot was not given back.
    """
    world = World(
        deployment=deployment,
        tenants=tenants,
        scenario=scenario,
        jobs=jobs,
        is_one_place=dispatcher_type.is_one_place,
    )
    _Callers(world=world, dispatcher=dispatcher_type(world=world)).schedule()
    for fault in scenario.faults:
        for index in fault.targets:
            world.loop.call_at(fault.at_s, world.runners[index].apply, fault)
    world.loop.run(until=scenario.until_s + DRAIN_S)
    if world.unanswered:
        raise AssertionError(f"{world.unanswered} jobs have no outcome")
    held = sum(runner.in_use for runner in world.runners)
    if held:
        raise AssertionError(f"{held} slots are held after every job was answered")
    world.tally.busy_s = sum(runner.busy_s for runner in world.runners)
    world.tally.tasks_begun = sum(runner.begun for runner in world.runners)
    world.tally.distinct_tasks_begun = sum(len(run.begun) for run in world.runs)
    world.tally.started_twice = sum(runner.started_twice for runner in world.runners)
    return world.tally


class _Callers:
    """Sends jobs, cancels them, and gives up on them at their deadlines."""

    def __init__(self, *, world: World, dispatcher: Dispatcher) -> None:
        self._world = world
        self._dispatcher = dispatcher

    def schedule(self) -> None:
        """Set the arrival of every job."""
        for job in self._world.jobs:
            arrives_at = job.submitted_at + self._world.deployment.caller_latency_s
            self._world.loop.call_at(arrives_at, self._arrive, job)

    def _arrive(self, job: Job) -> None:
        loop = self._world.loop
        run = JobRun(job=job, accepted_at=loop.now)
        self._world.runs.append(run)
        self._world.tally.submitted(job)
        loop.call_later(job.kind.deadline_s, self._end_late, run)
        if job.cancel_at is not None:
            loop.call_at(job.cancel_at, self._cancel, run)
        self._dispatcher.submit(run)

    def _end_late(self, run: JobRun) -> None:
        self._end(run, Outcome.FAILED)

    def _cancel(self, run: JobRun) -> None:
        if run.outcome is None:
            self._world.tally.cancelled(run.job)
            self._end(run, Outcome.FAILED)

    def _end(self, run: JobRun, outcome: Outcome) -> None:
        if run.outcome is None:
            self._world.answer(run, outcome)
            self._dispatcher.withdraw(run)
