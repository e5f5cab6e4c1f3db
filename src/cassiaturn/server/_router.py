"""Routes calls about a submission to its home and returns the answer.

The home is the instance incarnation that owns a submission. A ticket names it; for
a caller-chosen id, the claim row in the table service does.
"""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass, replace

from cassiaturn.engine import State, Submission, cancel, dispatch, pending, submit
from cassiaturn.entities import Answer, Outcome, Ran, Reason
from cassiaturn.server._claims import ClaimWriter, NoClaimReason
from cassiaturn.server._peers import PeerManager
from cassiaturn.server._ports import ServerPorts
from cassiaturn.server._successor import Successor
from cassiaturn.submission import (
    MAX_SUBMISSION_ID_LENGTH,
    ClaimGranted,
    ClaimTaken,
    ClaimUndetermined,
    MalformedTicket,
    Ticket,
    TicketIssuer,
    parse_ticket,
)
from cassiaturn.v1 import dispatcher_pb2, peer_pb2

MAX_HOPS = 2
"""Most forwards of one call: to the home, and once more to its successor."""

MONITORS_ASKED = 2
"""Most neighbours of an unreachable home that are asked, one after the other."""

WATCH_PERIOD_S = 0.2
"""Interval between progress checks of a watched job, in seconds."""

MAX_WAIT_S = 3600.0
"""Longest wait for a submission without a deadline, in seconds."""

MIN_DEADLINE_S = 0.001
"""Deadline, in seconds, of a submission whose time ran out while its id was claimed;
0 would mean no deadline."""

UNKNOWN_RETRY_MS = 200
"""Retry advice with ``UNKNOWN`` answers, in milliseconds; fencing every target takes
about as long."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Identity of a caller, from the call metadata."""

    tenant: str
    """Tenant of the call."""

    caller: str
    """Caller within the tenant."""


FetchResults = Callable[[str], Awaitable[Sequence[bytes] | None]]
"""Returns results by object key; None if they cannot be read now."""


async def _fetch_nothing(_: str) -> Sequence[bytes] | None:
    return None


