"""One instance process in virtual time, made of the real tables.

It holds only what the engine of the product would: the tasks of its jobs, and the
order of calls on the tables of ``submission`` and ``recovery``.
"""

import random
from collections.abc import Sequence

from cassiaturn.entities import Answer, Outcome, Ran, Reason, TaskKey
from cassiaturn.model._fakes import START_WITHIN_S, FakeStart, result_of
from cassiaturn.model._jobs import (
    Held,
    Request,
    SimJob,
    TaskState,
    World,
    adopt,
    wait_until,
)
from cassiaturn.recovery import (
    AnswerCaller,
    PauseDetector,
    RecoverySettings,
    Resume,
    RunNow,
    RunProof,
    RunStatus,
    TakeoverPhase,
    TakeoverTable,
)
from cassiaturn.submission import (
    ClaimGranted,
    ClaimLedger,
    ClaimSettings,
    ClaimTaken,
    Expired,
    Opened,
    Settled,
    StoreBudget,
    StoreSettings,
    SubmissionSettings,
    SubmissionTable,
    Ticket,
    TicketIssuer,
    parse_ticket,
)

SUSPICION_S = 2.5
"""Silence after which a process may be succeeded, in seconds."""

_SUBMISSIONS = SubmissionSettings(ticket_valid_s=20, retention_s=25, max_records=6)
_STORE = StoreSettings(writes_per_s=50, reads_per_s=50)


