"""The site around a dispatcher: callers, latency, targets, counts."""

from collections.abc import Callable, Sequence
from typing import Any

from cassiaturn.bench._deployment import Deployment
from cassiaturn.bench._loop import EventLoop
from cassiaturn.bench._message import MessageKind
from cassiaturn.bench._runner import FakeRunner, JobRun, Start
from cassiaturn.bench._scenario import Scenario
from cassiaturn.bench._tally import Tally
from cassiaturn.bench._traffic import Job, Tenants
from cassiaturn.entities import Outcome, Reason


class World:
    """Fakes of everything that a dispatcher touches, in virtual time.

    Use one for each run: it delivers jobs and messages, owns the targets, and
    checks that each job gets exactly one outcome.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        tenants: Tenants,
        scenario: Scenario,
        jobs: Sequence[Job],
        is_one_place: bool = False,
    ) -> None:
        """Build the site.

        :param is_one_place: messages between processes take no time and are
            not counted; this gives the bound of one exact central queue.
        """
        self.loop = EventLoop()
        self.deployment = deployment
        self.tenants = tenants
        self.scenario = scenario
        self.jobs = jobs
        self.unanswered = len(jobs)
        self.runs: list[JobRun] = []
        self.tally = Tally(
            slot_seconds=deployment.slots * scenario.until_s,
            watched_from_s=scenario.watched_from_s,
            quotas_by_tenant=tenants.quota_slots(deployment.slots),
            possible=deployment.can_answer,
        )
        self.runners = [
            FakeRunner(
                index=index,
                failure_domain=deployment.domain_of(index),
                slots=deployment.slots_per_target,
                loop=self.loop,
                counted_until_s=scenario.until_s,
            )
            for index in range(deployment.targets)
        ]
        self._is_one_place = is_one_place

    def send(
        self,
        kind: MessageKind,
        source: str,
        destination: str,
        callback: Callable[..., None],
        *args: Any,
    ) -> None:
        """Deliver a message between two failure domains after its latency."""
        if self._is_one_place:
            callback(*args)
            return
        self.tally.messages_by_kind[kind] += 1
        latency_s = self.deployment.latency_s(source, destination)
        self.loop.call_later(latency_s, callback, *args)

    def has_result(self, start: Start, run_s: float) -> bool:
        """Take the good result of a task.

        :param run_s: its run time in seconds.
        :returns: whether it was the job's last one; the answer is then sent.
        """
        run = start.run
        if start.index in run.results:
            self.tally.messages_by_kind[MessageKind.DUPLICATE_ANSWER] += 1
            return False
        if run.outcome is not None:
            return False
        run.results.add(start.index)
        run.useful_s += self._within_arrivals(start.begun_at, run_s)
        if len(run.results) < len(run.job.run_s):
            return False
        self.answer(run, Outcome.COMPLETE)
        return True

    def refuse(self, run: JobRun, reason: Reason) -> None:
        """Answer a job "not run" at the door."""
        self.tally.refused(run.job, reason)
        self.answer(run, Outcome.NOT_RUN)

    def answer(self, run: JobRun, outcome: Outcome) -> None:
        """Send a job's only answer to its caller."""
        if run.outcome is not None:
            raise AssertionError(f"{run.job.submission_id} answered twice")
        run.outcome = outcome
        self.unanswered -= 1
        job = run.job
        response_s = self.loop.now + self.deployment.caller_latency_s - job.submitted_at
        ideal_s = self.deployment.ideal_s(job.longest_run_s)
        self.tally.answered(job, outcome, response_s, ideal_s)
        if outcome is Outcome.COMPLETE and response_s <= job.kind.deadline_s:
            self.tally.useful_s += run.useful_s

    def _within_arrivals(self, begun_at: float, run_s: float) -> float:
        return max(0.0, min(begun_at + run_s, self.scenario.until_s) - begun_at)
