"""When a target that leaves requests unanswered counts as silent."""

import asyncio
import time

import pytest
from returns.result import Failure, Result, Success

from cassiaturn.entities import EndedRun, LeaseReport, RunEnd, StartAnswer, TaskRef
from cassiaturn.fleet._answer_loss import (
    SHORTEST_WAIT_S,
    AnswerLossMonitor,
    AnswerTimeEstimate,
)
from cassiaturn.fleet._leader_load import LeaderLoad
from cassiaturn.fleet._ports import Authority, CallProblem, NoAnswer, StartReply
from cassiaturn.fleet._target_link import TargetLink
from cassiaturn.fleet._target_timing import (
    LOOK_EVERY_S,
    LOSSY_LOOK_EVERY_S,
    MOST_LISTS_PER_S,
    ORDER_TIMEOUT_S,
    RENEW_EVERY_S,
    list_period_s,
)
from cassiaturn.observability import FleetMetrics
from cassiaturn.workload import StartOrder, WorkloadSettings

REF = TaskRef("5c0e7a21d94b36f8", 0, 0, 0)


class Calls:
    """A target whose lists come or not, as a test says; starts are answered."""

    def __init__(
        self, answers: list[bool], start_answers: tuple[StartAnswer, ...] = ()
    ) -> None:
        self._answers = answers
        self._start_answers = list(start_answers)
        self.asked = 0
        self.started: list[int] = []
        self.timeouts_s: list[float] = []
        self.answer_s = 0.0
        self.ended: tuple[EndedRun, ...] = ()

    async def renew(
        self, *args: object, timeout_s: float, **options: object
    ) -> Result[LeaseReport, CallProblem]:
        comes = self._answers[min(self.asked, len(self._answers) - 1)]
        self.asked += 1
        if not comes or self.answer_s > timeout_s:
            await asyncio.sleep(timeout_s)
            return Failure(NoAnswer(detail="lost"))
        await asyncio.sleep(self.answer_s)
        return Success(
            LeaseReport(clock_ms=1_000 + self.asked, running=(), ended=self.ended)
        )

    async def start(
        self,
        authority: Authority,
        order: StartOrder,
        *,
        timeout_s: float,
        **options: object,
    ) -> StartReply:
        self.started.append(order.number)
        self.timeouts_s.append(timeout_s)
        answer = self._start_answers.pop(0)
        clock_ms = None if answer is StartAnswer.UNKNOWN else 5_000
        return StartReply(answer=answer, clock_ms=clock_ms)


class Events:
    """Counts what a link tells."""

    def __init__(self) -> None:
        self.reports = 0
        self.silent = 0
        self.unanswered = 0
        self.superseded = 0
        self.start_answers: list[StartAnswer] = []

    def on_report(self, *args: object, **options: object) -> None:
        self.reports += 1

    def on_unanswered(self, target_id: str) -> None:
        self.unanswered += 1

    def on_silent(self, target_id: str) -> None:
        self.silent += 1

    def on_superseded(self, target_id: str) -> None:
        self.superseded += 1

    def on_lost(self, target_id: str, reason: str) -> None:
        """Nothing to count."""

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
        ([True], 0),  # every list comes
        ([False, True], 0),  # one is lost
        ([False, False, True], 1),  # two in a row
    ],
)
async def test_one_lost_list_does_not_silence_a_target(
    answers: list[bool], silent: int
) -> None:
    """A third of all answers is lost, while targets work on.

    Silent at the first loss, nearly every target gets no starts at any time, and
    callers wait for their limit beside idle workers. Two in a row are a cut.
    """
    calls = Calls(answers)
    events = Events()
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
async def test_the_first_list_is_asked_for_again_at_once(
    answers: list[bool], silent: int, within_s: float
) -> None:
    """A leader falls silent while a third of all answers is lost.

    The next one has the callers' jobs, and may start none before every target has told
    what it runs. One lost list used to be waited for until the callers were given up.
    """
    calls = Calls(answers)
    events = Events()
    link = _link(calls, events)
    began_at = time.monotonic()
    await link._survey()
    assert time.monotonic() - began_at < within_s
    assert events.reports == (not silent)
    assert events.silent == silent
    link.close()