class SubmissionRouter:
    """Routes by submission id: serves the call here, forwards it, or takes over."""

    def __init__(
        self,
        *,
        state: State,
        ports: ServerPorts,
        issuer: TicketIssuer,
        ticket_valid_ms: int,
        peers: PeerManager,
        claims: ClaimWriter,
        successor: Successor,
    ) -> None:
        """Create the router of one instance.

        :param ticket_valid_ms: validity of issued tickets, in milliseconds.
        :param successor: decides submissions whose home has ended.
        """
        self._state = state
        self._ports = ports
        self._issuer = issuer
        self._peers = peers
        self._claims = claims
        self._successor = successor
        self._me = state.settings.incarnation
        self.ticket_valid_ms = ticket_valid_ms
        self.fetch_results: FetchResults = _fetch_nothing
        """Set after construction, once the offloader exists."""
        self._claim_tasks: set[asyncio.Task[str | Answer]] = set()

    @property
    def accepts_submissions(self) -> bool:
        """Whether new submissions are accepted.

        They are not before a shared configuration is known, during a planned
        stop, or after a successor took over.
        """
        state = self._state
        closed = state.draining or state.superseded
        return bool(state.tenants_by_name) and not closed

    def issue_ticket(self) -> str:
        """Return a submission id that names this instance as home."""
        return self._issuer.issue(time.monotonic())

    async def submit(self, submission: Submission, *, hops: int = 0) -> Answer:
        """Return the answer of a submission from its home.

        :param hops: how often the call was forwarded already.
        """
        home = self._ticket_home(submission.submission_id)
        if home is None:
            home = await self._claim_home(submission)
        if isinstance(home, Answer):
            if home.outcome is Outcome.PENDING:
                return await self._ports.wait(submission.submission_id)
            return home
        if home == self._me:
            return await self._submit_here(submission)
        owner = await self._successor.owner_of(home)
        if owner == self._me:
            return await self._resume(home, submission)
        if owner is None or hops >= MAX_HOPS:
            return unreachable(submission.submission_id, home)
        request = peer_pb2.ForwardRequest(
            tenant=submission.tenant,
            caller=submission.caller,
            submit=_to_message(submission),
            hops=hops + 1,
        )
        wait_s = submission.deadline_s or MAX_WAIT_S
        reply = await self._peers.forwards.forward(owner, request, timeout_s=wait_s)
        if reply is None:
            reply = await self._ask_monitors(owner, request, wait_s)
        if reply is None:
            return unreachable(submission.submission_id, owner)
        return Answer.from_message(reply.answer)

    async def _ask_monitors(
        self, owner: str, request: peer_pb2.ForwardRequest, wait_s: float
    ) -> peer_pb2.ForwardReply | None:
        """Send a submission to instances that can detect the failure of its home."""
        if request.hops >= MAX_HOPS or self._peers.exchanges_heartbeats_with(owner):
            return None
        for instance_id in self._peers.monitors_of(owner)[:MONITORS_ASKED]:
            reply = await self._peers.forwards.forward_to(
                instance_id, owner, request, timeout_s=wait_s
            )
            if reply is not None:
                return reply
        return None

    async def collect(
        self, submission_id: str, identity: Identity, *, hops: int = 0
    ) -> Answer:
        """Return the present answer of a submission.

        :param hops: how often the call was forwarded already.
        """
        home = await self._known_home(submission_id)
        if isinstance(home, Answer):
            return home
        if home == self._me:
            return await self._collect_here(submission_id, identity)
        owner = await self._successor.owner_of(home)
        if owner == self._me:
            return await self._successor.collect(home, submission_id)
        request = peer_pb2.ForwardRequest(
            tenant=identity.tenant,
            caller=identity.caller,
            collect=dispatcher_pb2.CollectRequest(submission_id=submission_id),
            hops=hops + 1,
        )
        reply = None
        if owner is not None and hops < MAX_HOPS:
            reply = await self._peers.forwards.forward(owner, request, timeout_s=2.0)
        if reply is None:
            return unreachable(submission_id, home)
        return Answer.from_message(reply.answer)

    async def cancel(
        self, submission_id: str, identity: Identity, *, hops: int = 0
    ) -> tuple[bool, Answer]:
        """Cancel a submission at its home.

        :param hops: how often the call was forwarded already.
        :returns: whether this call settled it, and the answer in force.
        """
        home = await self._known_home(submission_id)
        if isinstance(home, Answer):
            return False, home
        if home == self._me:
            cancelled = False
            record = self._state.submissions.get(submission_id)
            if record is not None and record.owner == identity.tenant:
                cancelled = cancel(self._state, submission_id, time.monotonic())
                dispatch(self._state, time.monotonic())
            return cancelled, await self._collect_here(submission_id, identity)
        owner = await self._successor.owner_of(home)
        request = peer_pb2.ForwardRequest(
            tenant=identity.tenant,
            caller=identity.caller,
            cancel=dispatcher_pb2.CancelRequest(submission_id=submission_id),
            hops=hops + 1,
        )
        reply = None
        if owner not in (None, self._me) and hops < MAX_HOPS:
            reply = await self._peers.forwards.forward(
                str(owner), request, timeout_s=2.0
            )
        if reply is None:
            return False, unreachable(submission_id, home)
        return reply.cancelled, Answer.from_message(reply.answer)

    async def watch(
        self, submission_id: str, identity: Identity
    ) -> AsyncIterator[dispatcher_pb2.JobEvent]:
        """Yield progress of a submission until its answer is final."""
        done = -1
        while True:
            answer = await self.collect(submission_id, identity)
            if answer.outcome is not Outcome.PENDING:
                yield dispatcher_pb2.JobEvent(
                    tasks_done=answer.tasks_done,
                    tasks_total=answer.tasks_total,
                    answer=answer.to_message(),
                )
                return
            if answer.tasks_done != done:
                done = answer.tasks_done
                yield dispatcher_pb2.JobEvent(
                    tasks_done=done, tasks_total=answer.tasks_total
                )
            await asyncio.sleep(WATCH_PERIOD_S)

    def _ticket_home(self, submission_id: str) -> str | Answer | None:
        """Return the home that a ticket names, or the answer to a malformed id.

        :returns: None for a caller-chosen id without a record here.
        """
        match parse_ticket(submission_id):
            case Ticket(home=home):
                return home
            case MalformedTicket(problem=problem):
                return _invalid(submission_id, problem)
            case _:
                pass
        if not 1 <= len(submission_id) <= MAX_SUBMISSION_ID_LENGTH:
            allowed = f"1 to {MAX_SUBMISSION_ID_LENGTH} characters are allowed"
            return _invalid(submission_id, f"its length is wrong; {allowed}")
        if self._state.submissions.get(submission_id) is not None:
            return self._me
        return None

    async def _claim_home(self, submission: Submission) -> str | Answer:
        """Claim a caller-chosen id and open the submission if the claim succeeds.

        The claim continues when the caller hangs up. Otherwise a claim could
        succeed unnoticed and leave an id that no instance may ever open.
        """
        opening = asyncio.create_task(self._claim_and_open(submission))
        self._claim_tasks.add(opening)
        opening.add_done_callback(self._claim_tasks.discard)
        wait_s = submission.deadline_s or MAX_WAIT_S
        done, _ = await asyncio.wait({opening}, timeout=wait_s)
        if not done:
            return _store_unreachable(submission.submission_id)
        return opening.result()

    async def _claim_and_open(self, submission: Submission) -> str | Answer:
        submission_id = submission.submission_id
        began = time.monotonic()
        match await self._claims.claim(submission_id):
            case ClaimGranted():
                left_s = submission.deadline_s - (time.monotonic() - began)
                if submission.deadline_s:
                    submission = replace(
                        submission, deadline_s=max(left_s, MIN_DEADLINE_S)
                    )
                return self._open(submission)
            case ClaimTaken(home=home):
                if home == self._me:
                    return self._answer_own_claim(submission_id)
                return home
            case ClaimUndetermined():
                return _store_unreachable(submission_id)

    async def _known_home(self, submission_id: str) -> str | Answer:
        """Return the home of a submission without claiming it."""
        home = self._ticket_home(submission_id)
        if home is not None:
            return home
        if self._state.submissions.get(submission_id) is not None:
            return self._me
        found = await self._claims.find_home(submission_id)
        match found:
            case NoClaimReason.ABSENT:
                return self._state.submissions.forgotten_answer(submission_id)
            case NoClaimReason.UNKNOWN:
                return _store_unreachable(submission_id)
            case _:
                return found

    def _answer_own_claim(self, submission_id: str) -> str | Answer:
        # This process holds the claim. If it dropped the record, starting the
        # tasks again could run them twice.
        if self._state.submissions.get(submission_id) is not None:
            return self._me
        return self._state.submissions.forgotten_answer(submission_id)

    def _open(self, submission: Submission) -> Answer:
        now = time.monotonic()
        answer = submit(self._state, submission, now)
        dispatch(self._state, now)
        return answer

    async def _submit_here(self, submission: Submission) -> Answer:
        answer = self._open(submission)
        if answer.outcome is not Outcome.PENDING:
            return await self._with_results(answer)
        return await self._ports.wait(submission.submission_id)

    async def _with_results(self, answer: Answer) -> Answer:
        """Return an answer with its results, read back if they were offloaded."""
        if not answer.result_object or answer.results:
            return answer
        results = await self.fetch_results(answer.result_object)
        if results is None:
            # A complete outcome without its results would be a partial answer.
            return _results_unreachable(answer)
        return replace(answer, results=results, result_object="")

    async def _collect_here(self, submission_id: str, identity: Identity) -> Answer:
        record = self._state.submissions.get(submission_id)
        if record is None or record.owner != identity.tenant:
            return self._state.submissions.forgotten_answer(submission_id)
        if record.answer is not None:
            return await self._with_results(record.answer)
        return pending(self._state, submission_id, record.tasks_total)

    async def _resume(self, home: str, submission: Submission) -> Answer:
        if self._state.submissions.get(submission.submission_id) is not None:
            return await self._submit_here(submission)
        method = self._state.schema.methods_by_name.get(submission.method)
        if method is None:
            return unreachable(submission.submission_id, home)
        found = await self._successor.resume(
            home, submission, repeatable=method.repeatable
        )
        if isinstance(found, Answer):
            return found
        return await self._submit_here(found)


