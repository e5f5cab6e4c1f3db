"""Jobs of this member's own callers, from their request to their answer."""

import asyncio
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Protocol

from cassiaturn.entities import JobRequest, Route
from cassiaturn.observability import Event, FleetMetrics, log_event
from cassiaturn.sharing import (
    hand_back_at,
    is_shed,
    longest_chain_s,
    spread_retry_after,
)
from cassiaturn.workload import Outcome, Verdict, unserved_feature

RECONNECT_WAIT_S = 0.6
"""Least time that jobs are kept when a leader is lost, in seconds: a stream that was
reset, and a leader that hands over, are replaced within it."""

RETRY_AFTER_S = 1.0
"""Least advice to a caller that is refused here: the header counts whole seconds."""

ANSWER_MARGIN_S = 0.15
"""How long after a caller's limit an answer of the leader is still waited for: the
leader ends the job at the limit, and its answer has a way to go."""

DEFAULT_LIMIT_S = 30.0
"""How long a job is kept whose caller does not say how long it waits, in seconds."""

LONGEST_LIMIT_S = 3600.0
"""Longest time that a job is kept for its caller, in seconds."""

TAKEN_BACK_S = 5.0
"""How long a member remembers which jobs it took back, in seconds: another leader is
found within it."""

MILLISECONDS = 1000


class LeaderPort(Protocol):
    """Passes jobs on to whoever leads."""

    @property
    def waits_for_confirmation(self) -> bool:
        """Whether it starts no new job before this member has confirmed it."""

    def submit(self, job: "OpenJob", *, begun_earlier: bool) -> None:
        """Pass a job on.

        :param begun_earlier: whether an earlier leader had it.
        """

    def cancel(self, job_id: str) -> None:
        """Say that nobody here waits for a job any more."""


@dataclass(slots=True, kw_only=True, eq=False)
class OpenJob:
    """A job that callers of this member wait for."""

    request: JobRequest
    """What the caller asked for."""

    route: Route
    """The queue that it came by."""

    arrived_at: float
    """When its caller sent it, in seconds."""

    limit_at: float
    """When its caller stops waiting, in seconds."""

    told_limit_s: float | None = None
    """How long its caller says that it waits, in seconds; None: not told."""

    outcome: "asyncio.Future[Outcome]"
    """Set once."""

    waiters: int = 0
    """Callers that wait: a resubmission may come before the first is gone."""

    passed_on: bool = False
    """Whether a leader may have it."""

    may_have_begun: bool = False
    """Whether a leader may have started it, so that "not run" might be untrue."""

    timers: list[asyncio.TimerHandle] = field(default_factory=list)
    """What ends it if nobody answers."""

    @property
    def declared_run_s(self) -> float:
        """Length of its longest chain of tasks as its caller tells it, in seconds."""
        groups = self.request.groups
        return longest_chain_s(groups, [group.expected_run_s for group in groups])


