"""Orders to one target, and the news of what runs there.

One request waits at the target for the next end, so that a free place is known
within a round trip; a second one renews the lease while the first still waits.
Failure that it answers: a target that is cut off, stands still or whose process
ends. Callers would wait for its tasks until their limit; here its tasks are given
to others as soon as they are certainly over.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from returns.result import Failure, Result, Success

from cassiaturn.entities import LeaseReport, StartAnswer, TaskRef
from cassiaturn.fleet._answer_loss import AnswerLossMonitor, AnswerTimeEstimate
from cassiaturn.fleet._failures import report_failure
from cassiaturn.fleet._leader_load import LeaderLoad
from cassiaturn.fleet._lease_clock import LeaseClock
from cassiaturn.fleet._ports import (
    Authority,
    CallProblem,
    Gone,
    NoAnswer,
    StartReply,
    Superseded,
    TargetCalls,
)
from cassiaturn.fleet._target_timing import (
    ANSWER_TIMEOUT_S,
    BUSY_WAIT_S,
    FIRST_COPIES_AT_S,
    IDLE_WAIT_S,
    LOOK_EVERY_S,
    LOSSY_LOOK_EVERY_S,
    LOSSY_LOOKS,
    LOSSY_START_COPIES,
    ORDER_TIMEOUT_S,
    RENEW_EVERY_S,
    RETRY_EVERY_S,
    SECOND_LOOK_S,
    START_COPIES,
    list_period_s,
)
from cassiaturn.observability import Event, log_event
from cassiaturn.transport import answer_timeout
from cassiaturn.workload import Run, StartOrder, WorkloadSettings


class TargetEvents(Protocol):
    """What the leader is told of a target."""

    def on_report(
        self, target_id: str, report: LeaseReport, *, asked_at: float
    ) -> None:
        """Take in what runs there."""

    def on_start_answer(
        self,
        target_id: str,
        ref: TaskRef,
        number: int,
        answer: StartAnswer,
        clock_ms: int | None,
    ) -> None:
        """Take in what became of an order to start.

        :param clock_ms: what the target's clock showed when it answered.
        """

    def on_stop_answer(self, target_id: str, ref: TaskRef, number: int) -> None:
        """Take in that an order to stop was obeyed."""

    def on_unanswered(self, target_id: str) -> None:
        """Take in that the target left a request unanswered, and is asked again."""

    def on_silent(self, target_id: str) -> None:
        """Take in that the target does not answer."""

    def on_lost(self, target_id: str, reason: str) -> None:
        """Take in that nothing runs there any more."""

    def on_superseded(self, target_id: str) -> None:
        """Take in that a later leader gives the orders there."""


class TargetLink:
    """The leader's only way to one life of a target."""

    def __init__(
        self,
        *,
        authority: Authority,
        calls: TargetCalls,
        events: TargetEvents,
        has_runs: Callable[[], bool],
        has_tight_runs: Callable[[], bool],
        ended_seen: Callable[[], int],
        targets: Callable[[], int],
        answer_loss: AnswerLossMonitor,
        load: LeaderLoad,
        settings: WorkloadSettings,
    ) -> None:
        """Prepare the link; :meth:`open` starts it.

        :param has_runs: whether anything runs there that is to go on.
        :param has_tight_runs: whether some of it may end too late for its caller.
        :param ended_seen: sequence of the last end that was taken in.
        :param targets: how many targets the leader holds.
        :param answer_loss: what all links of the leader have seen lost.
        :param load: counts the requests.
        """
        self.authority = authority
        self._calls = calls
        self._events = events
        self._has_runs = has_runs
        self._has_tight_runs = has_tight_runs
        self._ended_seen = ended_seen
        self._targets = targets
        self._answer_loss = answer_loss
        self._load = load
        self._answer_time = AnswerTimeEstimate()
        self._waiting: asyncio.Task[None] | None = None
        self._waiting_since = 0.0
        self._clock = LeaseClock(settings=settings)
        self._renewed_at = 0.0
        self._answered_at = 0.0
        self._is_silent = False
        self._is_renewing = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    def use_token(self, token: int) -> None:
        """Give every further order under another token."""
        self.authority = replace(self.authority, token=token)

    def open(self) -> None:
        """Begin to ask the target what runs there."""
        self._spawn(self._listen())

    def close(self) -> None:
        """Send nothing more; what runs there ends with its lease."""
        self._closed = True
        for task in self._tasks:
            task.cancel()

    def start(self, order: StartOrder) -> None:
        """Order a start."""
        self._spawn(self._start(order))

    def stop(self, run: Run) -> None:
        """Order a run to stop."""
        is_uncertain = not run.settled
        self._spawn(self._stop(run.ref, run.number, is_uncertain))

    def tick(self, now: float) -> None:
        """Renew the lease if it is time, and notice that it has run out."""
        if self._is_silent:
            if now >= self._clock.over_at:
                self._events.on_lost(self.authority.target_id, "lease_over")
            return
        if self._is_renewing or not self._has_runs():
            return
        every_s = LOOK_EVERY_S if self._has_tight_runs() else RENEW_EVERY_S
        if self._answer_loss.is_lossy(now):
            every_s = LOSSY_LOOK_EVERY_S
        if now - self._renewed_at >= list_period_s(every_s, targets=self._targets()):
            self._spawn(self._renew())

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> "asyncio.Task[None]":
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(report_failure)
        return task

    async def _listen(self) -> None:
        await self._survey()
        while not self._closed:
            if self._is_silent:
                await self._look()
                if self._is_silent:
                    await asyncio.sleep(RETRY_EVERY_S)
                continue
            wait_s = BUSY_WAIT_S if self._has_runs() else IDLE_WAIT_S
            asking = self._ask(wait_s=wait_s, renew=self._has_runs())
            self._waiting_since = time.monotonic()
            self._waiting = self._spawn(asking)
            await asyncio.wait([self._waiting])
            self._waiting = None

    async def _survey(self) -> None:
        """Get the first list, by copies of the request until one is answered.

        It tells the clock, without which no lease can be asked for, and what an earlier
        leader left running. While one target has not told, no job of that leader can
        be started: where single answers get lost, the loss of one of 24 first lists
        had every such job given up, half a second after a leader fell silent.
        """
        settled: asyncio.Future[CallProblem | None] = (
            asyncio.get_running_loop().create_future()
        )
        for delay_s in FIRST_COPIES_AT_S:
            self._spawn(self._survey_copy(delay_s, settled))
        try:
            async with answer_timeout(FIRST_COPIES_AT_S[-1] + ANSWER_TIMEOUT_S):
                problem = await settled
        except TimeoutError:
            problem = NoAnswer(detail="no answer to the first requests")
        if problem is not None and not self._closed:
            self._take_problem(problem)
            await self._pause_after(problem)

    async def _survey_copy(
        self, delay_s: float, settled: "asyncio.Future[CallProblem | None]"
    ) -> None:
        await asyncio.sleep(delay_s)
        if settled.done():
            return
        problem = await self._take_list(
            wait_s=0.0, renew=False, timeout_s=ANSWER_TIMEOUT_S
        )
        if not isinstance(problem, NoAnswer) and not settled.done():
            settled.set_result(problem)

    async def _look(self) -> None:
        # A renewal would keep alive what its tasks' next runs must not overlap.
        await self._ask(wait_s=0.0, renew=False)

    async def _renew(self) -> None:
        self._is_renewing = True
        try:
            await self._ask(wait_s=0.0, renew=True)
        finally:
            self._is_renewing = False

    async def _ask(self, *, wait_s: float, renew: bool) -> None:
        asked_at = time.monotonic()
        timeout_s = ANSWER_TIMEOUT_S
        if not (wait_s or self._is_silent) and self._answer_loss.is_lossy(asked_at):
            timeout_s = self._answer_time.timeout_s(ANSWER_TIMEOUT_S)
        problem = await self._take_list(
            wait_s=wait_s, renew=renew, timeout_s=wait_s + timeout_s
        )
        if isinstance(problem, NoAnswer) and await self._answers_after(asked_at):
            return
        if problem is not None:
            self._take_problem(problem)
            await self._pause_after(problem)

    async def _answers_after(self, asked_at: float) -> bool:
        """Return whether a target lives that left a request unanswered.

        Single answers get lost while a target works on. Taken for silent at the first
        one, it gets no starts until it is heard again, and where a third of all orders
        is lost nearly every target is silent at any time and callers get nothing.
        """
        if self._is_silent:
            return False
        if self._answered_at > asked_at:
            self._answer_loss.note(time.monotonic())
            log_event(Event.TARGET_UNANSWERED, target=self.authority.target_id)
            return True
        if self._answer_loss.is_lossy(asked_at):
            return await self._answers_one_of(LOSSY_LOOKS)
        self._events.on_unanswered(self.authority.target_id)
        return await self._answers_one_of(1)

    async def _answers_one_of(self, looks: int) -> bool:
        """Ask again for a list until one comes; returns whether one did.

        The last one is waited for as long as ever: where answers take longer all at
        once, every target would count as silent by what was usual before.
        """
        timeouts_s = [self._answer_time.timeout_s(SECOND_LOOK_S)] * (looks - 1)
        for timeout_s in [*timeouts_s, SECOND_LOOK_S]:
            problem = await self._take_list(
                wait_s=0.0, renew=False, timeout_s=timeout_s
            )
            if problem is None:
                self._answer_loss.note(time.monotonic())
                return True
            if not isinstance(problem, NoAnswer):
                return False
        return False

    async def _take_list(
        self, *, wait_s: float, renew: bool, timeout_s: float
    ) -> CallProblem | None:
        """Ask once what runs there; returns why there is no answer, if so."""
        asked_at = time.monotonic()
        lease_until_ms = self._clock.lease_end(asked_at) if renew else None
        if lease_until_ms is not None:
            self._renewed_at = asked_at
        result = await self._calls.renew(
            self.authority,
            ended_seen=self._ended_seen(),
            lease_until_ms=lease_until_ms,
            wait_s=wait_s,
            timeout_s=timeout_s,
        )
        self._count("wait" if wait_s else "list", asked_at, _is_answered(result))
        if self._closed:
            return None
        match result:
            case Success(report):
                self._note_clock(report.clock_ms)
                if not wait_s:
                    self._answer_time.observe(time.monotonic() - asked_at)
                self._is_silent = False
                if report.ended and not wait_s:
                    self._ask_anew_if_unheard(asked_at)
                self._events.on_report(
                    self.authority.target_id, report, asked_at=asked_at
                )
                return None
            case Failure(problem):
                unanswered: CallProblem = problem
                return unanswered
        raise AssertionError("a result is a success or a failure")

    def _ask_anew_if_unheard(self, asked_at: float) -> None:
        """Replace the request that waits for ends, if it should have told of one.

        Lost, it is noticed only after its wait and its timeout, a second in all, and
        the ends of that second are heard of by periodic looks alone.
        """
        waiting = self._waiting
        if waiting is None or not self._answer_loss.is_lossy(asked_at):
            return
        if self._waiting_since < asked_at:
            waiting.cancel()

    async def _pause_after(self, problem: CallProblem) -> None:
        if not isinstance(problem, NoAnswer):
            await asyncio.sleep(RETRY_EVERY_S)

    async def _start(self, order: StartOrder) -> None:
        reply = await self._send_start(order)
        if self._closed:
            return
        if reply.clock_ms is not None:
            self._note_clock(reply.clock_ms)
        self._events.on_start_answer(
            self.authority.target_id,
            order.ref,
            order.number,
            reply.answer,
            reply.clock_ms,
        )
        if reply.answer is StartAnswer.OTHER_LIFE:
            self._take_problem(Gone(reason="other_life"))
        elif reply.answer is StartAnswer.UNREACHABLE:
            self._take_problem(NoAnswer(detail="connection refused"))

    async def _send_start(self, order: StartOrder) -> StartReply:
        """Send copies of an order until one is answered.

        Each names the same run, which a target starts once; one that is carried out
        late comes after the end of its lease or of its run, and is refused.
        """
        timeouts_s = [ORDER_TIMEOUT_S] * START_COPIES
        if self._answer_loss.is_lossy(time.monotonic()):
            short_s = self._answer_time.timeout_s(ORDER_TIMEOUT_S)
            timeouts_s = [short_s] * (LOSSY_START_COPIES - 1)
            timeouts_s.append(ORDER_TIMEOUT_S)
        reply = await self._send_copy(order, timeouts_s[0])
        for timeout_s in timeouts_s[1:]:
            if reply.answer is not StartAnswer.UNKNOWN or self._closed:
                return reply
            reply = await self._send_copy(order, timeout_s)
            if reply.answer is not StartAnswer.UNKNOWN:
                self._answer_loss.note(time.monotonic())
                return replace(reply, answer=_after_lost_copy(reply.answer))
        return reply

    async def _send_copy(self, order: StartOrder, timeout_s: float) -> StartReply:
        sent_at = time.monotonic()
        reply = await self._calls.start(
            self.authority,
            order,
            lease_until_ms=self._clock.lease_end(sent_at),
            timeout_s=timeout_s,
        )
        self._count("start", sent_at, reply.answer is not StartAnswer.UNKNOWN)
        if reply.answer is StartAnswer.SUPERSEDED and not self._closed:
            self._events.on_superseded(self.authority.target_id)
        return reply

    async def _stop(self, ref: TaskRef, number: int, is_uncertain: bool) -> None:
        sent_at = time.monotonic()
        stopped = await self._calls.stop(
            self.authority, ref, number, timeout_s=ORDER_TIMEOUT_S
        )
        self._count("stop", sent_at, _is_answered(stopped))
        match stopped:
            case Success(clock_ms):
                if not self._closed:
                    self._note_clock(clock_ms)
                    self._events.on_stop_answer(self.authority.target_id, ref, number)
                    if is_uncertain:
                        # A list from now on tells whether the run ever began. The
                        # next periodic one would hold its place ten times as long.
                        await self._ask(wait_s=0.0, renew=self._has_runs())
            case Failure(problem):
                # It is sent again while the target lists the run.
                if not self._closed and not isinstance(problem, NoAnswer):
                    self._take_problem(problem)

    def _count(self, kind: str, sent_at: float, answered: bool) -> None:
        answer_s = time.monotonic() - sent_at if answered else None
        self._load.count_request(kind, answer_s)

    def _take_problem(self, problem: CallProblem) -> None:
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

    def _note_clock(self, clock_ms: int) -> None:
        now = time.monotonic()
        self._answered_at = now
        self._clock.note(clock_ms, now)


def _is_answered(result: Result[Any, CallProblem]) -> bool:
    match result:
        case Failure(NoAnswer()):
            return False
    return True


def _after_lost_copy(answer: StartAnswer) -> StartAnswer:
    """Return what the answer to a copy tells of the run, if an earlier one got none.

    A refusal says nothing of the earlier copy. A cut resets the connection that carried
    it and refuses the next: taken for a start that never was, the task is started
    elsewhere and runs twice at once. Unknown, it is stopped or outlived first.
    """
    match answer:
        case StartAnswer.STARTED | StartAnswer.OTHER_LIFE:
            return answer
        case StartAnswer.OUTDATED:
            # The earlier copy began it, and it is over: the next list tells how.
            return StartAnswer.STARTED
        case _:
            return StartAnswer.UNKNOWN
