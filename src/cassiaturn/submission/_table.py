"""Keeps the home's record of every submission, and makes submission idempotent.

Load pattern: callers resubmit jobs that they believe lost, to any instance and while
the first attempt still runs. The home alone decides about a submission, and its first
final answer is the only one.

Without the table, a resubmission would start its tasks again. Memory is bounded by
the number of records and by the bytes of results. A submission whose record was
removed is answered "not run" where that is certain and "unknown" otherwise, and is
never started again.
"""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from types import MappingProxyType

from cassiaturn.entities import Answer, Outcome, Ran, Reason
from cassiaturn.submission._invariant import InvariantError
from cassiaturn.submission._record import (
    Expired,
    Joined,
    Mismatched,
    Offload,
    Opened,
    Opening,
    Settled,
    SubmissionRecord,
)
from cassiaturn.submission._retained import RetainedResults
from cassiaturn.submission._settings import SubmissionSettings
from cassiaturn.submission._ticket import MalformedTicket, Ticket, parse_ticket

_MS_PER_S = 1000
_FULL_RETRY_MS = 1000


class SubmissionTable:
    """Submission records by id, and the rules by which they change.

    Open an id that a caller chose only after the claim ledger returned
    ``ClaimGranted`` for it, and a ticket only if it names this incarnation.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        settings: SubmissionSettings,
        booted_at: float = 0.0,
    ) -> None:
        """Create an empty table.

        :param incarnation: incarnation of this process, the home of its tickets.
        :param settings: limits of records and results.
        :param booted_at: monotonic time of the start of this process, in seconds.
        """
        self._incarnation = incarnation
        self._settings = settings
        self._booted_at = booted_at
        self._records_by_id: dict[str, SubmissionRecord] = {}
        self._settled_by_id: dict[str, SubmissionRecord] = {}
        self._retained = RetainedResults(incarnation=incarnation, settings=settings)
        self._adopted_ids: set[str] = set()
        # Latest issue times of tickets whose records were evicted, for all answers
        # but "not run" and for "not run".
        self._evicted_until_ms = -1
        self._evicted_not_run_until_ms = -1

    @property
    def records_by_id(self) -> Mapping[str, SubmissionRecord]:
        """All records, as a read-only view."""
        return MappingProxyType(self._records_by_id)

    @property
    def result_bytes(self) -> int:
        """Bytes of results in memory."""
        return self._retained.total_bytes

    @property
    def running(self) -> int:
        """Number of records without a final answer."""
        return len(self._records_by_id) - len(self._settled_by_id)

    def get(self, submission_id: str) -> SubmissionRecord | None:
        """Return the record of a submission, or None if there is none."""
        return self._records_by_id.get(submission_id)

    def open(
        self,
        *,
        submission_id: str,
        fingerprint: bytes,
        tasks_total: int,
        now: float,
        adopted: bool = False,
        owner: str = "",
    ) -> Opening:
        """Accept a submission, or return why it is not started.

        :param submission_id: a ticket of this incarnation, or a claimed id.
        :param fingerprint: see :func:`fingerprint_of`.
        :param tasks_total: number of tasks of the submission.
        :param now: monotonic time, in seconds.
        :param adopted: whether its home ended and this incarnation is the
            successor. The age of the ticket is not checked then, since it was
            issued on the clock of the ended home.
        :param owner: tenant that submits it.
        :returns: the outcome; the tasks may start only if it is ``Opened``.
        :raises InvariantError: the ticket is malformed or of another incarnation.
        """
        record = self._records_by_id.get(submission_id)
        if record is not None:
            return _reopen(record, fingerprint)
        if adopted and not self._may_adopt(submission_id):
            return Expired(answer=self.forgotten_answer(submission_id))
        ticket = None if adopted else self._own_ticket(submission_id)
        if ticket is not None:
            expired = self._expired_answer(ticket, now)
            if expired is not None:
                return Expired(answer=expired)
        record = SubmissionRecord(
            submission_id=submission_id,
            fingerprint=fingerprint,
            owner=owner,
            tasks_total=tasks_total,
            opened_at=now,
            issued_ms=None if ticket is None else ticket.issued_ms,
            adopted=adopted,
            possible_starts=1 if adopted else 0,
        )
        return self._admit(record, now, adopted=adopted)

    def begin(self, submission_id: str) -> bool:
        """Register a start; call it directly before the start is sent.

        :returns: whether the start may be sent. False once the answer is final, so
            that a submission which was refused or cancelled starts nothing later. If
            True, the task counts as possibly run until :meth:`refused` is called.
        """
        record = self._records_by_id.get(submission_id)
        if record is None or record.is_settled:
            return False
        record.possible_starts += 1
        return True

    def refused(self, submission_id: str) -> None:
        """Report that a target finally refused a start, so that it never ran.

        :raises InvariantError: more starts were refused than begun.
        """
        record = self._records_by_id.get(submission_id)
        if record is None:
            return
        if record.possible_starts == 0:
            raise InvariantError(f"{submission_id}: more refusals than starts")
        record.possible_starts -= 1

    def settle(self, answer: Answer, now: float) -> Answer:
        """Record an answer; the first final one is kept.

        :param answer: answer of the home; ``UNKNOWN`` is kept until a final answer
            replaces it.
        :param now: monotonic time, in seconds.
        :returns: the answer that callers get from now on.
        :raises InvariantError: there is no such record, the answer is ``PENDING``,
            a ``COMPLETE`` one lacks results, another one has results, or it is
            ``NOT_RUN`` while a start may have run.
        """
        record = self._records_by_id.get(answer.submission_id)
        if record is None:
            raise InvariantError(
                f"{answer.submission_id}: answer for a submission never opened"
            )
        if record.is_settled and record.answer is not None:
            return record.answer
        answer = _correct_adopted(record, answer)
        _check_answer(record, answer)
        record.answer = answer
        if answer.is_final:
            self._settle_record(record, now)
        return answer

    def expire(self, now: float) -> int:
        """Remove settled records whose retention ended.

        :param now: monotonic time, in seconds.
        :returns: the number of records removed.
        """
        settled_until = now - self._settings.retention_s
        count = 0
        while self._settled_by_id:
            record = next(iter(self._settled_by_id.values()))
            if record.settled_at is None or record.settled_at > settled_until:
                break
            self._forget(record)
            count += 1
        return count

    def to_offload(self, now: float) -> Sequence[Offload]:
        """Return results to write to the object store.

        Each is returned once, and again after :meth:`offload_failed`.

        :param now: monotonic time, in seconds; not used.
        """
        del now
        return self._retained.take_due()

    def offloaded(self, submission_id: str, object_key: str) -> None:
        """Report that the object store holds the results.

        :param object_key: key of the :class:`Offload`.
        """
        record = self._records_by_id.get(submission_id)
        if record is None or record.answer is None or not record.offload_asked:
            return
        record.answer = replace(record.answer, results=(), result_object=object_key)
        self._retained.drop(record)

    def offload_failed(self, submission_id: str) -> None:
        """Report that the results could not be written to the object store."""
        record = self._records_by_id.get(submission_id)
        if record is not None:
            self._retained.requeue(record)

    def forgotten_answer(self, submission_id: str) -> Answer:
        """Return the answer for an id of this home whose record was removed.

        Use it also for a claim that names this incarnation without a record here.
        """
        return Answer.unknown(
            submission_id,
            Reason.EXPIRED,
            "The home keeps no record of this submission any more.",
        )

    def _may_adopt(self, submission_id: str) -> bool:
        # Each submission is adopted at most once by an incarnation. Targets are asked
        # only for the runs of the ended home, so a second adoption, after the record
        # was removed, would repeat the tasks that this incarnation ran itself.
        if submission_id in self._adopted_ids:
            return False
        if len(self._adopted_ids) >= self._settings.max_adopted:
            return False
        self._adopted_ids.add(submission_id)
        return True

    def _own_ticket(self, submission_id: str) -> Ticket | None:
        match parse_ticket(submission_id):
            case MalformedTicket(problem=problem):
                raise InvariantError(
                    f"{submission_id}: malformed ticket was opened: {problem}"
                )
            case Ticket() as ticket if ticket.home != self._incarnation:
                raise InvariantError(
                    f"{submission_id}: ticket of another home was opened"
                )
            case ticket:
                return ticket

    def _expired_answer(self, ticket: Ticket, now: float) -> Answer | None:
        age_s = now - self._booted_at - ticket.issued_ms / _MS_PER_S
        is_in_time = 0 <= age_s <= self._settings.ticket_valid_s
        may_be_evicted = ticket.issued_ms <= self._evicted_until_ms
        may_be_evicted_not_run = ticket.issued_ms <= self._evicted_not_run_until_ms
        if is_in_time and not may_be_evicted and not may_be_evicted_not_run:
            return None
        # The record of a ticket that was opened in time is kept at least until
        # retention_s after the issue, unless it is evicted. Without a record before
        # then, the ticket was never opened and cannot be opened any more.
        if not may_be_evicted and age_s < self._settings.retention_s:
            return self._refusal(ticket.submission_id, Reason.EXPIRED, retry_ms=0)
        return self.forgotten_answer(ticket.submission_id)

    def _admit(self, record: SubmissionRecord, now: float, *, adopted: bool) -> Opening:
        self._make_room()
        self._records_by_id[record.submission_id] = record
        is_full = (
            len(self._records_by_id) > self._settings.max_records
            or self._retained.is_full
        )
        # The ended home may have begun an adopted submission, so a full table must
        # not answer "not run" for it; max_adopted bounds their number.
        if adopted or not is_full:
            return Opened(record=record)
        refusal = self._refusal(
            record.submission_id, Reason.OVERLOAD, retry_ms=_FULL_RETRY_MS
        )
        record.answer = refusal
        self._settle_record(record, now)
        self._make_room()
        return Settled(answer=refusal)

    def _refusal(self, submission_id: str, reason: Reason, *, retry_ms: int) -> Answer:
        return Answer(
            submission_id=submission_id,
            outcome=Outcome.NOT_RUN,
            ran=Ran.NOTHING,
            reason=reason,
            retry_after_ms=retry_ms,
        )

    def _settle_record(self, record: SubmissionRecord, now: float) -> None:
        record.settled_at = now
        self._settled_by_id[record.submission_id] = record
        self._retained.add(record)

    def _make_room(self) -> None:
        """Evict the oldest settled records until a new one fits.

        Tickets issued no later than an evicted one can no longer open a submission;
        otherwise its resubmission would start the same tasks again. The latest evicted
        issue time is enough to know, since a home issues tickets in order; there is
        one for "not run" and one for other answers.
        """
        while len(self._records_by_id) >= self._settings.max_records:
            record = next(iter(self._settled_by_id.values()), None)
            if record is None:
                return
            self._raise_watermark(record)
            self._forget(record)

    def _raise_watermark(self, record: SubmissionRecord) -> None:
        if record.issued_ms is None or record.answer is None:
            return
        if record.answer.outcome is Outcome.NOT_RUN:
            self._evicted_not_run_until_ms = max(
                self._evicted_not_run_until_ms, record.issued_ms
            )
        else:
            self._evicted_until_ms = max(self._evicted_until_ms, record.issued_ms)

    def _forget(self, record: SubmissionRecord) -> None:
        del self._records_by_id[record.submission_id]
        del self._settled_by_id[record.submission_id]
        self._retained.drop(record)


def _reopen(record: SubmissionRecord, fingerprint: bytes) -> Opening:
    if record.fingerprint != fingerprint:
        return Mismatched(submission_id=record.submission_id)
    if record.is_settled and record.answer is not None:
        return Settled(answer=record.answer)
    return Joined(record=record)


def _correct_adopted(record: SubmissionRecord, answer: Answer) -> Answer:
    # A successor adopts only submissions that a target reports as begun. If one is
    # then refused for another reason (its tenant is gone, its deadline passed), the
    # answer "not run" would be wrong, and its caller would repeat work already done.
    if not record.adopted or answer.outcome is not Outcome.NOT_RUN:
        return answer
    return replace(answer, outcome=Outcome.FAILED, ran=Ran.MAYBE, retry_after_ms=0)


def _check_answer(record: SubmissionRecord, answer: Answer) -> None:
    if answer.outcome is Outcome.PENDING:
        raise InvariantError(f"{record.submission_id}: recorded answer is pending")
    if answer.outcome is Outcome.COMPLETE:
        is_whole = len(answer.results) == record.tasks_total
        if not is_whole and not answer.result_object:
            raise InvariantError(
                f"{record.submission_id}: complete answer lacks results"
            )
    elif answer.results:
        raise InvariantError(
            f"{record.submission_id}: results in an answer that is not complete"
        )
    if answer.outcome is Outcome.NOT_RUN and record.possible_starts:
        raise InvariantError(
            f"{record.submission_id}: answered not run, but may have started"
        )