async def test_a_target_that_answers_meanwhile_is_not_silent() -> None:
    """A list is lost, and a start that was sent after it is answered."""
    calls = Calls([False])
    events = Events()
    link = _link(calls, events)
    renewing = asyncio.ensure_future(link._renew())
    await asyncio.sleep(0.02)
    link._note_clock(7_000)
    await renewing
    assert events.silent == 0
    assert calls.asked == 1


LOST = StartAnswer.UNKNOWN


@pytest.mark.parametrize(
    ("answers", "told"),
    [
        ((StartAnswer.STARTED,), StartAnswer.STARTED),
        ((LOST, StartAnswer.STARTED), StartAnswer.STARTED),
        ((LOST, LOST, StartAnswer.STARTED), StartAnswer.STARTED),
        ((LOST, LOST, LOST), LOST),
        ((StartAnswer.NO_ROOM,), StartAnswer.NO_ROOM),
        ((StartAnswer.OUTDATED,), StartAnswer.OUTDATED),
        ((StartAnswer.UNREACHABLE,), StartAnswer.UNREACHABLE),
        # What a copy meets says nothing of the one before, which may have begun it.
        ((LOST, StartAnswer.UNREACHABLE), LOST),
        ((LOST, StartAnswer.NO_ROOM), LOST),
        ((LOST, StartAnswer.UNHEALTHY), LOST),
        ((LOST, StartAnswer.SUPERSEDED), LOST),
        ((LOST, StartAnswer.LATE), LOST),
        ((LOST, StartAnswer.OTHER_LIFE), StartAnswer.OTHER_LIFE),
        # The first copy began it, its answer was lost, and it is over already.
        ((LOST, StartAnswer.OUTDATED), StartAnswer.STARTED),
    ],
)
async def test_a_start_without_an_answer_is_sent_again(
    answers: tuple[StartAnswer, ...], told: StartAnswer
) -> None:
    """A fifth of all orders gets no answer, and some of them are carried out.

    Each holds its place and its caller until it is settled. A copy names the same run,
    of which a target starts one only, so that sending it again settles most of them at
    once; stopping it first and looking for it takes four times as long.
    A cut may swallow the first answer and refuse the copy's connection: taken for a
    start that never was, the task would be started elsewhere and run twice at once.
    """
    calls = Calls([True], answers)
    events = Events()
    link = _link(calls, events)
    await link._start(StartOrder(target_id="t", ref=REF, number=65, payload="x"))
    assert events.start_answers == [told]
    assert calls.started == [65] * len(answers)
    assert events.superseded == (answers[-1] is StartAnswer.SUPERSEDED)


async def test_ends_are_looked_for_sooner_where_answers_get_lost() -> None:
    """The request that waits for the next end was lost, and nobody can tell.

    Until it times out, places that are free look taken; with periodic lists at a
    third of a second, tasks of 60 ms use a fifth of their target.
    """
    calls = Calls([True, False, True])
    link = _link(calls, Events())
    for _ in range(3):
        await link._renew()
    asked = calls.asked
    link.tick(time.monotonic() + LOSSY_LOOK_EVERY_S)
    await asyncio.sleep(0.01)
    assert calls.asked == asked + 1


async def test_a_target_that_answers_nothing_says_nothing_of_the_others() -> None:
    """A target is cut off. Asking all others more often would only cost time then."""
    calls = Calls([False], (LOST, LOST, LOST))
    link = _link(calls, Events())
    await link._renew()
    await link._start(StartOrder(target_id="t", ref=REF, number=65, payload="x"))
    assert not link._answer_loss.is_lossy(time.monotonic())


async def test_copies_of_a_start_follow_sooner_where_answers_get_lost() -> None:
    """Three orders in twenty get no answer; a job of eight short tasks needs eight.

    With the timeout that a loaded host needs, three of four such jobs are late.
    """
    calls = Calls([True], (LOST, StartAnswer.STARTED, LOST, LOST, StartAnswer.STARTED))
    link = _link(calls, Events())
    for _ in range(50):
        link._answer_time.observe(0.004)
    order = StartOrder(target_id="t", ref=REF, number=65, payload="x")
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
async def test_a_target_is_asked_more_often_where_answers_get_lost(
    answers: list[bool], silent: int
) -> None:
    """Three lists in ten are lost. Silent after two of them, and paused after each, one
    target in three gets nothing at any time, and callers wait beside idle workers.
    """
    events = Events()
    link = _link(Calls(answers), events)
    link._answer_loss.note(time.monotonic())
    began_at = time.monotonic()
    await link._renew()
    assert events.silent == silent
    assert events.unanswered == 0
    assert time.monotonic() - began_at < 0.6
    link.close()


