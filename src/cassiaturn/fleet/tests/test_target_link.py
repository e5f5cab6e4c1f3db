"""Tests how a target link deals with lost answers and silent targets."""

import asyncio
import time

import pytest
from returns.result import Failure, Result, Success

from cassiaturn.entities import EndedRun, LeaseReport, RunEnd, StartAnswer, TaskRef
from cassiaturn.fleet._answer_loss import (
    MIN_TIMEOUT_S,
    AnswerLossMonitor,
    AnswerTimeEstimate,
)
from cassiaturn.fleet._leader_load import LeaderLoad
from cassiaturn.fleet._ports import Authority, CallProblem, NoAnswer, StartReply
from cassiaturn.fleet._target_link import TargetLink, _wait_for_end
from cassiaturn.fleet._target_timing import (
    LOSSY_RENEW_PERIOD_S,
    MAX_LISTS_PER_S,
    ORDER_TIMEOUT_S,
    RENEW_PERIOD_S,
    TIGHT_RENEW_PERIOD_S,
    list_period_s,
)
from cassiaturn.observability import FleetMetrics
from cassiaturn.workload import StartOrder, WorkloadSettings

REF = TaskRef("5c0e7a21d94b36f8", 0, 0, 0)


class FakeTargetCalls:
    """A target that answers or loses list requests as a test says.

    :param answers: whether each list arrives; the last value repeats.
    :param start_answers: answers to the start orders.
    """

    def __init__(
        self, answers: list[bool], start_answers: tuple[StartAnswer, ...] = ()
    ) -> None:
        self._answers = answers
        self._start_answers = list(start_answers)
        self.asked = 0
        self.started: list[int] = []
        self.timeouts_s: list[float] = []
        self.start_leases_ms: list[int | None] = []
        self.answer_s = 0.0
        self.ended: tuple[EndedRun, ...] = ()
        self.incarnation = 0
        self.ended_seen: list[int] = []

    async def renew(
        self, *args: object, ended_seen: int, timeout_s: float, **options: object
    ) -> Result[LeaseReport, CallProblem]:
        self.ended_seen.append(ended_seen)
        arrives = self._answers[min(self.asked, len(self._answers) - 1)]
        self.asked += 1
        if not arrives or self.answer_s > timeout_s:
            await asyncio.sleep(timeout_s)
            return Failure(NoAnswer(detail="lost"))
        await asyncio.sleep(self.answer_s)
        return Success(
            LeaseReport(
                clock_ms=1_000 + self.asked,
                running=(),
                ended=self.ended,
                incarnation=self.incarnation,
            )
        )

    async def start(
        self,
        authority: Authority,
        order: StartOrder,
        *,
        timeout_s: float,
        lease_until_ms: int | None,
        **options: object,
    ) -> StartReply:
        self.started.append(order.number)
        self.start_leases_ms.append(lease_until_ms)
        self.timeouts_s.append(timeout_s)
        answer = self._start_answers.pop(0)
        clock_ms = None if answer is StartAnswer.UNKNOWN else 5_000
        return StartReply(answer=answer, clock_ms=clock_ms)


class RecordedEvents:
    """Records the events of a link."""

    def __init__(self) -> None:
        self.reports = 0
        self.silent = 0
        self.unanswered = 0
        self.superseded = 0
        self.restarted: list[int] = []
        self.start_answers: list[StartAnswer] = []

    def on_report(self, *args: object, **options: object) -> None:
        self.reports += 1

    def on_unanswered(self, target_id: str) -> None:
        self.unanswered += 1

    def on_silent(self, target_id: str) -> None:
        self.silent += 1

    def on_superseded(self, target_id: str) -> None:
        self.superseded += 1

    def on_restarted(self, target_id: str, incarnation: int) -> None:
        self.restarted.append(incarnation)

    def on_clock_ahead(self, target_id: str, ahead_s: float, *, since: float) -> None:
        """Ignore the event."""

    def on_lost(self, target_id: str, reason: str) -> None:
        """Ignore the event."""

    def on_start_answer(
        self,
        target_id: str,
        ref: TaskRef,
        number: int,
        answer: StartAnswer,
        clock_ms: int | None,
    ) -> None:
        self.start_answers.append(answer)


