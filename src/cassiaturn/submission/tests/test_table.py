"""The home's record: one final answer, and nothing started after it."""

import pytest

from cassiaturn.entities import Answer, Outcome, Ran, Reason
from cassiaturn.submission import (
    Expired,
    InvariantError,
    Joined,
    Mismatched,
    Opened,
    Opening,
    Settled,
    SubmissionSettings,
    SubmissionTable,
    fingerprint_of,
)

HOME = "osu-1~18c0000000011223344"
PRINT = fingerprint_of(method="a.B/C", tasks=[b"x", b"y"])
SETTINGS = SubmissionSettings(
    ticket_valid_s=30,
    retention_s=120,
    max_records=3,
    max_result_bytes=100,
    inline_bytes=40,
)


def table() -> SubmissionTable:
    return SubmissionTable(incarnation=HOME, settings=SETTINGS)


def ticket(sequence: int, issued_ms: int = 0) -> str:
    return f"t1.{HOME}.{sequence}.{issued_ms}"


def open_one(
    rows: SubmissionTable,
    submission_id: str,
    *,
    now: float = 0.0,
    fingerprint: bytes = PRINT,
    adopted: bool = False,
) -> Opening:
    return rows.open(
        submission_id=submission_id,
        fingerprint=fingerprint,
        tasks_total=2,
        now=now,
        adopted=adopted,
    )


def answer_of(submission_id: str, outcome: Outcome, size: int = 5) -> Answer:
    results = (b"r" * size, b"s" * size) if outcome is Outcome.COMPLETE else ()
    return Answer(submission_id=submission_id, outcome=outcome, results=results)


def test_a_resubmission_gets_the_first_answer() -> None:
    """
    A caller submits, believes the job lost and submits again while it runs, and a
    third time after its end. It is told one answer, and the tasks start once.
    """
    rows = table()
    done = answer_of(ticket(0), Outcome.COMPLETE)

    assert isinstance(open_one(rows, ticket(0)), Opened)
    assert isinstance(open_one(rows, ticket(0)), Joined)
    assert rows.settle(done, 1.0) == done
    assert open_one(rows, ticket(0)) == Settled(answer=done)
    assert rows.settle(answer_of(ticket(0), Outcome.FAILED), 2.0) == done


def test_not_run_is_binding() -> None:
    """
    The home refuses a submission, and the caller hears "not run". Its tasks are
    still in a queue; when their turn comes, none may start.
    """
    rows = table()
    open_one(rows, ticket(0))
    rows.settle(answer_of(ticket(0), Outcome.NOT_RUN), 1.0)

    assert rows.begin(ticket(0)) is False
    assert isinstance(open_one(rows, ticket(0)), Settled)


def test_not_run_needs_every_start_denied() -> None:
    rows = table()
    open_one(rows, ticket(0))
    assert rows.begin(ticket(0))

    with pytest.raises(InvariantError):
        rows.settle(answer_of(ticket(0), Outcome.NOT_RUN), 1.0)
    rows.refused(ticket(0))
    not_run = answer_of(ticket(0), Outcome.NOT_RUN)
    assert rows.settle(not_run, 1.0) == not_run


@pytest.mark.parametrize(
    "broken",
    [
        Answer(submission_id=ticket(0), outcome=Outcome.COMPLETE, results=(b"r",)),
        Answer(submission_id=ticket(0), outcome=Outcome.FAILED, results=(b"r",)),
        Answer(submission_id=ticket(0), outcome=Outcome.PENDING),
        Answer(submission_id=ticket(1), outcome=Outcome.FAILED),
    ],
)
def test_an_answer_that_breaks_a_promise_is_not_recorded(broken: Answer) -> None:
    rows = table()
    open_one(rows, ticket(0))

    with pytest.raises(InvariantError):
        rows.settle(broken, 1.0)


def test_an_unknown_answer_gives_way_to_a_final_one() -> None:
    rows = table()
    open_one(rows, ticket(0))
    rows.settle(answer_of(ticket(0), Outcome.UNKNOWN), 1.0)

    assert isinstance(open_one(rows, ticket(0)), Joined)
    done = answer_of(ticket(0), Outcome.COMPLETE)
    assert rows.settle(done, 2.0) == done


def test_another_request_under_an_id_learns_nothing() -> None:
    rows = table()
    open_one(rows, ticket(0))
    rows.settle(answer_of(ticket(0), Outcome.COMPLETE), 1.0)

    opening = open_one(rows, ticket(0), fingerprint=b"other")

    assert opening == Mismatched(submission_id=ticket(0))


@pytest.mark.parametrize(
    ("now", "outcome"),
    [(31.0, Outcome.NOT_RUN), (119.0, Outcome.NOT_RUN), (120.0, Outcome.UNKNOWN)],
)
def test_a_late_ticket_opens_nothing(now: float, outcome: Outcome) -> None:
    """
    A resubmission arrives after its ticket's time. While a record would still be
    kept, its absence proves "not run"; later nobody can say.
    """
    opening = open_one(table(), ticket(0), now=now)

    assert isinstance(opening, Expired)
    assert (opening.answer.outcome, opening.answer.reason) == (outcome, Reason.EXPIRED)


