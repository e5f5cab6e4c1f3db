"""Takes over the submissions of instance incarnations that have ended.

A successor records the takeover in a row of the table service, fences the ended
incarnation at every target and decides its submissions from the targets' reports.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import replace

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Success

from cassiaturn.engine import Submission
from cassiaturn.entities import Address, Answer, Outcome, Reason
from cassiaturn.observability import Event, log_event
from cassiaturn.recovery import (
    Adopt,
    AnswerCaller,
    AwaitRunning,
    FenceDue,
    FenceReport,
    RunAfter,
    RunNow,
    SubmissionDecision,
    TakeoverPhase,
    TakeoverRow,
    TakeoverTable,
    takeover_key,
)
from cassiaturn.server._peers import PeerManager
from cassiaturn.services import Conflict, Put, Row, TableService
from cassiaturn.submission import StoreBudget, Ticket, booted_ms, parse_ticket
from cassiaturn.targets import fence

MS_PER_S = 1000

ABSENT = 0
"""Expected version of a row that must not exist yet."""

POLL_INTERVAL_S = 0.02
"""Interval between checks of what a takeover waits for, in seconds."""

TAKEOVER_TIMEOUT_S = 2.0
"""Longest time a caller waits for the takeover row, in seconds."""

FENCE_TIMEOUT_S = 1.0
"""Longest wait for a target's reply to a fence request, in seconds."""

MIN_DEADLINE_S = 0.001
"""Deadline of a submission that is resumed as its time runs out, in seconds."""

FENCE_LEASE_MS = 2_000
"""Lease that each fence gives to the dead home's running tasks, in milliseconds.
Nothing else renews them: without it, a task longer than the rest of its lease would
be stopped while its result is awaited. Well above the time between two fences."""

UNDECIDED_WAIT_S = 1.5
"""Longest time a caller waits for fences that may still settle its answer, in
seconds."""

_ROWS = TypeAdapter(TakeoverRow)