@pytest.mark.parametrize(
    ("answer_s", "timeout_s"),
    [(0.001, SHORTEST_WAIT_S), (0.005, 0.02), (0.04, 0.08)],
)
def test_an_answer_is_waited_for_by_what_is_usual(
    answer_s: float, timeout_s: float
) -> None:
    usual = AnswerTimeEstimate()
    for _ in range(100):
        usual.observe(answer_s)
    assert usual.timeout_s(0.08) == pytest.approx(timeout_s, rel=0.01)


async def test_targets_that_answer_more_slowly_than_usual_are_not_silent() -> None:
    """Answers get lost, and those that come take ten times as long from now on.

    By what was usual every target would fall silent at once, and callers get nothing
    until answers count as sound again.
    """
    calls = Calls([True])
    calls.answer_s = 0.06
    events = Events()
    link = _link(calls, events)
    for _ in range(100):
        link._answer_time.observe(0.003)
    link._answer_loss.note(time.monotonic())
    await link._renew()
    assert events.silent == 0
    assert events.reports == 1
    link.close()


async def test_a_lost_request_for_ends_is_replaced_when_a_list_tells_of_one() -> None:
    """The request that waits for the next end was lost; a periodic list tells of it.

    Left alone, it would hold up the news of every end for a second more.
    """
    calls = Calls([True])
    link = _link(calls, Events())
    link._answer_loss.note(time.monotonic())
    lost = asyncio.get_running_loop().create_future()
    link._waiting = asyncio.ensure_future(asyncio.wait_for(lost, 5.0))
    link._waiting_since = time.monotonic()
    await asyncio.sleep(0.002)
    calls.ended = (EndedRun(sequence=1, ref=REF, run=1, end=RunEnd.DONE),)
    await link._renew()
    await asyncio.sleep(0)
    assert lost.cancelled()


async def test_a_sound_target_is_not_looked_at_more_often() -> None:
    calls = Calls([True])
    link = _link(calls, Events())
    for _ in range(3):
        await link._renew()
    link.tick(time.monotonic() + LOSSY_LOOK_EVERY_S)
    await asyncio.sleep(0.01)
    assert calls.asked == 3


def _link(calls: Calls, events: Events) -> TargetLink:
    return TargetLink(
        authority=Authority(target_id="t", address="127.0.0.1:1", token=1),
        calls=calls,  # type: ignore[arg-type]
        events=events,  # type: ignore[arg-type]
        has_runs=lambda: True,
        has_tight_runs=lambda: False,
        ended_seen=lambda: 0,
        targets=lambda: 1,
        answer_loss=AnswerLossMonitor(),
        load=LeaderLoad(metrics=FleetMetrics(member_name="m", failure_domain="a")),
        settings=WorkloadSettings(),
    )


@pytest.mark.parametrize("wished_s", [LOSSY_LOOK_EVERY_S, LOOK_EVERY_S, RENEW_EVERY_S])
@pytest.mark.parametrize("targets", [1, 24, 75, 270, 450])
def test_lists_of_all_targets_together_are_bounded(
    wished_s: float, targets: int
) -> None:
    """Answers get lost, and each of hundreds of targets is asked twenty times a second.

    The leader reads them late, so that more count as lost; it is asked for more lists,
    and callers get nothing while no target is at fault.
    """
    period_s = list_period_s(wished_s, targets=targets)
    assert targets / period_s <= MOST_LISTS_PER_S * 1.001
    assert wished_s <= period_s <= RENEW_EVERY_S


def test_a_few_targets_are_asked_as_often_as_one() -> None:
    assert list_period_s(LOSSY_LOOK_EVERY_S, targets=24) == LOSSY_LOOK_EVERY_S