@pytest.mark.parametrize(
    ("answers", "silent"),
    [
        ([True], 0),  # every list arrives
        ([False, True], 0),  # one is lost
        ([False, False, True], 1),  # two in a row are lost
    ],
)
async def test_one_lost_list_does_not_make_a_target_silent(
    answers: list[bool], silent: int
) -> None:
    """A third of all answers is lost although targets are working.

    If one loss made a target count as silent, nearly every target would get no starts
    at any time, and callers would wait for their deadlines while workers are idle. Two
    losses in a row count as a network partition.
    """
    calls = FakeTargetCalls(answers)
    events = RecordedEvents()
    link = _link(calls, events)
    await link._renew()
    assert events.silent == silent
    assert events.unanswered == (not answers[0])


@pytest.mark.parametrize(
    ("answers", "silent", "within_s"),
    [
        ([True], 0, 0.02),
        ([False, True], 0, 0.08),
        ([False, False, False, True], 0, 0.14),
        ([False], 1, 0.4),
    ],
)
async def test_lost_first_list_is_requested_again_quickly(
    answers: list[bool], silent: int, within_s: float
) -> None:
    """A leader falls silent while a third of all answers is lost.

    Its successor gets the callers' jobs, but may start none before every target has
    reported its runs. With a single request, waiting for one lost list took so long
    that the jobs were given up.
    """
    calls = FakeTargetCalls(answers)
    events = RecordedEvents()
    link = _link(calls, events)
    began_at = time.monotonic()
    await link._fetch_first_list()
    assert time.monotonic() - began_at < within_s
    assert events.reports == (not silent)
    assert events.silent == silent
    link.close()


async def test_target_with_another_answer_meanwhile_is_not_silent() -> None:
    """A list is lost, and an order sent after its request is answered.

    The target is working; if it counted as silent, it would get no starts.
    """
    calls = FakeTargetCalls([False])
    events = RecordedEvents()
    link = _link(calls, events)
    renewing = asyncio.ensure_future(link._renew())
    await asyncio.sleep(0.02)
    link._record_clock(7_000, link._life)
    await renewing
    assert events.silent == 0
    assert calls.asked == 1


UNANSWERED = StartAnswer.UNKNOWN


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ((StartAnswer.STARTED,), StartAnswer.STARTED),
        ((UNANSWERED, StartAnswer.STARTED), StartAnswer.STARTED),
        ((UNANSWERED, UNANSWERED, StartAnswer.STARTED), StartAnswer.STARTED),
        ((UNANSWERED, UNANSWERED, UNANSWERED), UNANSWERED),
        ((StartAnswer.NO_ROOM,), StartAnswer.NO_ROOM),
        ((StartAnswer.OUTDATED,), StartAnswer.OUTDATED),
        ((StartAnswer.UNREACHABLE,), StartAnswer.UNREACHABLE),
        # A refusal says nothing of the earlier attempt, which may have started the run.
        ((UNANSWERED, StartAnswer.UNREACHABLE), UNANSWERED),
        ((UNANSWERED, StartAnswer.NO_ROOM), UNANSWERED),
        ((UNANSWERED, StartAnswer.UNHEALTHY), UNANSWERED),
        ((UNANSWERED, StartAnswer.SUPERSEDED), UNANSWERED),
        ((UNANSWERED, StartAnswer.LATE), UNANSWERED),
        ((UNANSWERED, StartAnswer.OTHER_LIFE), StartAnswer.OTHER_LIFE),
        # The first attempt started it, its answer was lost, and the run has ended.
        ((UNANSWERED, StartAnswer.OUTDATED), StartAnswer.STARTED),
    ],
)
async def test_unanswered_start_is_sent_again(
    answers: tuple[StartAnswer, ...], expected: StartAnswer
) -> None:
    """A fifth of all orders gets no answer, and some of them are carried out.

    Each one blocks a slot and a caller until it is resolved. Starts are idempotent, so
    sending them again resolves most of them at once; stopping the run and requesting a
    list takes four times as long.
    A network partition may drop the first answer and refuse the second connection. If
    that counted as a start that never happened, the task would be started elsewhere and
    run twice at the same time.
    """
    calls = FakeTargetCalls([True], answers)
    events = RecordedEvents()
    link = _link(calls, events)
    await link._start(
        StartOrder(
            target_id="t", ref=REF, number=65, payload="x", decided_at=time.monotonic()
        )
    )
    assert events.start_answers == [expected]
    assert calls.started == [65] * len(answers)
    assert events.superseded == (answers[-1] is StartAnswer.SUPERSEDED)