class CallerJobs:
    """Takes jobs from callers and keeps each with whoever leads."""

    def __init__(self, *, metrics: FleetMetrics) -> None:
        """Start without a leader.

        :param metrics: counts the answers.
        """
        self._metrics = metrics
        self.waiting_by_route: dict[str, int] = {}
        """Jobs of which no task has started, as the leader last told."""
        self.shed_share = 0.0
        """Share of all new jobs, 0 to 1, that the leader's process is too full for."""
        self._priorities: list[int] = []
        self._jobs_by_id: dict[str, OpenJob] = {}
        self._leader: LeaderPort | None = None
        self._leaderless_since = time.monotonic()
        self._taken_back_at_by_id: OrderedDict[str, float] = OrderedDict()
        """Jobs that a leader may still have though nobody waits here, oldest first."""

    @property
    def open_jobs(self) -> int:
        """Jobs without an answer."""
        return len(self._jobs_by_id)

    @property
    def has_leader(self) -> bool:
        """Whether jobs can be passed on."""
        return self._leader is not None

    @property
    def waits_for_confirmation(self) -> bool:
        """Whether the leader starts no new job of here before it is confirmed."""
        return self._leader is not None and self._leader.waits_for_confirmation

    def attach(self, leader: LeaderPort) -> None:
        """Pass every open job on to a leader."""
        self._leader = leader
        for job in list(self._jobs_by_id.values()):
            self._pass_on(job, leader)
        # What was taken back while there was no stream, or on one that broke, would
        # run on at a leader that never heard of it.
        self._forget_taken_back(time.monotonic() - TAKEN_BACK_S)
        for job_id in self._taken_back_at_by_id:
            leader.cancel(job_id)

    def detach(self, leader: LeaderPort, *, heard_at: float | None = None) -> None:
        """Keep jobs here until there is another leader.

        :param heard_at: when the leader was last heard, in seconds; None: just now.
        """
        if self._leader is leader:
            self._leader = None
            self._leaderless_since = time.monotonic() if heard_at is None else heard_at
            self.waiting_by_route = {}
            self.shed_share = 0.0
            for job in self._jobs_by_id.values():
                self._keep_without_leader(job)

    async def submit(
        self,
        request: JobRequest,
        route: Route,
        limit_s: float | None,
        *,
        waited_s: float = 0.0,
    ) -> Outcome:
        """Take a job and return its final answer.

        :param limit_s: how long its caller waits, in seconds; None: not told.
        :param waited_s: how long it has waited already, in seconds.
        """
        unserved = unserved_feature(request, route)
        if unserved is not None:
            return self._refuse(request, route, unserved, 0.0)
        job = self._jobs_by_id.get(request.job_id)
        if job is not None:
            self._extend(job, time.monotonic() - waited_s + _kept_s(limit_s))
        else:
            if self._is_shed(request, route):
                return self._refuse(request, route, "leader_full", RETRY_AFTER_S)
            job = self._open(request, route, limit_s, waited_s)
        job.waiters += 1
        try:
            return await asyncio.shield(job.outcome)
        finally:
            job.waiters -= 1
            if not job.waiters and not job.outcome.done():
                self._leave(job)

    def _is_shed(self, request: JobRequest, route: Route) -> bool:
        if route.priority not in self._priorities:
            self._priorities = sorted({*self._priorities, route.priority})
        return is_shed(
            request.job_id,
            share=self.shed_share,
            priority=route.priority,
            priorities=self._priorities,
        )

    def _refuse(
        self, request: JobRequest, route: Route, reason: str, retry_after_s: float
    ) -> Outcome:
        """Refuse a job that was never passed on."""
        self._metrics.answered(route.name, route.priority, Verdict.REFUSED, 0.0)
        log_event(
            Event.JOB_REFUSED,
            id=request.job_id,
            route=route.name,
            reason=reason,
            shed_share=self.shed_share,
        )
        return _refused(request, reason, retry_after_s)

    def settle(self, job_id: str, outcome: Outcome) -> None:
        """Answer a job; one that is answered already keeps its answer."""
        job = self._jobs_by_id.pop(job_id, None)
        if job is None:
            return
        for timer in job.timers:
            timer.cancel()
        job.outcome.set_result(outcome)
        response_s = time.monotonic() - job.arrived_at
        route = job.route
        self._metrics.answered(route.name, route.priority, outcome.verdict, response_s)
        log_event(
            Event.JOB_ANSWERED,
            id=job_id,
            route=job.route.name,
            verdict=outcome.verdict,
            reason=outcome.reason,
            retry_after_s=outcome.retry_after_s,
            age_ms=round(response_s * MILLISECONDS),
            limit_ms=round((job.limit_at - job.arrived_at) * MILLISECONDS),
            told_ms=None
            if job.told_limit_s is None
            else round(job.told_limit_s * MILLISECONDS),
        )

    def cancel(self, job_id: str) -> bool:
        """End an open job at its caller's wish.

        :returns: whether it was open here.
        """
        job = self._jobs_by_id.get(job_id)
        if job is None:
            return False
        self._take_back(job)
        self.settle(job_id, Outcome(verdict=Verdict.FAILED, reason="cancelled"))
        return True

    def confirm(self, job_id: str) -> bool:
        """Take in that the leader has a job, and starts it once that is confirmed.

        A job that was on its way to a leader which is gone, or behind a cut, never
        began: without the confirmation the next leader can't tell it from one that
        still runs, and its caller waits for leases of runs that never were.

        :returns: whether its caller still waits.
        """
        job = self._jobs_by_id.get(job_id)
        if job is None:
            return False
        job.may_have_begun = True
        return True

    def is_open(self, job_id: str) -> bool:
        """Return whether a job of that id waits for its answer here."""
        return job_id in self._jobs_by_id

    def _open(
        self,
        request: JobRequest,
        route: Route,
        limit_s: float | None,
        waited_s: float,
    ) -> OpenJob:
        now = time.monotonic()
        loop = asyncio.get_running_loop()
        limit_at = now - waited_s + _kept_s(limit_s)
        job = OpenJob(
            request=request,
            route=route,
            arrived_at=now - waited_s,
            limit_at=limit_at,
            told_limit_s=limit_s,
            outcome=loop.create_future(),
        )
        self._jobs_by_id[request.job_id] = job
        self._taken_back_at_by_id.pop(request.job_id, None)
        if limit_at <= now:
            loop.call_soon(self._expire, job)
            return job
        self._expire_at_limit(job)
        if self._leader is not None:
            self._pass_on(job, self._leader)
        else:
            self._keep_without_leader(job)
        return job

    def _expire_at_limit(self, job: OpenJob) -> None:
        expiry_s = job.limit_at - time.monotonic() + ANSWER_MARGIN_S
        loop = asyncio.get_running_loop()
        job.timers.append(loop.call_later(expiry_s, self._expire, job))

    def _extend(self, job: OpenJob, limit_at: float) -> None:
        """Keep a job for another request of its caller's that waits for longer."""
        if limit_at <= job.limit_at:
            return
        job.limit_at = limit_at
        for timer in job.timers:
            timer.cancel()
        job.timers.clear()
        self._expire_at_limit(job)
        if self._leader is None:
            self._keep_without_leader(job)
        else:
            self._leader.submit(job, begun_earlier=False)

    def _take_back(self, job: OpenJob) -> None:
        """Tell the leader that nobody here waits for a job any more."""
        if not job.passed_on:
            return
        job_id = job.request.job_id
        now = time.monotonic()
        self._forget_taken_back(now - TAKEN_BACK_S)
        self._taken_back_at_by_id[job_id] = now
        if self._leader is not None:
            self._leader.cancel(job_id)

    def _forget_taken_back(self, before: float) -> None:
        taken_back = self._taken_back_at_by_id
        while taken_back and next(iter(taken_back.values())) < before:
            taken_back.popitem(last=False)

    def end_all(self, reason: str) -> None:
        """Answer every open job: this member's process is about to end."""
        for job in list(self._jobs_by_id.values()):
            self._take_back(job)
            self.settle(job.request.job_id, _ended(job, reason))

    def _keep_without_leader(self, job: OpenJob) -> None:
        """Keep a job until another member leads, or until that is of no more use.

        The targets of a leader that fell silent work on until their leases end, and a
        successor that every target obeys knows from their lists what runs. Given up at
        once, all that was under way would be lost.
        """
        kept_until = hand_back_at(
            stuck_since=max(self._leaderless_since, job.arrived_at),
            limit_at=job.limit_at,
            expected_run_s=job.declared_run_s,
            has_begun=job.may_have_begun,
        )
        loop = asyncio.get_running_loop()
        wait_s = max(RECONNECT_WAIT_S, kept_until - time.monotonic())
        job.timers.append(
            loop.call_later(wait_s, self._hand_back, job, self._leaderless_since)
        )

    def _pass_on(self, job: OpenJob, leader: LeaderPort) -> None:
        begun_earlier = job.may_have_begun
        job.passed_on = True
        job.may_have_begun |= not leader.waits_for_confirmation
        leader.submit(job, begun_earlier=begun_earlier)
        if begun_earlier:
            log_event(Event.JOB_RESUBMITTED, id=job.request.job_id)

    def _leave(self, job: OpenJob) -> None:
        self._jobs_by_id.pop(job.request.job_id, None)
        for timer in job.timers:
            timer.cancel()
        self._take_back(job)
        log_event(
            Event.JOB_LEFT,
            id=job.request.job_id,
            age_ms=round((time.monotonic() - job.arrived_at) * MILLISECONDS),
        )

    def _hand_back(self, job: OpenJob, leaderless_since: float) -> None:
        """Answer a job for which nobody leads.

        Where it may have begun its caller is told that nobody knows, and submits again
        after a pause that outlasts the leases.

        :param leaderless_since: since when nobody led as it was planned, in seconds.
        """
        if self._leader is not None or self._leaderless_since != leaderless_since:
            return
        self._take_back(job)
        reason = "leader_lost" if job.may_have_begun else "no_leader"
        self.settle(job.request.job_id, _ended(job, reason))

    def _expire(self, job: OpenJob) -> None:
        self._take_back(job)
        self.settle(job.request.job_id, _ended(job, "limit_passed"))


def _kept_s(limit_s: float | None) -> float:
    """Return how long a job is kept for its caller, in seconds.

    :param limit_s: how long that waits, in seconds; None: not told.
    """
    return DEFAULT_LIMIT_S if limit_s is None else min(limit_s, LONGEST_LIMIT_S)


def _ended(job: OpenJob, reason: str) -> Outcome:
    """Return the outcome of a job that is not served here any more."""
    if job.may_have_begun:
        return Outcome(verdict=Verdict.ABANDONED, reason=reason)
    return _refused(job.request, reason, RETRY_AFTER_S)


def _refused(request: JobRequest, reason: str, retry_after_s: float) -> Outcome:
    if retry_after_s:
        retry_after_s = spread_retry_after(request.job_id, retry_after_s)
    return Outcome(verdict=Verdict.REFUSED, reason=reason, retry_after_s=retry_after_s)
