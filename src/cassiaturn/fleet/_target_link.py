"""Sends orders to one target, and tracks what runs there.

A long poll waits at the target for the next run to end, so that a free slot is known
within a round trip. Separate requests renew the lease while the long poll waits.

Failure: a target is unreachable, its process is paused or has ended. Callers would wait
for its tasks until their deadlines. Here its tasks are started on other targets as soon
as they have certainly ended.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, Protocol

from returns.result import Failure, Result, Success

from cassiaturn.entities import LeaseReport, StartAnswer, TaskRef
from cassiaturn.fleet._answer_loss import AnswerLossMonitor, AnswerTimeEstimate
from cassiaturn.fleet._failures import report_failure
from cassiaturn.fleet._leader_load import LeaderLoad
from cassiaturn.fleet._lease_clock import LeaseClock
from cassiaturn.fleet._pause import PAUSE_S
from cassiaturn.fleet._ports import (
    Authority,
    CallProblem,
    Gone,
    NoAnswer,
    StartReply,
    Superseded,
    TargetCalls,
)
from cassiaturn.fleet._target_life import TargetLife
from cassiaturn.fleet._target_timing import (
    BUSY_LONG_POLL_S,
    FIRST_LIST_SEND_TIMES_S,
    IDLE_LONG_POLL_S,
    LIST_RETRY_TIMEOUT_S,
    LIST_TIMEOUT_S,
    LOSSY_LIST_RETRIES,
    LOSSY_RENEW_PERIOD_S,
    LOSSY_START_ATTEMPTS,
    ORDER_TIMEOUT_S,
    RENEW_PERIOD_S,
    SILENT_RETRY_PERIOD_S,
    START_ATTEMPTS,
    TIGHT_RENEW_PERIOD_S,
    list_period_s,
)
from cassiaturn.fleet._told_ends import RETRY_PERIOD_S, Receipt
from cassiaturn.observability import Event, log_event
from cassiaturn.transport import answer_timeout
from cassiaturn.workload import Run, StartOrder, WorkloadSettings


class TargetEvents(Protocol):
    """Receives the events of a target."""

    def on_report(
        self, target_id: str, report: LeaseReport, *, asked_at: float
    ) -> None:
        """Handle a report of the target's runs.

        :param asked_at: monotonic time of the request, in seconds.
        """

    def on_start_answer(
        self,
        target_id: str,
        ref: TaskRef,
        number: int,
        answer: StartAnswer,
        clock_ms: int | None,
    ) -> None:
        """Handle the answer to a start order.

        :param number: number of the run.
        :param clock_ms: the target's clock when it answered, in milliseconds; None if
            it was not told.
        """

    def on_stop_answer(self, target_id: str, ref: TaskRef, number: int) -> None:
        """Handle the confirmation of a stop order."""

    def on_unanswered(self, target_id: str) -> None:
        """Handle a request without an answer, which is repeated now."""

    def on_silent(self, target_id: str) -> None:
        """Handle that the target does not answer any more."""

    def on_lost(self, target_id: str, reason: str) -> None:
        """Handle that no run is left on the target."""

    def on_restarted(self, target_id: str, incarnation: int) -> None:
        """Handle that another process of the target answers, before its first list.

        :param incarnation: tells it apart from the earlier one.
        """

    def on_superseded(self, target_id: str) -> None:
        """Handle that the target obeys a later leader."""

    def on_clock_ahead(self, target_id: str, ahead_s: float, *, since: float) -> None:
        """Handle that more time passed at the target than on this host.

        :param ahead_s: how much more, in seconds.
        :param since: monotonic time of the target's answer before, in seconds.
        """


class TargetLink:
    """The leader's only connection to a target."""

    def __init__(
        self,
        *,
        authority: Authority,
        calls: TargetCalls,
        events: TargetEvents,
        has_runs: Callable[[], bool],
        has_tight_runs: Callable[[], bool],
        may_start: Callable[[], bool],
        targets: Callable[[], int],
        answer_loss: AnswerLossMonitor,
        load: LeaderLoad,
        settings: WorkloadSettings,
    ) -> None:
        """Prepare the link; :meth:`open` starts it.

        :param authority: the target, and the token to send orders with.
        :param events: receives what is learned of the target.
        :param has_runs: returns whether the target has runs that are to continue.
        :param has_tight_runs: returns whether some of them may end too late for their
            callers.
        :param may_start: returns whether operators allow starts on the target.
        :param targets: returns the number of targets that the leader has links to.
        :param answer_loss: lost answers of all links of the leader.
        :param load: counts the requests.
        """
        self.authority = authority
        self._calls = calls
        self._events = events
        self._has_runs = has_runs
        self._has_tight_runs = has_tight_runs
        self._may_start = may_start
        self._targets = targets
        self._answer_loss = answer_loss
        self._load = load
        self._answer_time = AnswerTimeEstimate()
        self._long_poll: asyncio.Task[None] | None = None
        self._long_poll_sent_at = 0.0
        self._settings = settings
        self._life = TargetLife(clock=LeaseClock(settings=settings))
        self._has_unanswered = False
        """Whether a request was left unanswered since the last list, so that the target
        may have restarted."""

        self._renewed_at = 0.0
        self._answered_at = 0.0
        self._is_silent = False
        self._is_renewing = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    def use_token(self, token: int) -> None:
        """Send all further orders with another token.

        :param token: the new fencing token.
        """
        self.authority = replace(self.authority, token=token)

    @property
    def incarnation(self) -> int:
        """The incarnation that listed its runs last; 0: not told."""
        return self._life.incarnation

    def use_address(self, address: str) -> None:
        """Send all further orders to another address, ``host:port``."""
        self.authority = replace(self.authority, address=address)

    def note_ends(self, sequence: int, receipts: Sequence[Receipt]) -> None:
        """Acknowledge ended runs once the members that wait for them were told.

        :param sequence: sequence number of the last of them.
        :param receipts: receipts of the frames that tell of them.
        """
        self._life.told_ends.add(sequence, receipts)

    def open(self) -> None:
        """Start to poll the target for what it runs."""
        self._spawn(self._poll_reports())

    def close(self) -> None:
        """Stop sending; runs on the target end with their lease."""
        self._closed = True
        for task in self._tasks:
            task.cancel()

    def start(self, order: StartOrder) -> None:
        """Send an order to start a run."""
        self._spawn(self._start(order))

    def stop(self, run: Run) -> None:
        """Send an order to stop a run."""
        is_uncertain = not run.is_acknowledged
        self._spawn(self._stop(run.ref, run.number, is_uncertain))

    def tick(self, now: float) -> None:
        """Renew the lease if it is due, and detect that it has expired.

        :param now: monotonic time in seconds.
        """
        if self._is_silent:
            if now >= self._life.clock.leases_over_at:
                self._events.on_lost(self.authority.target_id, "lease_over")
            return
        if self._is_renewing or not self._has_runs():
            return
        age_s = now - self._renewed_at
        if age_s < list_period_s(LOSSY_RENEW_PERIOD_S, targets=self._targets()):
            # Not due by the shortest period. The choice of the period looks at all
            # runs of a target, 20 times a second for each of 1,400 targets.
            return
        period_s = TIGHT_RENEW_PERIOD_S if self._has_tight_runs() else RENEW_PERIOD_S
        if self._answer_loss.is_lossy(now):
            period_s = LOSSY_RENEW_PERIOD_S
        if age_s >= list_period_s(period_s, targets=self._targets()):
            self._spawn(self._renew())

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> "asyncio.Task[None]":
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        report_failure(task)

    async def _poll_reports(self) -> None:
        await self._fetch_first_list()
        while not self._closed:
            if self._is_silent:
                await self._probe()
                if self._is_silent:
                    await asyncio.sleep(SILENT_RETRY_PERIOD_S)
                continue
            wait_s = BUSY_LONG_POLL_S if self._has_runs() else IDLE_LONG_POLL_S
            request = self._request_list(wait_s=wait_s, renew=self._has_runs())
            self._long_poll_sent_at = time.monotonic()
            self._long_poll = self._spawn(request)
            await _wait_for_end(self._long_poll)
            self._long_poll = None
            # A target answers a long poll at once while an end is not acknowledged.
            await self._life.told_ends.wait(
                list_period_s(RETRY_PERIOD_S, targets=self._targets())
            )

    async def _fetch_first_list(self) -> None:
        """Request the first list repeatedly until one request is answered.

        The list gives the target's clock, without which no lease can be granted, and
        the runs of an earlier leader. Until every target has reported, no job of that
        leader can be started: with a single request and lossy answers, the loss of one
        of 24 first lists caused every such job to be given up, half a second after the
        earlier leader fell silent.
        """
        settled: asyncio.Future[CallProblem | None] = (
            asyncio.get_running_loop().create_future()
        )
        for delay_s in FIRST_LIST_SEND_TIMES_S:
            self._spawn(self._send_first_list_request(delay_s, settled))
        try:
            async with answer_timeout(FIRST_LIST_SEND_TIMES_S[-1] + LIST_TIMEOUT_S):
                problem = await settled
        except TimeoutError:
            problem = NoAnswer(detail="no answer to the first requests")
        if problem is not None and not self._closed:
            self._handle_problem(problem)
            await self._pause_after(problem)

    async def _send_first_list_request(
        self, delay_s: float, settled: "asyncio.Future[CallProblem | None]"
    ) -> None:
        await asyncio.sleep(delay_s)
        if settled.done():
            return
        problem = await self._fetch_list(
            wait_s=0.0, renew=False, timeout_s=LIST_TIMEOUT_S
        )
        if not isinstance(problem, NoAnswer) and not settled.done():
            settled.set_result(problem)

    async def _probe(self) -> None:
        # No renewal: it would extend runs whose tasks may be started elsewhere, and the
        # runs of one task must not overlap.
        await self._request_list(wait_s=0.0, renew=False)

    async def _renew(self) -> None:
        self._is_renewing = True
        try:
            await self._request_list(wait_s=0.0, renew=True)
        finally:
            self._is_renewing = False

    async def _request_list(self, *, wait_s: float, renew: bool) -> None:
        asked_at = time.monotonic()
        timeout_s = LIST_TIMEOUT_S
        if not (wait_s or self._is_silent) and self._answer_loss.is_lossy(asked_at):
            timeout_s = self._answer_time.timeout_s(LIST_TIMEOUT_S)
        problem = await self._fetch_list(
            wait_s=wait_s, renew=renew, timeout_s=wait_s + timeout_s
        )
        if isinstance(problem, NoAnswer) and await self._still_answers(asked_at):
            return
        if problem is not None:
            self._handle_problem(problem)
            await self._pause_after(problem)

    async def _still_answers(self, asked_at: float) -> bool:
        """Return whether the target is alive although it left a request unanswered.

        Single answers may be lost while the target is working. If one lost answer made
        it count as silent, it would get no starts until its next answer. Where a third
        of all orders is lost, nearly every target would count as silent at any time,
        and no jobs would complete.

        :param asked_at: monotonic time of the request, in seconds.
        """
        if self._is_silent:
            return False
        if self._answered_at > asked_at:
            self._answer_loss.record_loss(time.monotonic())
            log_event(Event.TARGET_UNANSWERED, target=self.authority.target_id)
            return True
        if self._answer_loss.is_lossy(asked_at):
            return await self._retry_list(LOSSY_LIST_RETRIES)
        self._events.on_unanswered(self.authority.target_id)
        return await self._retry_list(1)

    async def _retry_list(self, retries: int) -> bool:
        """Request a list again until one arrives.

        The last retry has the full timeout. If all answers suddenly become slower,
        timeouts derived from earlier answers alone would make every target count as
        silent.

        :param retries: maximum number of requests.
        :returns: whether a list arrived.
        """
        timeouts_s = [self._answer_time.timeout_s(LIST_RETRY_TIMEOUT_S)] * (retries - 1)
        for timeout_s in [*timeouts_s, LIST_RETRY_TIMEOUT_S]:
            problem = await self._fetch_list(
                wait_s=0.0, renew=False, timeout_s=timeout_s
            )
            if problem is None:
                self._answer_loss.record_loss(time.monotonic())
                return True
            if not isinstance(problem, NoAnswer):
                return False
        return False

    async def _fetch_list(
        self, *, wait_s: float, renew: bool, timeout_s: float
    ) -> CallProblem | None:
        """Request one list, and pass it on.

        :param wait_s: how long the target may hold the request, in seconds.
        :param renew: whether to renew the lease.
        :param timeout_s: longest wait for the answer, in seconds.
        :returns: why there is no usable answer; None if there is one, or if the link
            was closed.
        """
        asked_at = time.monotonic()
        life = self._life
        grant = life.grant(asked_at) if renew else None
        if grant is not None:
            self._renewed_at = asked_at
        result = await self._calls.renew(
            self.authority,
            # The number of an end is no acknowledgement for another process.
            ended_seen=0 if self._has_unanswered else life.told_ends.acknowledged,
            lease_until_ms=grant.until_ms if grant is not None else None,
            wait_s=wait_s,
            timeout_s=timeout_s,
        )
        if grant is not None:
            grant.is_answered = _is_answered(result)
        self._count_request(
            "wait" if wait_s else "list", asked_at, _is_answered(result)
        )
        if self._closed:
            return None
        match result:
            case Success(report):
                if report.incarnation in self._life.earlier:
                    return NoAnswer(detail="an earlier process answered")
                self._note_incarnation(report)
                self._life.note_list(asked_at)
                self._has_unanswered = False
                self._record_clock(report.clock_ms, self._life)
                if not wait_s:
                    self._answer_time.observe(time.monotonic() - asked_at)
                self._is_silent = False
                if report.ended and not wait_s:
                    self._restart_long_poll_if_lost(asked_at)
                self._events.on_report(
                    self.authority.target_id, report, asked_at=asked_at
                )
                return None
            case Failure(problem):
                self._has_unanswered = True
                unanswered: CallProblem = problem
                return unanswered
        raise AssertionError("a result is a success or a failure")

    def _note_incarnation(self, report: LeaseReport) -> None:
        """Forget all that holds for an earlier process, if another one answers."""
        life = self._life
        if not report.incarnation or report.incarnation == life.incarnation:
            return
        if not life.incarnation:
            life.incarnation = report.incarnation
            return
        self._life = life.successor(report.incarnation, report.clock_ms, self._settings)
        self._events.on_restarted(self.authority.target_id, report.incarnation)

    def _restart_long_poll_if_lost(self, asked_at: float) -> None:
        """Restart the long poll if it should have reported a run that has ended.

        The loss of a long poll is noticed only after its wait and its timeout, a second
        in all. Until then only the periodic lists would report ended runs.

        :param asked_at: monotonic time of the request that reported it, in seconds.
        """
        long_poll = self._long_poll
        if long_poll is None or not self._answer_loss.is_lossy(asked_at):
            return
        if self._long_poll_sent_at < asked_at:
            long_poll.cancel()

    async def _pause_after(self, problem: CallProblem) -> None:
        if not isinstance(problem, NoAnswer):
            await asyncio.sleep(SILENT_RETRY_PERIOD_S)

    async def _start(self, order: StartOrder) -> None:
        life = self._life
        reply = await self._send_start(order)
        if self._closed:
            return
        if reply.clock_ms is not None:
            self._record_clock(reply.clock_ms, life)
        self._events.on_start_answer(
            self.authority.target_id,
            order.ref,
            order.number,
            reply.answer,
            reply.clock_ms,
        )
        if reply.answer is StartAnswer.OTHER_LIFE:
            self._handle_problem(Gone(reason="other_life"))
        elif reply.answer is StartAnswer.UNREACHABLE:
            self._handle_problem(NoAnswer(detail="connection refused"))

    async def _send_start(self, order: StartOrder) -> StartReply:
        """Send a start order repeatedly until one attempt is answered.

        The order is idempotent: all attempts name the same run, which a target starts
        only once. A target that receives an attempt late refuses it, because its lease
        or the run itself has ended by then. The lease of all attempts counts from the
        decision: this process may be paused between the decision and the sending, and
        have a successor when it resumes, which the target may not have heard from.
        """
        timeouts_s = [ORDER_TIMEOUT_S] * START_ATTEMPTS
        if self._answer_loss.is_lossy(time.monotonic()):
            short_s = self._answer_time.timeout_s(ORDER_TIMEOUT_S)
            timeouts_s = [short_s] * (LOSSY_START_ATTEMPTS - 1)
            timeouts_s.append(ORDER_TIMEOUT_S)
        reply = await self._attempt_start(order, timeouts_s[0])
        for timeout_s in timeouts_s[1:]:
            if reply.answer is not StartAnswer.UNKNOWN or self._closed:
                return reply
            if not self._may_start():
                return reply
            reply = await self._attempt_start(order, timeout_s)
            if reply.answer is not StartAnswer.UNKNOWN:
                self._answer_loss.record_loss(time.monotonic())
                return replace(reply, answer=_answer_after_lost_attempt(reply.answer))
        return reply

    async def _attempt_start(self, order: StartOrder, timeout_s: float) -> StartReply:
        sent_at = time.monotonic()
        grant = self._life.grant(order.decided_at)
        reply = await self._calls.start(
            self.authority,
            order,
            lease_until_ms=grant.until_ms if grant is not None else None,
            timeout_s=timeout_s,
        )
        if grant is not None:
            grant.is_answered = reply.answer is not StartAnswer.UNKNOWN
        self._count_request("start", sent_at, reply.answer is not StartAnswer.UNKNOWN)
        if reply.answer is StartAnswer.SUPERSEDED and not self._closed:
            self._events.on_superseded(self.authority.target_id)
        return reply

    async def _stop(self, ref: TaskRef, number: int, is_uncertain: bool) -> None:
        sent_at = time.monotonic()
        life = self._life
        stopped = await self._calls.stop(
            self.authority, ref, number, timeout_s=ORDER_TIMEOUT_S
        )
        self._count_request("stop", sent_at, _is_answered(stopped))
        match stopped:
            case Success(clock_ms):
                if not self._closed:
                    self._record_clock(clock_ms, life)
                    self._events.on_stop_answer(self.authority.target_id, ref, number)
                    if is_uncertain:
                        # A list requested now tells whether the run ever began. Waiting
                        # for the next periodic one would block its slot ten times as
                        # long.
                        await self._request_list(wait_s=0.0, renew=self._has_runs())
            case Failure(problem):
                # The order is sent again while the target still lists the run.
                if not self._closed and not isinstance(problem, NoAnswer):
                    self._handle_problem(problem)

    def _count_request(self, kind: str, sent_at: float, answered: bool) -> None:
        answer_s = time.monotonic() - sent_at if answered else None
        self._load.count_request(kind, answer_s)

    def _handle_problem(self, problem: CallProblem) -> None:
        target_id = self.authority.target_id
        match problem:
            case Superseded():
                self._is_silent = True
                self._events.on_superseded(target_id)
                self._events.on_silent(target_id)
            case Gone(reason=reason):
                self._is_silent = True
                self._events.on_lost(target_id, reason)
            case _:
                self._is_silent = True
                self._events.on_silent(target_id)

    def _record_clock(self, clock_ms: int, life: TargetLife) -> None:
        """Record the target's clock from an answer.

        :param life: the process that was known when the request was sent.
        """
        now = time.monotonic()
        answered_before, self._answered_at = self._answered_at, now
        if life is not self._life:
            return
        ahead_s = life.clock.observe(clock_ms, now)
        if ahead_s >= PAUSE_S:
            self._events.on_clock_ahead(
                self.authority.target_id, ahead_s, since=answered_before
            )


async def _wait_for_end(task: "asyncio.Task[None]") -> None:
    """Wait until a spawned task has ended, in whatever way.

    ``asyncio.wait`` does the same for twice the processor time.
    """
    try:
        await task
    except asyncio.CancelledError:
        waiting = asyncio.current_task()
        if waiting is not None and waiting.cancelling():
            raise
    except Exception:
        # The task's own callback reports it.
        return


def _is_answered(result: Result[Any, CallProblem]) -> bool:
    match result:
        case Failure(NoAnswer()):
            return False
    return True


def _answer_after_lost_attempt(answer: StartAnswer) -> StartAnswer:
    """Return what an answer means for the run if an earlier attempt was unanswered.

    A refusal says nothing about the earlier attempt. A network partition may reset the
    connection of the first attempt and refuse that of the next. If the run then counted
    as never started, the task would be started elsewhere and run twice at the same
    time. With an unknown answer, the run is stopped or its lease expires first.
    """
    match answer:
        case StartAnswer.STARTED | StartAnswer.OTHER_LIFE:
            return answer
        case StartAnswer.OUTDATED:
            # The earlier attempt started the run, which has ended: the next list tells
            # how.
            return StartAnswer.STARTED
        case _:
            return StartAnswer.UNKNOWN
