"""Tracks the jobs of this member's own callers, from request to answer."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from cassiaturn.entities import JobRequest, Route, TaskRef
from cassiaturn.fleet._leader_history import LeaderHistory
from cassiaturn.observability import Event, FleetMetrics, log_event
from cassiaturn.sharing import (
    is_in_shed_share,
    is_shed,
    longest_chain_s,
    spread_retry_after,
    stuck_job_deadline,
)
from cassiaturn.workload import (
    CANCEL_RETENTION_S,
    CANCELLED,
    Outcome,
    Verdict,
    unsupported_feature,
)

RECONNECT_WAIT_S = 0.6
"""Minimum time that jobs are kept after the leader is lost, in seconds: enough to
replace a stream that was reset or a leader that hands over."""

RETRY_AFTER_S = 1.0
"""Minimum retry-after for a caller that is refused here, in seconds: the header holds
whole seconds."""

ANSWER_MARGIN_S = 0.15
"""How long after a caller's limit the leader's answer is still awaited, in seconds: the
leader ends the job at the limit, and its answer takes time to arrive."""

DEFAULT_LIMIT_S = 30.0
"""How long a job is kept if its caller states no limit, in seconds."""

MAX_LIMIT_S = 3600.0
"""Longest time that a job is kept for its caller, in seconds."""

CANCELLED_KEEP_S = 5.0
"""How long a member remembers which jobs no caller waits for any more, in seconds:
another leader is found within that time."""

CANCEL_ANSWER_S = 2.0
"""Longest wait for a leader's answer to a caller's cancel, in seconds: several times
what a change of leader takes."""

MILLISECONDS = 1000


class LeaderPort(Protocol):
    """Forwards jobs to the current leader."""

    @property
    def token(self) -> int:
        """The leader's token, as last told."""

    @property
    def waits_for_confirmation(self) -> bool:
        """Whether the leader starts no new job before this member confirms it."""

    def submit(self, job: "OpenJob", *, begun_earlier: bool) -> None:
        """Forward a job.

        :param begun_earlier: whether an earlier leader may have started it.
        """

    def cancel(self, job_id: str, *, by_caller: bool) -> None:
        """Tell the leader that a job is cancelled.

        :param by_caller: whether its caller cancelled it; else no caller of this member
            waits for it any more.
        """


@dataclass(slots=True, kw_only=True, eq=False)
class OpenJob:
    """A job that callers of this member wait for; times are monotonic, in seconds."""

    request: JobRequest
    """What the caller asked for."""

    route: Route
    """The route that the request matched."""

    arrived_at: float
    """When its caller sent it, in seconds."""

    limit_at: float
    """When its caller stops waiting, in seconds."""

    stated_limit_s: float | None = None
    """How long its caller says that it waits, in seconds; None if not stated."""

    outcome: "asyncio.Future[Outcome]"
    """The final outcome; set once."""

    waiters: int = 0
    """Callers that wait: a resubmission may arrive before the first request ends."""

    forwarded_at: float | None = None
    """When the job was first sent to a leader, which may still hold it, in seconds;
    None: it was not."""

    earlier_tokens: frozenset[int] = frozenset()
    """Tokens of earlier leaders that may have runs of it, when it was last sent."""

    may_have_begun: bool = False
    """Whether a leader may have started it, so that "not run" may be a wrong answer."""

    completed: frozenset[TaskRef] = frozenset()
    """Its tasks that are done, as a leader told that stepped down."""

    timers: list[asyncio.TimerHandle] = field(default_factory=list)
    """Timers that end the job if no answer arrives."""

    @property
    def declared_run_s(self) -> float:
        """Run time of its longest chain of tasks as its caller declared, in seconds."""
        groups = self.request.groups
        return longest_chain_s(groups, [group.expected_run_s for group in groups])