class Process:
    """One incarnation."""

    def __init__(
        self,
        *,
        incarnation: str,
        world: World,
        rng: random.Random,
        claim_rng: random.Random,
        target_ids: Sequence[str],
        resumes_unbegun: bool,
    ) -> None:
        """Begin a life.

        :param claim_rng: source of the tokens of claims.
        :param target_ids: every target.
        :param resumes_unbegun: a mutation: run what no target is seen to have
            begun, in place of calling it "not run".
        """
        self.incarnation = incarnation
        self.paused_until = 0.0
        self.alive = True
        self.jobs_by_id: dict[str, SimJob] = {}
        self._resumes_unbegun = resumes_unbegun
        self._world = world
        self._rng = rng
        self._held_by_id: dict[str, Held] = {}
        self._claiming_by_id: dict[str, Request] = {}
        budget = StoreBudget(settings=_STORE, rng=rng)
        self.ledger = ClaimLedger(
            incarnation=incarnation,
            settings=ClaimSettings(max_rows=4),
            budget=budget,
            rng=claim_rng,
        )
        self.takeovers = TakeoverTable(
            incarnation=incarnation, settings=RecoverySettings(), rng=rng
        )
        self.takeovers.observe_targets(target_ids)
        self.pauses = PauseDetector(suspicion_timeout_s=SUSPICION_S)
        self.issuer = TicketIssuer(
            incarnation=incarnation, valid_for_s=_SUBMISSIONS.ticket_valid_s
        )
        self.table = self.new_table()

    def new_table(self) -> SubmissionTable:
        """Return an empty table of submissions."""
        return SubmissionTable(incarnation=self.incarnation, settings=_SUBMISSIONS)

    def submit(self, request: Request, now: float) -> None:
        """Take a request from a caller or a peer."""
        submission_id = request.submission_id
        if self.table.get(submission_id) is not None:
            self._open(request, now, succeeded=False)
            return
        match parse_ticket(submission_id):
            case Ticket(home=home) if home == self.incarnation:
                self._open(request, now, succeeded=False)
            case Ticket(home=home):
                self._route(Held(request=request, home=home))
            case _:
                self._claiming_by_id[submission_id] = request
                self.ledger.request(submission_id, now)

    def take_claims(self, now: float) -> None:
        """Act on claims that were settled."""
        for resolution in self.ledger.resolved():
            request = self._claiming_by_id.pop(resolution.submission_id)
            match resolution:
                case ClaimGranted():
                    self._open(request, now, succeeded=False)
                case ClaimTaken(home=home) if home != self.incarnation:
                    self._route(Held(request=request, home=home))
                case _:
                    self._tell_unknown(request)

    def send_one(self, now: float) -> None:
        """Send the start of one queued task, if starts may be sent."""
        if not self.pauses.may_start:
            return
        queued = [
            (job, index)
            for job in self.jobs_by_id.values()
            for index, state in enumerate(job.states)
            if state is TaskState.QUEUED
        ]
        if not queued:
            return
        job, index = self._rng.choice(queued)
        submission_id = job.request.submission_id
        if not self.table.begin(submission_id):
            return
        job.states[index] = TaskState.SENT
        job.attempts[index] += 1
        self._world.send_start(
            FakeStart(
                key=TaskKey(submission_id, index),
                home=self.incarnation,
                attempt=job.attempts[index],
                repeatable=job.request.repeatable,
                start_by=now + START_WITHIN_S,
            )
        )

    def denied(self, start: FakeStart) -> None:
        """Take a refusal: this start never began anything."""
        self.table.refused(start.key.submission_id)
        job = self.jobs_by_id.get(start.key.submission_id)
        index = start.key.task_index
        if job is not None and job.attempts[index] == start.attempt:
            job.states[index] = TaskState.QUEUED

    def ended(self, start: FakeStart, status: RunStatus, now: float) -> bool:
        """Take the end of a run; False: it is not this process's any more."""
        job = self.jobs_by_id.get(start.key.submission_id)
        index = start.key.task_index
        if job is None or job.attempts[index] != start.attempt:
            return False
        job.may_have_run = True
        if status is RunStatus.DONE:
            job.states[index] = TaskState.DONE
            job.results[index] = result_of(start.key)
            self._finish(job, now)
        elif job.request.repeatable:
            job.states[index] = TaskState.QUEUED
        else:
            self._settle(self._failed(job.request), now)
        return True

    def refuse_one(self, now: float, *, binding: bool) -> None:
        """Say "not run" for a job of which nothing can have begun.

        :param binding: False forgets it at once, as a mutation.
        """
        for job in list(self.jobs_by_id.values()):
            record = self.table.get(job.request.submission_id)
            if record is None or record.possible_starts or job.may_have_run:
                continue
            answer = Answer(
                submission_id=job.request.submission_id,
                outcome=Outcome.NOT_RUN,
                ran=Ran.NOTHING,
                reason=Reason.OVERLOAD,
            )
            self._settle(answer, now)
            if not binding:
                self.table = self.new_table()
                self.jobs_by_id.clear()
            return

    def recover(self, now: float) -> None:
        """Decide what is held, as far as the targets have told."""
        for submission_id, held in list(self._held_by_id.items()):
            last = self.takeovers.lineage_of(held.home)[-1]
            if last != self.incarnation:
                takeover = self.takeovers.takeovers_by_dead.get(last)
                open_here = takeover is not None and (
                    takeover.phase is not TakeoverPhase.YIELDED
                )
                if not open_here:
                    del self._held_by_id[submission_id]
                    self._route(held)
                continue
            self.takeovers.fence_lineage(held.home)
            if now >= held.resume_at and self._decide(held, now):
                del self._held_by_id[submission_id]

    def _decide(self, held: Held, now: float) -> bool:
        request = held.request
        decision = self.takeovers.decide_submission(
            submission_id=request.submission_id,
            home=held.home,
            tasks_total=request.tasks,
            repeatable=request.repeatable,
            now=now,
        )
        if isinstance(decision, AnswerCaller):
            if decision.answer.outcome is Outcome.UNKNOWN:
                return False
            if self._resumes_unbegun and decision.answer.outcome is Outcome.NOT_RUN:
                self._open(request, now, succeeded=True, resumed=_run_all(request))
                return True
            if self.table.get(request.submission_id) is None:
                self._world.say(decision.answer)
            return True
        held.resume_at = wait_until(decision, now)
        if held.resume_at > now:
            return False
        self._open(request, now, succeeded=True, resumed=decision)
        return True

    def _open(
        self,
        request: Request,
        now: float,
        *,
        succeeded: bool,
        resumed: Resume | None = None,
    ) -> None:
        opening = self.table.open(
            submission_id=request.submission_id,
            fingerprint=request.fingerprint,
            tasks_total=request.tasks,
            now=now,
            adopted=succeeded,
        )
        match opening:
            case Opened():
                job = SimJob(
                    request=request,
                    states=[TaskState.QUEUED] * request.tasks,
                    results=[b""] * request.tasks,
                    attempts=[0] * request.tasks,
                    may_have_run=succeeded,
                )
                self.jobs_by_id[request.submission_id] = job
                if resumed is not None:
                    adopt(job, resumed)
            case Settled(answer=answer) | Expired(answer=answer):
                self._world.say(answer)
            case _:
                pass

    def _route(self, held: Held) -> None:
        last = self.takeovers.lineage_of(held.home)[-1]
        if last != self.incarnation and self._world.forward(held.request, last):
            return
        if last != self.incarnation:
            self.takeovers.request_takeover(last)
        self._held_by_id[held.request.submission_id] = held

    def _finish(self, job: SimJob, now: float) -> None:
        if any(state is not TaskState.DONE for state in job.states):
            return
        self._settle(
            Answer(
                submission_id=job.request.submission_id,
                outcome=Outcome.COMPLETE,
                results=tuple(job.results),
            ),
            now,
        )

    def _settle(self, answer: Answer, now: float) -> None:
        self._world.say(self.table.settle(answer, now))
        self.jobs_by_id.pop(answer.submission_id, None)

    def _failed(self, request: Request) -> Answer:
        return Answer(
            submission_id=request.submission_id,
            outcome=Outcome.FAILED,
            ran=Ran.SOME,
            reason=Reason.TARGET_LOST,
        )

    def _tell_unknown(self, request: Request) -> None:
        self._world.say(
            Answer(
                submission_id=request.submission_id,
                outcome=Outcome.UNKNOWN,
                ran=Ran.MAYBE,
                reason=Reason.STORE_UNREACHABLE,
            )
        )


def _run_all(request: Request) -> Resume:
    run = RunNow(proof=RunProof.NEVER_BEGUN)
    return Resume(decisions_by_index=dict.fromkeys(range(request.tasks), run))