def unreachable(submission_id: str, home: str) -> Answer:
    """Return the answer of an instance that cannot reach the home."""
    return Answer.unknown(
        submission_id,
        Reason.HOME_UNREACHABLE,
        f"its home {home} cannot be reached from here; submit it again",
        retry_after_ms=UNKNOWN_RETRY_MS,
    )


def _store_unreachable(submission_id: str) -> Answer:
    return Answer.unknown(
        submission_id,
        Reason.STORE_UNREACHABLE,
        "the table service did not say whose this id is; submit it again",
        retry_after_ms=UNKNOWN_RETRY_MS,
    )


def _results_unreachable(answer: Answer) -> Answer:
    return Answer(
        submission_id=answer.submission_id,
        outcome=Outcome.UNKNOWN,
        ran=Ran.EVERYTHING,
        reason=Reason.STORE_UNREACHABLE,
        detail="it is complete, but the object store with its results is silent",
        retry_after_ms=UNKNOWN_RETRY_MS,
        tasks_done=answer.tasks_done,
        tasks_total=answer.tasks_total,
    )


def _invalid(submission_id: str, problem: str) -> Answer:
    # No instance accepts such an id, so no task ever runs under it.
    return Answer(
        submission_id=submission_id,
        outcome=Outcome.NOT_RUN,
        ran=Ran.NOTHING,
        reason=Reason.INVALID,
        detail=f"submission id: {problem}",
    )


def _to_message(submission: Submission) -> dispatcher_pb2.SubmitRequest:
    return dispatcher_pb2.SubmitRequest(
        submission_id=submission.submission_id,
        method=submission.method,
        tasks=submission.payloads,
        deadline_ms=int(submission.deadline_s * 1000),
    )