class CallerJobs:
    """Accepts jobs from callers and keeps each of them with the current leader."""

    def __init__(self, *, metrics: FleetMetrics) -> None:
        """Start without a leader.

        :param metrics: records the answers.
        """
        self._metrics = metrics
        self.waiting_by_route: dict[str, int] = {}
        """Jobs without a started task, by route, as the leader last reported."""
        self.shed_share = 0.0
        """Share of all new jobs, 0 to 1, that is shed because the leader's process is
        overloaded."""
        self.shed_by_priority: Mapping[int, float] = {}
        """Share of the new jobs of each priority, 0 to 1, that is shed because more
        starts are requested than the leader can make. While the leader reports any, it
        applies instead of the share of all jobs."""
        self._priorities: list[int] = []
        self._jobs_by_id: dict[str, OpenJob] = {}
        self._leader: LeaderPort | None = None
        self._left_leaders = LeaderHistory()
        self._leaderless_since = time.monotonic()
        self._end_reason = ""
        """Why this member accepts no job any more; empty: it does."""

        self._cancelled_at_by_id: OrderedDict[str, float] = OrderedDict()
        """When each job lost its last caller that a leader may still hold, oldest
        first."""

        self._caller_cancels_at_by_id: OrderedDict[str, float] = OrderedDict()
        """When each job was cancelled by its caller, oldest first."""

        self._cancel_answers_by_id: dict[str, asyncio.Future[bool]] = {}
        """Answers to cancels of jobs that are not open here."""

    @property
    def open_jobs(self) -> int:
        """Number of jobs without an answer."""
        return len(self._jobs_by_id)

    @property
    def has_leader(self) -> bool:
        """Whether there is a leader to forward jobs to."""
        return self._leader is not None

    @property
    def waits_for_confirmation(self) -> bool:
        """Whether the leader starts no new job before this member confirms it."""
        return self._leader is not None and self._leader.waits_for_confirmation

    def attach(self, leader: LeaderPort) -> None:
        """Forward every open job to a new leader."""
        self._leader = leader
        self._forget_cancelled()
        for job_id in self._caller_cancels_at_by_id:
            leader.cancel(job_id, by_caller=True)
        for job in list(self._jobs_by_id.values()):
            self._forward(job, leader)
        # Jobs cancelled without a stream, or on one that broke, would keep running: the
        # leader may not have received their cancellation.
        for job_id in self._cancelled_at_by_id:
            leader.cancel(job_id, by_caller=False)

    def detach(self, leader: LeaderPort, *, heard_at: float | None = None) -> None:
        """Keep open jobs here until there is another leader.

        :param heard_at: when the leader was last heard, in seconds on the monotonic
            clock; None: just now.
        """
        if self._leader is leader:
            now = time.monotonic()
            self._leader = None
            self._left_leaders.note_left(leader.token, now)
            self._leaderless_since = now if heard_at is None else heard_at
            self.waiting_by_route = {}
            self.shed_share = 0.0
            self.shed_by_priority = {}
            for job in self._jobs_by_id.values():
                self._wait_for_leader(job)

    async def submit(
        self,
        request: JobRequest,
        route: Route,
        limit_s: float | None,
        *,
        waited_s: float = 0.0,
    ) -> Outcome:
        """Accept a job and return its final outcome.

        A request with the id of an open job joins it, and extends its limit if the new
        request waits longer.

        :param limit_s: how long the caller waits, in seconds; None if not stated.
        :param waited_s: how long the caller has waited already, in seconds.
        """
        if self._end_reason:
            return self._refuse(request, route, self._end_reason, RETRY_AFTER_S)
        unserved = unsupported_feature(request, route)
        if unserved is not None:
            return self._refuse(request, route, unserved, 0.0)
        self._forget_cancelled()
        if request.job_id in self._caller_cancels_at_by_id:
            return CANCELLED
        job = self._jobs_by_id.get(request.job_id)
        if job is not None:
            self._extend(job, time.monotonic() - waited_s + _keep_time_s(limit_s))
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
                self._drop_without_waiters(job)

    def _is_shed(self, request: JobRequest, route: Route) -> bool:
        if self.shed_by_priority:
            share = self.shed_by_priority.get(route.priority, 0.0)
            return is_in_shed_share(request.job_id, share)
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
        """Refuse a job that was never forwarded."""
        self._metrics.answered(route.name, route.priority, Verdict.REFUSED, 0.0)
        log_event(
            Event.JOB_REFUSED,
            id=request.job_id,
            route=route.name,
            reason=reason,
            shed_share=self.shed_by_priority.get(route.priority, self.shed_share),
        )
        return _refusal(request, reason, retry_after_s)

    def settle(self, job_id: str, outcome: Outcome) -> None:
        """Answer a job; has no effect if the job is already answered."""
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
            if job.stated_limit_s is None
            else round(job.stated_limit_s * MILLISECONDS),
        )

    async def cancel(self, job_id: str) -> bool | None:
        """Cancel a job on its caller's request, wherever it was submitted.

        :returns: whether there was such a job; None: no leader has told in time.
        """
        is_open = job_id in self._jobs_by_id
        answer = self._cancel_answers_by_id.get(job_id)
        if answer is None and not is_open:
            answer = asyncio.get_running_loop().create_future()
            self._cancel_answers_by_id[job_id] = answer
        self._forget_cancelled()
        self._caller_cancels_at_by_id[job_id] = time.monotonic()
        self._caller_cancels_at_by_id.move_to_end(job_id)
        if self._leader is not None:
            self._leader.cancel(job_id, by_caller=True)
        if is_open or answer is None:
            self.settle(job_id, CANCELLED)
            return True
        try:
            async with asyncio.timeout(CANCEL_ANSWER_S):
                return await asyncio.shield(answer)
        except TimeoutError:
            return None
        finally:
            self._cancel_answers_by_id.pop(job_id, None)

    def note_cancelled(self, job_id: str, *, known: bool) -> None:
        """Record the leader's answer to a cancel.

        :param known: whether there was such a job.
        """
        answer = self._cancel_answers_by_id.get(job_id)
        if answer is not None and not answer.done():
            answer.set_result(known)

    def confirm(self, job_id: str) -> bool:
        """Record that the leader holds a job and starts it once it is confirmed.

        A job in transit to a leader that has ended, or is behind a network partition,
        never started. Without the confirmation the next leader could not tell it from a
        job that still runs, and its caller would wait for leases to expire of runs that
        never existed.

        :returns: whether its caller still waits.
        """
        job = self._jobs_by_id.get(job_id)
        if job is None:
            return False
        job.may_have_begun = True
        return True

    def note_completed(self, job_id: str, completed: frozenset[TaskRef]) -> None:
        """Record tasks of an open job that are done, to tell the next leader."""
        job = self._jobs_by_id.get(job_id)
        if job is not None:
            job.completed |= completed

    def is_open(self, job_id: str) -> bool:
        """Return whether a job with this id is open here."""
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
        limit_at = now - waited_s + _keep_time_s(limit_s)
        job = OpenJob(
            request=request,
            route=route,
            arrived_at=now - waited_s,
            limit_at=limit_at,
            stated_limit_s=limit_s,
            outcome=loop.create_future(),
        )
        self._jobs_by_id[request.job_id] = job
        self._cancelled_at_by_id.pop(request.job_id, None)
        if limit_at <= now:
            loop.call_soon(self._expire, job)
            return job
        self._expire_at_limit(job)
        if self._leader is not None:
            self._forward(job, self._leader)
        else:
            self._wait_for_leader(job)
        return job

    def _expire_at_limit(self, job: OpenJob) -> None:
        expiry_s = job.limit_at - time.monotonic() + ANSWER_MARGIN_S
        loop = asyncio.get_running_loop()
        job.timers.append(loop.call_later(expiry_s, self._expire, job))

    def _extend(self, job: OpenJob, limit_at: float) -> None:
        """Extend the limit of a job that a later request of its caller joins."""
        if limit_at <= job.limit_at:
            return
        job.limit_at = limit_at
        for timer in job.timers:
            timer.cancel()
        job.timers.clear()
        self._expire_at_limit(job)
        if self._leader is None:
            self._wait_for_leader(job)
        else:
            self._leader.submit(job, begun_earlier=False)

    def _cancel_at_leader(self, job: OpenJob) -> None:
        """Cancel a job at the leader, if one may hold it."""
        if job.forwarded_at is None:
            return
        job_id = job.request.job_id
        self._forget_cancelled()
        self._cancelled_at_by_id[job_id] = time.monotonic()
        if self._leader is not None:
            self._leader.cancel(job_id, by_caller=False)

    def _forget_cancelled(self) -> None:
        now = time.monotonic()
        _drop_older(self._cancelled_at_by_id, now - CANCELLED_KEEP_S)
        _drop_older(self._caller_cancels_at_by_id, now - CANCEL_RETENTION_S)

    def end_all(self, reason: str) -> None:
        """Answer every open job, and refuse all that come after.

        The process is about to end, and would close the connections of jobs that are
        passed on from now on before their answers arrive.

        :param reason: the rule that decided, as logged.
        """
        self._end_reason = reason
        for job in list(self._jobs_by_id.values()):
            self._cancel_at_leader(job)
            self.settle(job.request.job_id, _unserved_outcome(job, reason))

    def _wait_for_leader(self, job: OpenJob) -> None:
        """Keep a job until another member leads, or until that would be too late.

        The targets of a leader that fell silent keep running tasks until their leases
        expire, and a successor that every target obeys learns from their lists what
        runs. If jobs were given up at once, all of that work would be lost.
        """
        kept_until = stuck_job_deadline(
            stuck_since=max(self._leaderless_since, job.arrived_at),
            limit_at=job.limit_at,
            expected_run_s=job.declared_run_s,
            has_begun=job.may_have_begun,
        )
        loop = asyncio.get_running_loop()
        wait_s = max(RECONNECT_WAIT_S, kept_until - time.monotonic())
        job.timers.append(
            loop.call_later(wait_s, self._give_up, job, self._leaderless_since)
        )

    def _forward(self, job: OpenJob, leader: LeaderPort) -> None:
        begun_earlier = job.may_have_begun
        now = time.monotonic()
        if job.forwarded_at is None:
            job.forwarded_at = now
        job.earlier_tokens = self._left_leaders.tokens_since(job.forwarded_at, now)
        job.may_have_begun |= not leader.waits_for_confirmation
        leader.submit(job, begun_earlier=begun_earlier)
        if begun_earlier:
            log_event(Event.JOB_RESUBMITTED, id=job.request.job_id)

    def _drop_without_waiters(self, job: OpenJob) -> None:
        """Cancel a job that none of its callers waits for any more."""
        self._jobs_by_id.pop(job.request.job_id, None)
        for timer in job.timers:
            timer.cancel()
        self._cancel_at_leader(job)
        log_event(
            Event.JOB_LEFT,
            id=job.request.job_id,
            age_ms=round((time.monotonic() - job.arrived_at) * MILLISECONDS),
        )

    def _give_up(self, job: OpenJob, leaderless_since: float) -> None:
        """Answer a job that has found no leader in time.

        If the job may have started, its caller is told that the outcome is unknown, and
        resubmits after a pause longer than the leases.

        :param leaderless_since: since when there was no leader when this call was
            scheduled, in seconds; if that has changed, the call has no effect.
        """
        if self._leader is not None or self._leaderless_since != leaderless_since:
            return
        self._cancel_at_leader(job)
        reason = "leader_lost" if job.may_have_begun else "no_leader"
        self.settle(job.request.job_id, _unserved_outcome(job, reason))

    def _expire(self, job: OpenJob) -> None:
        self._cancel_at_leader(job)
        self.settle(job.request.job_id, _unserved_outcome(job, "limit_passed"))


def _drop_older(times_by_id: OrderedDict[str, float], before: float) -> None:
    """Remove all ids with a time before a given one; the oldest come first."""
    while times_by_id and next(iter(times_by_id.values())) < before:
        times_by_id.popitem(last=False)


def _keep_time_s(limit_s: float | None) -> float:
    """Return how long a job is kept for its caller, in seconds.

    :param limit_s: how long the caller waits, in seconds; None if not stated.
    """
    return DEFAULT_LIMIT_S if limit_s is None else min(limit_s, MAX_LIMIT_S)


def _unserved_outcome(job: OpenJob, reason: str) -> Outcome:
    """Return the outcome of a job that this member stops serving."""
    if job.may_have_begun:
        return Outcome(verdict=Verdict.ABANDONED, reason=reason)
    return _refusal(job.request, reason, RETRY_AFTER_S)


def _refusal(request: JobRequest, reason: str, retry_after_s: float) -> Outcome:
    if retry_after_s:
        retry_after_s = spread_retry_after(request.job_id, retry_after_s)
    return Outcome(verdict=Verdict.REFUSED, reason=reason, retry_after_s=retry_after_s)