async def test_lists_are_requested_more_often_while_answers_are_lost() -> None:
    """The long poll is lost, which only its timeout shows.

    Until then free slots look occupied: with periodic lists at a third of a second,
    tasks of 60 ms use a fifth of their target.
    """
    calls = FakeTargetCalls([True, False, True])
    link = _link(calls, RecordedEvents())
    for _ in range(3):
        await link._renew()
    requests_before = calls.asked
    link.tick(time.monotonic() + LOSSY_RENEW_PERIOD_S)
    await asyncio.sleep(0.01)
    assert calls.asked == requests_before + 1


async def test_unreachable_target_does_not_count_as_lost_answers() -> None:
    """A target is unreachable. Polling all others more often would only cost time."""
    calls = FakeTargetCalls([False], (UNANSWERED, UNANSWERED, UNANSWERED))
    link = _link(calls, RecordedEvents())
    await link._renew()
    await link._start(
        StartOrder(
            target_id="t", ref=REF, number=65, payload="x", decided_at=time.monotonic()
        )
    )
    assert not link._answer_loss.is_lossy(time.monotonic())


async def test_starts_are_repeated_sooner_while_answers_are_lost() -> None:
    """Three orders in twenty get no answer, and a job of eight tasks needs eight.

    With the timeout that a loaded host needs, three of four such jobs are late.
    """
    calls = FakeTargetCalls(
        [True],
        (UNANSWERED, StartAnswer.STARTED, UNANSWERED, UNANSWERED, StartAnswer.STARTED),
    )
    link = _link(calls, RecordedEvents())
    for _ in range(50):
        link._answer_time.observe(0.004)
    order = StartOrder(
        target_id="t", ref=REF, number=65, payload="x", decided_at=time.monotonic()
    )
    await link._start(order)
    assert calls.timeouts_s == [ORDER_TIMEOUT_S] * 2
    await link._start(order)
    short_s, again_s, last_s = calls.timeouts_s[2:]
    assert short_s == again_s == last_s == link._answer_time.timeout_s(1.0)
    assert short_s < ORDER_TIMEOUT_S


@pytest.mark.parametrize(
    ("answers", "silent"),
    [([False, False, False, True], 0), ([False], 1)],
)
async def test_lost_list_is_retried_more_often_while_answers_are_lost(
    answers: list[bool], silent: int
) -> None:
    """Three lists in ten are lost.

    If two losses made a target count as silent, with a pause after each, one target in
    three would get no starts at any time, and callers would wait for idle workers.
    """
    events = RecordedEvents()
    link = _link(FakeTargetCalls(answers), events)
    link._answer_loss.record_loss(time.monotonic())
    began_at = time.monotonic()
    await link._renew()
    assert events.silent == silent
    assert events.unanswered == 0
    assert time.monotonic() - began_at < 0.6
    link.close()


