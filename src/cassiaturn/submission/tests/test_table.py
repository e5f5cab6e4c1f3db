"""Submission table: one final answer, and no start after it."""

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
FINGERPRINT = fingerprint_of(method="a.B/C", tasks=[b"x", b"y"])
SETTINGS = SubmissionSettings(
    ticket_valid_s=30,
    retention_s=120,
    max_records=3,
    max_result_bytes=100,
    inline_bytes=40,
)


def make_table() -> SubmissionTable:
    return SubmissionTable(incarnation=HOME, settings=SETTINGS)


def ticket(sequence: int, issued_ms: int = 0) -> str:
    return f"t1.{HOME}.{sequence}.{issued_ms}"


def open_submission(
    table: SubmissionTable,
    submission_id: str,
    *,
    now: float = 0.0,
    fingerprint: bytes = FINGERPRINT,
    adopted: bool = False,
) -> Opening:
    return table.open(
        submission_id=submission_id,
        fingerprint=fingerprint,
        tasks_total=2,
        now=now,
        adopted=adopted,
    )


def answer_of(submission_id: str, outcome: Outcome, size: int = 5) -> Answer:
    results = (b"r" * size, b"s" * size) if outcome is Outcome.COMPLETE else ()
    return Answer(submission_id=submission_id, outcome=outcome, results=results)


def test_resubmission_gets_the_first_answer() -> None:
    """
    A caller believes its job lost and submits it again while it runs, and once more
    after its end. It gets one answer, and the tasks start once.
    """
    table = make_table()
    done = answer_of(ticket(0), Outcome.COMPLETE)

    assert isinstance(open_submission(table, ticket(0)), Opened)
    assert isinstance(open_submission(table, ticket(0)), Joined)
    assert table.settle(done, 1.0) == done
    assert open_submission(table, ticket(0)) == Settled(answer=done)
    assert table.settle(answer_of(ticket(0), Outcome.FAILED), 2.0) == done


def test_nothing_starts_after_not_run() -> None:
    """
    The home refuses a submission with "not run" while its tasks are still queued.
    None of them may start later.
    """
    table = make_table()
    open_submission(table, ticket(0))
    table.settle(answer_of(ticket(0), Outcome.NOT_RUN), 1.0)

    assert table.begin(ticket(0)) is False
    assert isinstance(open_submission(table, ticket(0)), Settled)


def test_not_run_requires_every_start_refused() -> None:
    """A start that no target refused may have run, so "not run" could be false."""
    table = make_table()
    open_submission(table, ticket(0))
    assert table.begin(ticket(0))

    with pytest.raises(InvariantError):
        table.settle(answer_of(ticket(0), Outcome.NOT_RUN), 1.0)
    table.refused(ticket(0))
    not_run = answer_of(ticket(0), Outcome.NOT_RUN)
    assert table.settle(not_run, 1.0) == not_run


@pytest.mark.parametrize(
    "inconsistent",
    [
        Answer(submission_id=ticket(0), outcome=Outcome.COMPLETE, results=(b"r",)),
        Answer(submission_id=ticket(0), outcome=Outcome.FAILED, results=(b"r",)),
        Answer(submission_id=ticket(0), outcome=Outcome.PENDING),
        Answer(submission_id=ticket(1), outcome=Outcome.FAILED),
    ],
)
def test_inconsistent_answer_raises(inconsistent: Answer) -> None:
    """A caller would get an answer that contradicts itself or its submission."""
    table = make_table()
    open_submission(table, ticket(0))

    with pytest.raises(InvariantError):
        table.settle(inconsistent, 1.0)


def test_final_answer_replaces_unknown() -> None:
    table = make_table()
    open_submission(table, ticket(0))
    table.settle(answer_of(ticket(0), Outcome.UNKNOWN), 1.0)

    assert isinstance(open_submission(table, ticket(0)), Joined)
    done = answer_of(ticket(0), Outcome.COMPLETE)
    assert table.settle(done, 2.0) == done


def test_different_request_with_same_id_is_mismatched() -> None:
    """A caller that reuses an id must not get the answer to another request."""
    table = make_table()
    open_submission(table, ticket(0))
    table.settle(answer_of(ticket(0), Outcome.COMPLETE), 1.0)

    opening = open_submission(table, ticket(0), fingerprint=b"other")

    assert opening == Mismatched(submission_id=ticket(0))


@pytest.mark.parametrize(
    ("now", "outcome"),
    [(31.0, Outcome.NOT_RUN), (119.0, Outcome.NOT_RUN), (120.0, Outcome.UNKNOWN)],
)
def test_expired_ticket_opens_nothing(now: float, outcome: Outcome) -> None:
    """
    A submission arrives after its ticket expired. While a record would still be
    kept, its absence proves "not run"; later the answer is "unknown".
    """
    opening = open_submission(make_table(), ticket(0), now=now)

    assert isinstance(opening, Expired)
    assert (opening.answer.outcome, opening.answer.reason) == (outcome, Reason.EXPIRED)


@pytest.mark.parametrize(
    ("settled", "expected"),
    [(Outcome.COMPLETE, Outcome.UNKNOWN), (Outcome.NOT_RUN, Outcome.NOT_RUN)],
)
def test_evicted_submission_does_not_start_again(
    settled: Outcome, expected: Outcome
) -> None:
    """
    The table is full of settled jobs, and the oldest record is evicted. Its caller
    resubmits before the ticket expires; a new record would start the tasks again.
    """
    table = make_table()
    for sequence in range(3):
        submission_id = ticket(sequence, issued_ms=sequence)
        open_submission(table, submission_id, now=1.0)
        table.settle(answer_of(submission_id, settled), 1.0)
    assert isinstance(open_submission(table, ticket(3, issued_ms=3), now=1.0), Opened)
    assert table.get(ticket(0)) is None

    opening = open_submission(table, ticket(0), now=2.0)

    assert isinstance(opening, Expired)
    assert opening.answer.outcome is expected


