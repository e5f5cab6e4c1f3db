"""The gRPC services that callers use on an instance."""

from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

import grpclib.const
import grpclib.server
from grpclib.const import Cardinality, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from cassiaturn.client import CALLER_KEY, OUTCOME_KEY, SUBMISSION_KEY, TENANT_KEY
from cassiaturn.engine import Submission
from cassiaturn.entities import Answer, Outcome
from cassiaturn.observability import Event, log_event
from cassiaturn.server._raw import RawMessage
from cassiaturn.server._router import Identity, SubmissionRouter
from cassiaturn.v1 import dispatcher_pb2 as pb
from cassiaturn.v1.dispatcher_grpc import DispatcherBase

MessageT = TypeVar("MessageT")
ReplyT = TypeVar("ReplyT")

MAX_TICKETS = 1000
"""Most tickets issued by one call."""

STATUS_BY_OUTCOME = {
    Outcome.FAILED: Status.ABORTED,
    Outcome.NOT_RUN: Status.UNAVAILABLE,
    Outcome.UNKNOWN: Status.UNKNOWN,
}
"""gRPC status by outcome, for calls of a method of an operator's schema."""


class CallerService(DispatcherBase):
    """Issues tickets; accepts, watches, collects and cancels submissions."""

    def __init__(self, *, router: SubmissionRouter) -> None:
        """Create the service of one instance."""
        self._router = router

    async def IssueTickets(  # noqa: N802 - the name is the schema's
        self, stream: "Stream[pb.IssueTicketsRequest, pb.IssueTicketsReply]"
    ) -> None:
        """Issue submission ids that name this instance as home.

        Tickets need no write to the table service.
        """
        request = await _receive(stream)
        if not self._router.accepts_submissions:
            raise GRPCError(Status.UNAVAILABLE, "this instance is not ready")
        count = min(max(1, request.count), MAX_TICKETS)
        tickets = [self._router.issue_ticket() for _ in range(count)]
        valid_for_ms = self._router.ticket_valid_ms
        await stream.send_message(
            pb.IssueTicketsReply(tickets=tickets, valid_for_ms=valid_for_ms)
        )

    async def Submit(  # noqa: N802
        self, stream: "Stream[pb.SubmitRequest, pb.Answer]"
    ) -> None:
        """Accept a submission, wait for its answer and return it."""
        request = await _receive(stream)
        identity = identity_of(stream)
        answer = await self._router.submit(to_submission(request, identity))
        if answer.outcome is Outcome.UNKNOWN:
            log_event(
                Event.SUBMISSION_UNKNOWN,
                submission_id=answer.submission_id,
                reason=answer.reason,
            )
        await stream.send_message(answer.to_message())

    async def Watch(  # noqa: N802
        self, stream: "Stream[pb.CollectRequest, pb.JobEvent]"
    ) -> None:
        """Stream progress events, then the final answer."""
        request = await _receive(stream)
        async for event in self._router.watch(
            request.submission_id, identity_of(stream)
        ):
            await stream.send_message(event)

    async def Collect(  # noqa: N802
        self, stream: "Stream[pb.CollectRequest, pb.Answer]"
    ) -> None:
        """Return what is known of a submission now."""
        request = await _receive(stream)
        answer = await self._router.collect(request.submission_id, identity_of(stream))
        await stream.send_message(answer.to_message())

    async def Cancel(  # noqa: N802
        self, stream: "Stream[pb.CancelRequest, pb.CancelReply]"
    ) -> None:
        """Cancel a submission that is not settled yet."""
        request = await _receive(stream)
        cancelled, answer = await self._router.cancel(
            request.submission_id, identity_of(stream)
        )
        await stream.send_message(
            pb.CancelReply(cancelled=cancelled, answer=answer.to_message())
        )


class SchemaService:
    """Serves every method of the operators' schemas as an ordinary gRPC method.

    Each call becomes a submission of one task, so a caller can use the stub that
    was generated from its own schema.
    """

    def __init__(
        self, *, router: SubmissionRouter, methods: Mapping[str, object]
    ) -> None:
        """Create a service for the methods of a schema.

        :param methods: declared methods by full name.
        """
        self._router = router
        self._methods = methods

    def __mapping__(self) -> Mapping[str, grpclib.const.Handler]:
        """Return one handler per method, as grpclib expects."""
        return {
            f"/{name}": grpclib.const.Handler(
                self._handler(name),
                Cardinality.UNARY_UNARY,
                RawMessage,
                RawMessage,
            )
            for name in self._methods
        }

    def _handler(
        self, name: str
    ) -> "Callable[[Stream[RawMessage, RawMessage]], Awaitable[None]]":
        async def handle(stream: "Stream[RawMessage, RawMessage]") -> None:
            message = await _receive(stream)
            identity = identity_of(stream)
            metadata: Mapping[str, object] = stream.metadata or {}
            submission_id = metadata.get(SUBMISSION_KEY)
            deadline = stream.deadline
            submission = Submission(
                submission_id=str(submission_id or self._router.issue_ticket()),
                tenant=identity.tenant,
                caller=identity.caller,
                method=name,
                payloads=(message.content,),
                deadline_s=deadline.time_remaining() if deadline else 0.0,
            )
            answer = await self._router.submit(submission)
            await _reply(stream, answer)

        return handle


async def _reply(stream: "Stream[RawMessage, RawMessage]", answer: Answer) -> None:
    if answer.outcome is Outcome.COMPLETE:
        await stream.send_message(RawMessage(answer.results[0]))
        return
    outcome = answer.outcome.name.lower()
    await stream.send_trailing_metadata(
        status=STATUS_BY_OUTCOME.get(answer.outcome, Status.UNKNOWN),
        status_message=f"{outcome}: {answer.reason.name.lower()}: {answer.detail}",
        metadata={OUTCOME_KEY: outcome, SUBMISSION_KEY: answer.submission_id},
    )


def identity_of(stream: "Stream[MessageT, ReplyT]") -> Identity:
    """Return the caller's identity from the call metadata.

    :raises GRPCError: the call names no tenant.
    """
    metadata: Mapping[str, object] = stream.metadata or {}
    tenant = str(metadata.get(TENANT_KEY, ""))
    if not tenant:
        raise GRPCError(
            Status.UNAUTHENTICATED, f"the call metadata lacks '{TENANT_KEY}'"
        )
    return Identity(tenant=tenant, caller=str(metadata.get(CALLER_KEY, "")))


def to_submission(request: pb.SubmitRequest, identity: Identity) -> Submission:
    """Return the submission that a request describes."""
    return Submission(
        submission_id=request.submission_id,
        tenant=identity.tenant,
        caller=identity.caller,
        method=request.method,
        payloads=tuple(request.tasks),
        deadline_s=request.deadline_ms / 1000,
    )


async def _receive(stream: "Stream[MessageT, ReplyT]") -> MessageT:
    request = await stream.recv_message()
    if request is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "the call has no request message")
    return request