@pytest.mark.parametrize(
    ("answer_s", "timeout_s"),
    [(0.001, MIN_TIMEOUT_S), (0.005, 0.02), (0.04, 0.08)],
)
def test_timeout_follows_the_mean_answer_time(
    answer_s: float, timeout_s: float
) -> None:
    estimate = AnswerTimeEstimate()
    for _ in range(100):
        estimate.observe(answer_s)
    assert estimate.timeout_s(0.08) == pytest.approx(timeout_s, rel=0.01)


async def test_suddenly_slower_targets_are_not_silent() -> None:
    """Answers are lost, and those that arrive suddenly take twenty times as long.

    With timeouts derived from earlier answers, every target would count as silent at
    once, and no jobs would complete until answers no longer count as lossy.
    """
    calls = FakeTargetCalls([True])
    calls.answer_s = 0.06
    events = RecordedEvents()
    link = _link(calls, events)
    for _ in range(100):
        link._answer_time.observe(0.003)
    link._answer_loss.record_loss(time.monotonic())
    await link._renew()
    assert events.silent == 0
    assert events.reports == 1
    link.close()


async def test_lost_long_poll_is_restarted_when_a_list_reports_an_ended_run() -> None:
    """The long poll is lost, and a periodic list reports a run that has ended.

    If it were not restarted, ended runs would be reported late for another second.
    """
    calls = FakeTargetCalls([True])
    link = _link(calls, RecordedEvents())
    link._answer_loss.record_loss(time.monotonic())
    lost_answer = asyncio.get_running_loop().create_future()
    link._long_poll = asyncio.ensure_future(asyncio.wait_for(lost_answer, 5.0))
    link._long_poll_sent_at = time.monotonic()
    await asyncio.sleep(0.002)
    calls.ended = (EndedRun(sequence=1, ref=REF, run=1, end=RunEnd.DONE),)
    await link._renew()
    await asyncio.sleep(0)
    assert lost_answer.cancelled()


async def test_a_long_poll_that_is_cancelled_or_fails_does_not_end_the_polling() -> (
    None
):
    """A link restarts its long poll, or one fails; its target is polled on.

    Otherwise ended runs of that target would be reported by periodic lists only, and
    by none while it has no runs. A link that is closed stops.
    """
    restarted = asyncio.ensure_future(asyncio.sleep(5.0))
    asyncio.get_running_loop().call_soon(restarted.cancel)
    await _wait_for_end(restarted)
    assert restarted.cancelled()

    async def fail() -> None:
        raise AssertionError

    await _wait_for_end(asyncio.ensure_future(fail()))
    polling = asyncio.ensure_future(
        _wait_for_end(asyncio.ensure_future(asyncio.sleep(5.0)))
    )
    await asyncio.sleep(0.001)
    polling.cancel()
    await asyncio.wait([polling])
    assert polling.cancelled()


async def test_lists_are_not_requested_more_often_without_losses() -> None:
    calls = FakeTargetCalls([True])
    link = _link(calls, RecordedEvents())
    for _ in range(3):
        await link._renew()
    link.tick(time.monotonic() + LOSSY_RENEW_PERIOD_S)
    await asyncio.sleep(0.01)
    assert calls.asked == 3


async def test_a_start_on_a_drained_target_is_not_repeated() -> None:
    """Guards against a copy of a start after its failure domain was drained."""
    calls = FakeTargetCalls([True], (StartAnswer.UNKNOWN, StartAnswer.STARTED))
    events = RecordedEvents()
    link = _link(calls, events, may_start=False)
    await link._start(
        StartOrder(
            target_id="t", ref=REF, number=65, payload="x", decided_at=time.monotonic()
        )
    )
    assert calls.started == [65]
    assert events.start_answers == [StartAnswer.UNKNOWN]