@pytest.mark.parametrize(
    ("settled", "told"),
    [(Outcome.COMPLETE, Outcome.UNKNOWN), (Outcome.NOT_RUN, Outcome.NOT_RUN)],
)
def test_a_record_evicted_early_starts_nothing_again(
    settled: Outcome, told: Outcome
) -> None:
    """
    The table is full of settled jobs, and the oldest makes room. Its caller
    resubmits in the ticket's time; a new row would start the tasks again.
    """
    rows = table()
    for sequence in range(3):
        submission_id = ticket(sequence, issued_ms=sequence)
        open_one(rows, submission_id, now=1.0)
        rows.settle(answer_of(submission_id, settled), 1.0)
    assert isinstance(open_one(rows, ticket(3, issued_ms=3), now=1.0), Opened)
    assert rows.get(ticket(0)) is None

    opening = open_one(rows, ticket(0), now=2.0)

    assert isinstance(opening, Expired)
    assert opening.answer.outcome is told


def test_a_full_table_refuses_for_good() -> None:
    rows = table()
    for sequence in range(3):
        open_one(rows, ticket(sequence))

    opening = open_one(rows, ticket(3))

    assert isinstance(opening, Settled)
    assert opening.answer.outcome is Outcome.NOT_RUN
    assert opening.answer.reason is Reason.OVERLOAD
    rows.settle(answer_of(ticket(0), Outcome.FAILED), 1.0)
    again = open_one(rows, ticket(3), now=2.0)
    assert isinstance(again, Settled | Expired)
    assert again.answer.outcome is Outcome.NOT_RUN


def test_results_are_offloaded_and_memory_is_bounded() -> None:
    """
    Answers of several jobs fill the memory. Large ones go to the object store at
    once, others when half is used, oldest first; until they are there, new jobs
    are refused. A resubmission is told where the results are.
    """
    rows = table()
    open_one(rows, ticket(0))
    rows.settle(answer_of(ticket(0), Outcome.COMPLETE, size=50), 1.0)
    refused = open_one(rows, ticket(1))
    assert isinstance(refused, Settled)

    (offload,) = rows.to_offload(1.0)
    assert rows.to_offload(1.0) == []
    rows.offload_failed(ticket(0))
    assert [one.submission_id for one in rows.to_offload(1.0)] == [ticket(0)]
    rows.offloaded(ticket(0), offload.object_key)

    assert rows.result_bytes == 0
    settled = open_one(rows, ticket(0))
    assert isinstance(settled, Settled)
    assert settled.answer.result_object == offload.object_key
    assert settled.answer.outcome is Outcome.COMPLETE
    assert settled.answer.results == ()


def test_small_results_are_offloaded_oldest_first() -> None:
    rows = table()
    for sequence in range(3):
        open_one(rows, ticket(sequence))
        done = answer_of(ticket(sequence), Outcome.COMPLETE, size=15)
        rows.settle(done, 1.0)

    moved = [one.submission_id for one in rows.to_offload(1.0)]

    assert moved == [ticket(0), ticket(1)]
    assert rows.result_bytes == 90


def test_rows_end_with_their_retention() -> None:
    rows = table()
    open_one(rows, ticket(0))
    open_one(rows, ticket(1))
    rows.settle(answer_of(ticket(0), Outcome.COMPLETE), 1.0)

    assert rows.expire(120.9) == 0
    assert rows.expire(121.0) == 1
    assert (len(rows.records_by_id), rows.running, rows.result_bytes) == (1, 1, 0)


def test_a_ticket_of_another_home_is_never_opened() -> None:
    with pytest.raises(InvariantError):
        open_one(table(), "t1.osu-2~18c0000000011223344.0.0")


def test_a_successor_accepts_a_submission_once() -> None:
    """
    A successor ran a dead home's job, and forgot the row after its retention. A
    late resubmission finds no row; the targets of the dead home know nothing of
    the successor's own runs, so it must not decide again.
    """
    rows = table()
    other = "t1.osu-2~18c0000000011223344.0.0"
    assert isinstance(open_one(rows, other, adopted=True), Opened)
    rows.settle(answer_of(other, Outcome.COMPLETE), 1.0)
    rows.expire(1000.0)

    opening = open_one(rows, other, now=1000.0, adopted=True)

    assert isinstance(opening, Expired)
    assert opening.answer.outcome is Outcome.UNKNOWN
    assert opening.answer.ran is Ran.MAYBE


def test_a_full_successor_does_not_call_begun_work_not_run() -> None:
    """
    A home dies with one task of a job done. Its successor is full; a refusal as
    "not run" would tell the caller to order again what has been shipped.
    """
    rows = table()
    for sequence in range(3):
        open_one(rows, ticket(sequence))

    other = "t1.osu-2~18c0000000011223344.0.0"

    assert isinstance(open_one(rows, other, adopted=True), Opened)


def test_a_successor_never_calls_begun_work_not_run() -> None:
    """
    A home dies with one task of a job begun. Its successor takes the job, and then
    refuses it: its tenant is gone, or its deadline passed before another start.
    """
    rows = table()
    other = "t1.osu-2~18c0000000011223344.0.0"
    open_one(rows, other, adopted=True)
    assert rows.begin(other)
    rows.refused(other)

    settled = rows.settle(answer_of(other, Outcome.NOT_RUN), 1.0)

    assert (settled.outcome, settled.ran) == (Outcome.FAILED, Ran.MAYBE)
    assert open_one(rows, other, adopted=True) == Settled(answer=settled)


def test_fingerprints_tell_the_borders_of_tasks() -> None:
    prints = {
        fingerprint_of(method="m", tasks=[b"ab"]),
        fingerprint_of(method="m", tasks=[b"a", b"b"]),
        fingerprint_of(method="ma", tasks=[b"b"]),
        fingerprint_of(method="m", tasks=[b"b", b"a"]),
    }

    assert len(prints) == 4
