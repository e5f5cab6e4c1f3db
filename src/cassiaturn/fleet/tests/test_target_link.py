"""When a target that leaves requests unanswered counts as silent."""

import asyncio

import pytest
from returns.result import Failure, Result, Success

from cassiaturn.entities import LeaseReport, StartAnswer
from cassiaturn.fleet._ports import Authority, CallProblem, NoAnswer, StartReply
from cassiaturn.fleet._target_link import TargetLink
from cassiaturn.workload import WorkloadSettings


class Calls:
    """A target whose lists come or not, as a test says; starts are answered."""

    def __init__(self, answers: list[bool]) -> None:
        self._answers = answers
        self.asked = 0

    async def renew(
        self, *args: object, timeout_s: float, **options: object
    ) -> Result[LeaseReport, CallProblem]:
        comes = self._answers[min(self.asked, len(self._answers) - 1)]
        self.asked += 1
        if not comes:
            await asyncio.sleep(timeout_s)
            return Failure(NoAnswer(detail="lost"))
        return Success(LeaseReport(clock_ms=1_000 + self.asked, running=(), ended=()))

    async def start(self, *args: object, **options: object) -> StartReply:
        return StartReply(answer=StartAnswer.STARTED, clock_ms=5_000)


class Events:
    """Counts what a link tells."""

    def __init__(self) -> None:
        self.reports = 0
        self.silent = 0
        self.unanswered = 0

    def on_report(self, *args: object, **options: object) -> None:
        self.reports += 1

    def on_unanswered(self, target_id: str) -> None:
        self.unanswered += 1

    def on_silent(self, target_id: str) -> None:
        self.silent += 1

    def on_start_answer(self, *args: object) -> None:
        """Nothing to count."""


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


def _link(calls: Calls, events: Events) -> TargetLink:
    return TargetLink(
        authority=Authority(target_id="t", address="127.0.0.1:1", token=1),
        calls=calls,  # type: ignore[arg-type]
        events=events,  # type: ignore[arg-type]
        has_runs=lambda: True,
        has_tight_runs=lambda: False,
        ended_seen=lambda: 0,
        settings=WorkloadSettings(),
    )