class Successor:
    """Executes the takeover table's decisions on the table service and targets."""

    def __init__(
        self,
        *,
        table: TakeoverTable,
        store: TableService | None,
        budget: StoreBudget,
        peers: PeerManager,
        addresses_by_target: Callable[[], Mapping[str, Address]],
        incarnation: str,
        max_clock_skew_ms: int,
        ticket_valid_ms: int,
    ) -> None:
        """Create the successor logic of one instance.

        :param table: takeovers known to this instance.
        :param store: table service; None if the settings name none.
        :param addresses_by_target: returns every target that any home may have
            reached.
        :param max_clock_skew_ms: largest difference between the wall clocks of two
            hosts, in milliseconds.
        :param ticket_valid_ms: validity of tickets, in milliseconds.
        """
        self._table = table
        self._store = store
        self._budget = budget
        self._peers = peers
        self._addresses_by_target = addresses_by_target
        self._me = incarnation
        self._max_clock_skew_ms = max_clock_skew_ms
        self._ticket_valid_ms = ticket_valid_ms
        self._min_retention_ms = ticket_valid_ms
        self._logged_done: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def owner_of(self, home: str) -> str | None:
        """Return the incarnation that now decides a home's submissions.

        :returns: the home itself while it may be alive, its successor, this
            incarnation, or None if that is not known in time.
        """
        give_up_at = time.monotonic() + TAKEOVER_TIMEOUT_S
        while True:
            last = self._table.lineage_of(home)[-1]
            if last == self._me:
                return self._me
            self._peers.mark_ended_if_replaced(last)
            if not self._peers.is_gone(last):
                return last
            takeover = self._table.request_takeover(last)
            if takeover.phase is TakeoverPhase.FENCING:
                self._table.fence_lineage(home)
                return self._me
            if time.monotonic() >= give_up_at:
                return None
            self._start(self._step())
            await asyncio.sleep(POLL_INTERVAL_S)

    async def resume(
        self, home: str, submission: Submission, *, repeatable: bool
    ) -> Answer | Submission:
        """Decide a dead home's submission from the evidence of the targets.

        :returns: the answer, or the submission with the results to adopt.
        """
        self._table.fence_lineage(home)
        give_up_at = time.monotonic() + UNDECIDED_WAIT_S
        deadline = time.monotonic() + (submission.deadline_s or UNDECIDED_WAIT_S)
        while True:
            now = time.monotonic()
            decision = self._table.decide_submission(
                submission_id=submission.submission_id,
                home=home,
                tasks_total=len(submission.payloads),
                repeatable=repeatable,
                now=now,
            )
            if self._may_be_forgotten(home, submission.submission_id):
                decision = without_negative_evidence(decision, submission.submission_id)
            if isinstance(decision, AnswerCaller):
                if decision.answer.outcome is not Outcome.UNKNOWN or now >= give_up_at:
                    return decision.answer
            else:
                decisions = decision.decisions_by_index
                if not any(isinstance(d, AwaitRunning) for d in decisions.values()):
                    left_s = max(deadline - now, MIN_DEADLINE_S)
                    return _resumed(submission, decisions, left_s)
                if now >= deadline:
                    # Resuming now would start a task again that still runs.
                    return _still_running(submission)
            self._start(self._step())
            await asyncio.sleep(POLL_INTERVAL_S)

    async def collect(self, home: str, submission_id: str) -> Answer:
        """Return the answer to a collect call for a dead home's submission.

        The call carries no tasks, so nothing can be resumed.
        """
        return Answer.unknown(
            submission_id,
            Reason.HOME_UNREACHABLE,
            f"its home {home} ended; submit it again with its tasks",
        )

    async def was_taken_over(self, incarnation: str) -> bool | None:
        """Return whether an incarnation has a takeover row; None if not known."""
        if self._store is None or not self._budget.may_read(time.monotonic()):
            return None
        key = takeover_key(incarnation)
        match await self._store.read([key]):
            case Success(rows):
                self._budget.succeeded(time.monotonic())
                return key in rows
            case _:
                self._budget.failed(time.monotonic())
                return None

    def mark_dead(self, dead: str, now: float) -> None:
        """Record that the process of an incarnation has certainly ended."""
        self._table.incarnation_ended(dead, now)

    async def _step(self) -> None:
        self._table.observe_targets(tuple(self._addresses_by_target()))
        now = time.monotonic()
        self._insert_due(now)
        for due in self._table.fences_due(now):
            self._start(self._fence(due))

    def _insert_due(self, now: float) -> None:
        takeovers = self._table.takeovers_by_dead.values()
        # Checked first because `may_write` consumes a write from the budget.
        if not any(takeover.phase is TakeoverPhase.WANTED for takeover in takeovers):
            return
        if self._store is not None and self._budget.may_write(now):
            for row in self._table.rows_due():
                self._start(self._insert(row))

    async def _insert(self, row: TakeoverRow) -> None:
        assert self._store is not None
        put = Put(
            key=row.key, value=_ROWS.dump_json(row).decode(), expected_version=ABSENT
        )
        result = await self._store.transact([put])
        now = time.monotonic()
        match result:
            case Success(_):
                self._budget.succeeded(now)
                self._table.row_confirmed(row)
                log_event(Event.TAKEOVER_STARTED, incarnation=row.dead)
            case Failure(Conflict(rows_by_key=rows_by_key)):
                self._budget.succeeded(now)
                self._on_row_exists(row, rows_by_key.get(row.key))
            case Failure(_):
                self._budget.failed(now)
                self._table.insert_unanswered(row.dead)

    def _on_row_exists(self, wanted: TakeoverRow, row: Row | None) -> None:
        if row is None:
            self._table.insert_unanswered(wanted.dead)
            return
        try:
            found = _ROWS.validate_json(row.value)
        except ValidationError:
            self._table.insert_unanswered(wanted.dead)
            return
        self._table.row_confirmed(found)

    async def _fence(self, due: FenceDue) -> None:
        address = self._addresses_by_target()[due.target_id]
        result = await fence(
            address=address,
            home=due.dead,
            timeout_s=FENCE_TIMEOUT_S,
            lease_ms=FENCE_LEASE_MS,
        )
        now = time.monotonic()
        match result:
            case Success(reply):
                self._min_retention_ms = min(self._min_retention_ms, reply.remembers_ms)
                report = FenceReport.from_message(reply)
                if not self._knows_all_starts_of(reply.uptime_ms, due.dead):
                    report = replace(report, exhaustive=False)
                self._table.fenced(due.dead, report, now)
                self._log_done(due.dead)
            case _:
                self._table.fence_failed(due.dead, due.target_id, now)

    def _may_be_forgotten(self, home: str, submission_id: str) -> bool:
        # Targets forget the keys of acknowledged tasks after a while. A submission
        # older than that may have run and been forgotten, so the absence of a
        # report proves nothing. Without a ticket, the home's age bounds the age.
        ticket = parse_ticket(submission_id)
        issued_ms = ticket.issued_ms if isinstance(ticket, Ticket) else 0
        age_ms = time.time() * MS_PER_S - booted_ms(home) - issued_ms
        return age_ms + self._max_clock_skew_ms > self._min_retention_ms

    def _log_done(self, dead: str) -> None:
        takeover = self._table.takeovers_by_dead.get(dead)
        if takeover is None or not takeover.is_complete or dead in self._logged_done:
            return
        self._logged_done.add(dead)
        log_event(Event.TAKEOVER_DONE, incarnation=dead)

    def _knows_all_starts_of(self, uptime_ms: int, dead: str) -> bool:
        # A restarted runner does not know the tasks that its earlier process began,
        # and trusting it could report a task that ran there as "not run". So the
        # runner must be older than the home by more than the clock skew.
        began_ms = time.time() * MS_PER_S - uptime_ms
        return began_ms + self._max_clock_skew_ms < booted_ms(dead)

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def without_negative_evidence(
    decision: SubmissionDecision, submission_id: str
) -> SubmissionDecision:
    """Return a decision that does not rest on the absence of reports.

    Results and failures that targets reported stay. A "not run" answer, or a decision
    to start tasks that no target reported, becomes "unknown".
    """
    if isinstance(decision, AnswerCaller):
        if decision.answer.outcome is not Outcome.NOT_RUN:
            return decision
    elif not any(isinstance(d, RunNow) for d in decision.decisions_by_index.values()):
        return decision
    return AnswerCaller(
        answer=Answer.unknown(
            submission_id,
            Reason.EXPIRED,
            "its home ended, and the targets may have forgotten what ran",
        )
    )


def _still_running(submission: Submission) -> Answer:
    return Answer.unknown(
        submission.submission_id,
        Reason.DEADLINE,
        "its home ended, and its tasks still run at the deadline",
        tasks_total=len(submission.payloads),
    )


def _resumed(
    submission: Submission, decisions_by_index: Mapping[int, object], left_s: float
) -> Submission:
    adopted = {}
    awaited = {}
    for index, decision in decisions_by_index.items():
        if isinstance(decision, Adopt):
            adopted[index] = decision.begun.result
        elif isinstance(decision, RunAfter):
            awaited[index] = decision.at
        elif not isinstance(decision, RunNow):
            raise AssertionError(f"task {index} is resumed although {decision}")
    return replace(
        submission,
        adopted_by_index=adopted,
        run_after_by_index=awaited,
        resumed=True,
        deadline_s=left_s,
    )