def test_refusal_by_a_full_table_is_final() -> None:
    """A resubmission after records were freed must not start refused tasks."""
    table = make_table()
    for sequence in range(3):
        open_submission(table, ticket(sequence))

    opening = open_submission(table, ticket(3))

    assert isinstance(opening, Settled)
    assert opening.answer.outcome is Outcome.NOT_RUN
    assert opening.answer.reason is Reason.OVERLOAD
    table.settle(answer_of(ticket(0), Outcome.FAILED), 1.0)
    again = open_submission(table, ticket(3), now=2.0)
    assert isinstance(again, Settled | Expired)
    assert again.answer.outcome is Outcome.NOT_RUN


def test_results_are_offloaded_and_memory_is_bounded() -> None:
    """
    Results fill the memory. Large ones go to the object store at once, others when
    half of the memory is used, oldest first; until they are stored, new jobs are
    refused. A resubmission gets the key of the stored results.
    """
    table = make_table()
    open_submission(table, ticket(0))
    table.settle(answer_of(ticket(0), Outcome.COMPLETE, size=50), 1.0)
    refused = open_submission(table, ticket(1))
    assert isinstance(refused, Settled)

    (offload,) = table.to_offload(1.0)
    assert table.to_offload(1.0) == []
    table.offload_failed(ticket(0))
    assert [one.submission_id for one in table.to_offload(1.0)] == [ticket(0)]
    table.offloaded(ticket(0), offload.object_key)

    assert table.result_bytes == 0
    settled = open_submission(table, ticket(0))
    assert isinstance(settled, Settled)
    assert settled.answer.result_object == offload.object_key
    assert settled.answer.outcome is Outcome.COMPLETE
    assert settled.answer.results == ()


def test_small_results_are_offloaded_oldest_first() -> None:
    table = make_table()
    for sequence in range(3):
        open_submission(table, ticket(sequence))
        done = answer_of(ticket(sequence), Outcome.COMPLETE, size=15)
        table.settle(done, 1.0)

    moved = [one.submission_id for one in table.to_offload(1.0)]

    assert moved == [ticket(0), ticket(1)]
    assert table.result_bytes == 90


def test_records_are_removed_after_their_retention() -> None:
    table = make_table()
    open_submission(table, ticket(0))
    open_submission(table, ticket(1))
    table.settle(answer_of(ticket(0), Outcome.COMPLETE), 1.0)

    assert table.expire(120.9) == 0
    assert table.expire(121.0) == 1
    assert (len(table.records_by_id), table.running, table.result_bytes) == (1, 1, 0)


def test_ticket_of_another_home_raises() -> None:
    """Two homes that open the same ticket would both start its tasks."""
    with pytest.raises(InvariantError):
        open_submission(make_table(), "t1.osu-2~18c0000000011223344.0.0")


def test_successor_adopts_a_submission_once() -> None:
    """
    A successor ran a job of a dead home, and removed its record after the retention.
    A late resubmission finds no record. Targets know only the dead home's runs of the
    job, not the successor's own, so adopting it again would run it twice.
    """
    table = make_table()
    other = "t1.osu-2~18c0000000011223344.0.0"
    assert isinstance(open_submission(table, other, adopted=True), Opened)
    table.settle(answer_of(other, Outcome.COMPLETE), 1.0)
    table.expire(1000.0)

    opening = open_submission(table, other, now=1000.0, adopted=True)

    assert isinstance(opening, Expired)
    assert opening.answer.outcome is Outcome.UNKNOWN
    assert opening.answer.ran is Ran.MAYBE


def test_full_successor_still_adopts_a_job() -> None:
    """
    A home dies with one task of a job done, and the table of its successor is full.
    With "not run" as the answer, the caller would repeat work that was already done.
    """
    table = make_table()
    for sequence in range(3):
        open_submission(table, ticket(sequence))

    other = "t1.osu-2~18c0000000011223344.0.0"

    assert isinstance(open_submission(table, other, adopted=True), Opened)


def test_successor_answers_failed_instead_of_not_run() -> None:
    """
    A home dies with one task of a job begun. Its successor adopts the job and then
    refuses it, since its tenant was removed or its deadline passed before another
    start. "Not run" would be a wrong answer.
    """
    table = make_table()
    other = "t1.osu-2~18c0000000011223344.0.0"
    open_submission(table, other, adopted=True)
    assert table.begin(other)
    table.refused(other)

    settled = table.settle(answer_of(other, Outcome.NOT_RUN), 1.0)

    assert (settled.outcome, settled.ran) == (Outcome.FAILED, Ran.MAYBE)
    assert open_submission(table, other, adopted=True) == Settled(answer=settled)


def test_fingerprint_depends_on_task_boundaries() -> None:
    """Different requests with the same joined bytes must not share an answer."""
    fingerprints = {
        fingerprint_of(method="m", tasks=[b"ab"]),
        fingerprint_of(method="m", tasks=[b"a", b"b"]),
        fingerprint_of(method="ma", tasks=[b"b"]),
        fingerprint_of(method="m", tasks=[b"b", b"a"]),
    }

    assert len(fingerprints) == 4
