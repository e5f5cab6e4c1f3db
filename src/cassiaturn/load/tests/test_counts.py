import pytest

from cassiaturn.entities import Answer, Outcome, Ran, TaskKey
from cassiaturn.load import CallerAnswer, PlannedJob, RunCounts, count_run
from cassiaturn.standins import JournalEntry, JournalEvent, reply_to

ONCE = "kwabena.v1.Props/OrderDeck"
REPEATABLE = "kwabena.v1.Props/CheckAvailability"
PAYLOADS = [b"\x0a\x01a", b"\x0a\x01b"]


def results(submission_id: str = "s", method: str = ONCE) -> list[bytes]:
    return [
        reply_to(method=method, payload=payload, key=TaskKey(submission_id, index))
        for index, payload in enumerate(PAYLOADS)
    ]


def sending(answer: Answer, *, method: str = ONCE) -> CallerAnswer:
    job = PlannedJob(
        at_s=0.0,
        method=method,
        tenant="t",
        caller="c",
        payloads=PAYLOADS,
        deadline_s=1.0,
        own_id="",
        instance=0,
        other_instance=1,
        resubmit_after_s=None,
    )
    return CallerAnswer(
        job=job, submission_id="s", answer=answer, response_s=0.1, is_first=True
    )


def entry(
    event: JournalEvent,
    at_us: int,
    *,
    index: int = 0,
    attempt: int = 1,
    target: str = "a",
    outcome: str = "",
) -> JournalEntry:
    return JournalEntry(
        event=event,
        target_id=target,
        submission_id="s",
        task_index=index,
        attempt=attempt,
        outcome=outcome,
        at_us=at_us,
    )


def started(at_us: int, *, attempt: int = 1, target: str = "a") -> JournalEntry:
    return entry(JournalEvent.STARTED, at_us, attempt=attempt, target=target)


def ended(at_us: int, *, attempt: int = 1, target: str = "a") -> JournalEntry:
    return entry(
        JournalEvent.ENDED, at_us, attempt=attempt, target=target, outcome="FAILED"
    )


def counts_of(
    answers: list[CallerAnswer],
    entries: list[JournalEntry],
    killed: dict[str, list[int]] | None = None,
) -> RunCounts:
    return count_run(
        answers,
        entries,
        repeatable_by_method={ONCE: False, REPEATABLE: True},
        killed_at_us_by_target=killed or {},
    )


COMPLETE = Answer(submission_id="s", outcome=Outcome.COMPLETE, results=results())
NOT_RUN = Answer(submission_id="s", outcome=Outcome.NOT_RUN, ran=Ran.NOTHING)
SILENCE = Answer(submission_id="s", outcome=Outcome.UNKNOWN)
UNKNOWN = Answer(submission_id="s", outcome=Outcome.UNKNOWN, ran=Ran.MAYBE)
FAILED = Answer(submission_id="s", outcome=Outcome.FAILED, ran=Ran.SOME)


@pytest.mark.parametrize(
    ("answers", "broken"),
    [
        ([COMPLETE], None),
        ([COMPLETE, COMPLETE], None),
        ([SILENCE, COMPLETE], None),
        ([UNKNOWN], None),
        ([SILENCE], "lost"),
        ([NOT_RUN], "false_not_run"),
        ([COMPLETE, FAILED], "contradictory"),
        (
            [
                Answer(
                    submission_id="s",
                    outcome=Outcome.COMPLETE,
                    results=results()[:1],
                )
            ],
            "partial",
        ),
        (
            [Answer(submission_id="s", outcome=Outcome.FAILED, results=results())],
            "partial",
        ),
        (
            [
                Answer(
                    submission_id="s",
                    outcome=Outcome.COMPLETE,
                    results=results("other"),
                )
            ],
            "foreign",
        ),
        (
            [
                Answer(
                    submission_id="other",
                    outcome=Outcome.COMPLETE,
                    results=results(),
                )
            ],
            "foreign",
        ),
    ],
)
def test_answers(answers: list[Answer], broken: str | None) -> None:
    counts = counts_of([sending(answer) for answer in answers], [started(1)])
    assert counts.jobs == 1
    assert counts.invariants_hold == (broken is None)
    if broken is not None:
        assert getattr(counts, broken) == 1


@pytest.mark.parametrize(
    ("entries", "method", "killed", "twice", "restarted"),
    [
        ([started(1), ended(2)], ONCE, {}, 0, 0),
        ([started(1), started(2, target="b")], ONCE, {}, 1, 0),
        ([started(1), started(2, target="b")], REPEATABLE, {}, 1, 0),
        ([started(1), ended(2), started(3, attempt=2)], ONCE, {}, 1, 0),
        ([started(1), ended(2), started(3, attempt=2)], REPEATABLE, {}, 0, 1),
        ([started(1), ended(1), started(1, attempt=2)], REPEATABLE, {}, 0, 1),
        (
            [started(1), started(3, attempt=2, target="b")],
            REPEATABLE,
            {"a": [2]},
            0,
            1,
        ),
        (
            [started(1), started(3, attempt=2, target="b")],
            REPEATABLE,
            {"a": [4]},
            1,
            0,
        ),
        ([started(3, attempt=2, target="b"), started(1), ended(2)], ONCE, {}, 1, 0),
    ],
)
def test_starts(
    entries: list[JournalEntry],
    method: str,
    killed: dict[str, list[int]],
    twice: int,
    restarted: int,
) -> None:
    """Runners begin a task again.

    A caller must never get two decks; a repeatable check may run again, but
    only once its earlier run is over, or died with its runner.
    """
    counts = counts_of([sending(FAILED, method=method)], entries, killed)
    assert (counts.started_twice, counts.restarted) == (twice, restarted)
