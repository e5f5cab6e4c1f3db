"""The home's record of every submission that it was given.

Load pattern: callers resubmit what they believe lost, to any instance and while
the first attempt still runs. The table makes the home the one place that decides,
and the first final answer the only one.

Without it a resubmission starts its tasks again. Memory is bounded by records and
by bytes of results; what was forgotten is answered as unknown or as not run,
whichever is certain, and never started again.
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
    """Rows of submissions by id, and the rules by which they change.

    Open a caller's own id only after the ledger said ``ClaimGranted`` for it, and a
    ticket only if it names this incarnation.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        settings: SubmissionSettings,
        booted_at: float = 0.0,
    ) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._booted_at = booted_at
        self._records_by_id: dict[str, SubmissionRecord] = {}
        self._settled_by_id: dict[str, SubmissionRecord] = {}
        self._retained = RetainedResults(incarnation=incarnation, settings=settings)
        self._adopted_ids: set[str] = set()
        self._forgotten_ms = -1
        self._refused_ms = -1

    @property
    def records_by_id(self) -> Mapping[str, SubmissionRecord]:
        """Every row, for reading only."""
        return MappingProxyType(self._records_by_id)

    @property
    def result_bytes(self) -> int:
        """Bytes of results in memory."""
        return self._retained.total_bytes

    @property
    def running(self) -> int:
        """Rows without a final answer."""
        return len(self._records_by_id) - len(self._settled_by_id)

    def get(self, submission_id: str) -> SubmissionRecord | None:
        """Return the row of a submission, if it is kept."""
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
        """Accept a submission, or say what stands in its place.

        :param submission_id: a ticket of this incarnation, or a claimed id.
        :param fingerprint: see :func:`fingerprint_of`.
        :param tasks_total: tasks of the submission.
        :param now: monotonic time, in seconds.
        :param owner: tenant that submits it.
        :param adopted: whether its home ended and this incarnation is the
            successor; the ticket's age is on the dead home's clock then.
        :raises InvariantError: the ticket is another incarnation's.
        """
        record = self._records_by_id.get(submission_id)
        if record is not None:
            return _reopen(record, fingerprint)
        if adopted and not self._may_adopt(submission_id):
            return Expired(answer=self.forgotten_answer(submission_id))
        ticket = None if adopted else self._own_ticket(submission_id)
        if ticket is not None:
            expired = self._expired(ticket, now)
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
        """Ask, directly before a start is sent, whether it may be.

        :returns: False once the answer is final, so that a submission which was
            refused or cancelled starts nothing later. True counts the start as
            possible until :meth:`refused` takes it back.
        """
        record = self._records_by_id.get(submission_id)
        if record is None or record.is_settled:
            return False
        record.possible_starts += 1
        return True

    def refused(self, submission_id: str) -> None:
        """Report that a target denied a start for good, so it never ran.

        :raises InvariantError: more starts were denied than begun.
        """
        record = self._records_by_id.get(submission_id)
        if record is None:
            return
        if record.possible_starts == 0:
            raise InvariantError(f"{submission_id}: more refusals than starts")
        record.possible_starts -= 1

    def settle(self, answer: Answer, now: float) -> Answer:
        """Record an answer; the first final one stands.

        :param answer: what the home would tell; ``UNKNOWN`` is kept until a final
            answer replaces it.
        :param now: monotonic time, in seconds.
        :returns: what callers are told from now on.
        :raises InvariantError: no such row, an incomplete ``COMPLETE``, or
            ``NOT_RUN`` while a start may have run.
        """
        record = self._records_by_id.get(answer.submission_id)
        if record is None:
            raise InvariantError(f"{answer.submission_id}: settled, never opened")
        if record.is_settled and record.answer is not None:
            return record.answer
        answer = _true_answer(record, answer)
        _check_answer(record, answer)
        record.answer = answer
        if answer.is_final:
            self._settle_row(record, now)
        return answer

    def expire(self, now: float) -> int:
        """Forget settled rows whose retention ended.

        :param now: monotonic time, in seconds.
        :returns: the number of rows forgotten.
        """
        oldest_kept = now - self._settings.retention_s
        count = 0
        while self._settled_by_id:
            record = next(iter(self._settled_by_id.values()))
            if record.settled_at is None or record.settled_at > oldest_kept:
                break
            self._forget(record)
            count += 1
        return count

    def to_offload(self, now: float) -> Sequence[Offload]:
        """Return results that are to be moved to the object store.

        Each is returned once; :meth:`offload_failed` offers it again.

        :param now: monotonic time, in seconds.
        """
        del now
        return self._retained.take_due()

    def offloaded(self, submission_id: str, object_key: str) -> None:
        """Report that the object store holds the results.

        :param object_key: the key of the :class:`Offload`.
        """
        record = self._records_by_id.get(submission_id)
        if record is None or record.answer is None or not record.offload_asked:
            return
        record.answer = replace(record.answer, results=(), result_object=object_key)
        self._retained.drop(record)

    def offload_failed(self, submission_id: str) -> None:
        """Report that the object store did not take the results."""
        record = self._records_by_id.get(submission_id)
        if record is not None:
            self._retained.offer_again(record)

    def forgotten_answer(self, submission_id: str) -> Answer:
        """Return what is true of an id that was this home's and has no row.

        Use it for a claim that names this incarnation without a row here.
        """
        return Answer.unknown(
            submission_id,
            Reason.EXPIRED,
            "The home keeps no record of this submission any more.",
        )

    def _may_adopt(self, submission_id: str) -> bool:
        # Targets are asked for the dead home's runs only. Adopted a second time,
        # after its row was forgotten, a submission would start again what this
        # incarnation itself ran; so each is adopted once in its life.
        if submission_id in self._adopted_ids:
            return False
        if len(self._adopted_ids) >= self._settings.max_adopted:
            return False
        self._adopted_ids.add(submission_id)
        return True

    def _own_ticket(self, submission_id: str) -> Ticket | None:
        match parse_ticket(submission_id):
            case MalformedTicket(problem=problem):
                raise InvariantError(f"{submission_id}: opened, but {problem}")
            case Ticket() as ticket if ticket.home != self._incarnation:
                raise InvariantError(f"{submission_id}: opened away from its home")
            case ticket:
                return ticket

    def _expired(self, ticket: Ticket, now: float) -> Answer | None:
        age_s = now - self._booted_at - ticket.issued_ms / _MS_PER_S
        in_time = 0 <= age_s <= self._settings.ticket_valid_s
        lost_row = ticket.issued_ms <= self._forgotten_ms
        refused_row = ticket.issued_ms <= self._refused_ms
        if in_time and not lost_row and not refused_row:
            return None
        # A ticket opened in time has a row until retention_s after its issue,
        # unless it was evicted before; so without a row it was never opened, and
        # cannot be any more.
        if not lost_row and age_s < self._settings.retention_s:
            return self._refusal(ticket.submission_id, Reason.EXPIRED, retry_ms=0)
        return self.forgotten_answer(ticket.submission_id)

    def _admit(self, record: SubmissionRecord, now: float, *, adopted: bool) -> Opening:
        self._make_room()
        self._records_by_id[record.submission_id] = record
        full = (
            len(self._records_by_id) > self._settings.max_records
            or self._retained.is_full
        )
        # A dead home may have begun it, so a full table must not say "not run" of
        # it; max_adopted bounds these.
        if adopted or not full:
            return Opened(record=record)
        refusal = self._refusal(
            record.submission_id, Reason.OVERLOAD, retry_ms=_FULL_RETRY_MS
        )
        record.answer = refusal
        self._settle_row(record, now)
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

    def _settle_row(self, record: SubmissionRecord, now: float) -> None:
        record.settled_at = now
        self._settled_by_id[record.submission_id] = record
        self._retained.add(record)

    def _make_room(self) -> None:
        """Forget the oldest settled rows above the bound of records.

        Tickets issued no later than a forgotten one cannot open a row any more:
        otherwise its resubmission would start the same tasks again. One number a
        kind of answer is enough, since a home's tickets are in order of issue.
        """
        while len(self._records_by_id) >= self._settings.max_records:
            record = next(iter(self._settled_by_id.values()), None)
            if record is None:
                return
            self._raise_floor(record)
            self._forget(record)

    def _raise_floor(self, record: SubmissionRecord) -> None:
        if record.issued_ms is None or record.answer is None:
            return
        if record.answer.outcome is Outcome.NOT_RUN:
            self._refused_ms = max(self._refused_ms, record.issued_ms)
        else:
            self._forgotten_ms = max(self._forgotten_ms, record.issued_ms)

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


def _true_answer(record: SubmissionRecord, answer: Answer) -> Answer:
    # A successor accepts only what a target says was begun. Refused here for
    # another reason (its tenant is gone, its deadline passed) it would be called
    # "not run", and its caller would order again what was shipped.
    if not record.adopted or answer.outcome is not Outcome.NOT_RUN:
        return answer
    return replace(answer, outcome=Outcome.FAILED, ran=Ran.MAYBE, retry_after_ms=0)


def _check_answer(record: SubmissionRecord, answer: Answer) -> None:
    if answer.outcome is Outcome.PENDING:
        raise InvariantError(f"{record.submission_id}: settled as pending")
    if answer.outcome is Outcome.COMPLETE:
        whole = len(answer.results) == record.tasks_total
        if not whole and not answer.result_object:
            raise InvariantError(f"{record.submission_id}: complete, not whole")
    elif answer.results:
        raise InvariantError(f"{record.submission_id}: results without complete")
    if answer.outcome is Outcome.NOT_RUN and record.possible_starts:
        raise InvariantError(f"{record.submission_id}: not run, but may have begun")