def _link(
    calls: FakeTargetCalls, events: RecordedEvents, *, may_start: bool = True
) -> TargetLink:
    return TargetLink(
        authority=Authority(target_id="t", address="127.0.0.1:1", token=1),
        calls=calls,  # type: ignore[arg-type]
        events=events,  # type: ignore[arg-type]
        has_runs=lambda: True,
        has_tight_runs=lambda: False,
        may_start=lambda: may_start,
        targets=lambda: 1,
        answer_loss=AnswerLossMonitor(),
        load=LeaderLoad(metrics=FleetMetrics(member_name="m", failure_domain="a")),
        settings=WorkloadSettings(),
    )


@pytest.mark.parametrize(
    "preferred_s", [LOSSY_RENEW_PERIOD_S, TIGHT_RENEW_PERIOD_S, RENEW_PERIOD_S]
)
@pytest.mark.parametrize("targets", [1, 24, 75, 270, 450])
def test_rate_of_lists_from_all_targets_is_bounded(
    preferred_s: float, targets: int
) -> None:
    """Answers are lost, and hundreds of targets are polled twenty times a second each.

    The leader would read their lists late, count them as lost too and request more. No
    jobs would complete, although no target has a fault.
    """
    period_s = list_period_s(preferred_s, targets=targets)
    assert targets / period_s <= MAX_LISTS_PER_S * 1.001
    assert preferred_s <= period_s <= RENEW_PERIOD_S


def test_few_targets_are_polled_as_often_as_one() -> None:
    assert list_period_s(LOSSY_RENEW_PERIOD_S, targets=24) == LOSSY_RENEW_PERIOD_S


async def test_a_start_that_was_decided_before_a_pause_has_expired() -> None:
    """Guards against a resumed leader whose queued starts are carried out.

    The process is paused after the decision, and its successor starts the task on
    another target. Each attempt to send the order must name a time that has passed.
    """
    calls = FakeTargetCalls([True], (StartAnswer.UNKNOWN, StartAnswer.LATE))
    link = _link(calls, RecordedEvents())
    await link._renew()
    decided_at = time.monotonic() - 1.5
    await link._start(
        StartOrder(
            target_id="t", ref=REF, number=65, payload="x", decided_at=decided_at
        )
    )
    clock_ms = 1_000 + calls.asked
    assert calls.started == [65, 65]
    assert all(end is not None and end < clock_ms for end in calls.start_leases_ms)


@pytest.mark.parametrize(
    ("incarnations", "restarts", "reports"),
    [
        ([0, 0], [], 2),  # the platform does not tell
        ([7, 7], [], 2),
        ([0, 7, 7], [], 3),
        ([7, 8], [8], 2),
        ([8, 7], [7], 2),  # the time of day was set back
        ([7, 8, 7, 8], [8], 3),  # an answer of the earlier process is read late
    ],
)
async def test_a_restarted_target_is_told_by_its_lists(
    incarnations: list[int], restarts: list[int], reports: int
) -> None:
    """Guards against values of one process that are compared with those of the next."""
    calls = FakeTargetCalls([True])
    events = RecordedEvents()
    link = _link(calls, events)
    for calls.incarnation in incarnations:
        await link._fetch_list(wait_s=0.0, renew=True, timeout_s=0.1)
    assert events.restarted == restarts
    assert events.reports == reports


async def test_no_end_is_acknowledged_to_a_target_that_may_have_restarted() -> None:
    """Guards against ends of a new process that it forgets before they are read."""
    calls = FakeTargetCalls([True, False, True])
    link = _link(calls, RecordedEvents())
    calls.incarnation = 7
    for _ in range(4):
        await link._fetch_list(wait_s=0.0, renew=True, timeout_s=0.01)
        link.note_ends(57, ())
    calls.incarnation = 8
    for _ in range(2):
        await link._fetch_list(wait_s=0.0, renew=True, timeout_s=0.01)
    assert calls.ended_seen == [0, 57, 0, 57, 57, 0]
