"""Submit, collect and cancel jobs through any instance."""

import asyncio
import random
import time
from collections import deque
from collections.abc import AsyncIterator, Sequence

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from cassiaturn.client._metadata import CALLER_KEY, TENANT_KEY
from cassiaturn.client._replies import not_run, not_sent, to_request, unknown
from cassiaturn.client._settings import ClientSettings, Ticket
from cassiaturn.entities import Address, Answer, Outcome, Reason
from cassiaturn.v1 import dispatcher_pb2 as pb
from cassiaturn.v1.dispatcher_grpc import DispatcherStub

CONNECTION_ERRORS = (OSError, StreamTerminatedError, asyncio.TimeoutError)
"""What a call raises when its instance is lost: the answer is not known."""

FATAL_STATUSES = frozenset(
    {Status.INVALID_ARGUMENT, Status.UNAUTHENTICATED, Status.UNIMPLEMENTED}
)
"""Statuses that a second try cannot mend."""


HEDGE_IN_VAIN = 0.6
"""Share of the time left from which a second call is not worth its message."""

NEW_TICKET = frozenset({Reason.DRAINING, Reason.SUPERSEDED, Reason.HOME_UNREACHABLE})
"""Reasons of "not run" that concern an instance and not the request."""


SHORTEST_S = 0.001
"""Deadline of a request whose time ran out while a ticket was fetched."""


class Client:
    """A caller's connections to some instances.

    Use one for each process of a caller and share it between its requests.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[Address],
        tenant: str,
        caller: str,
        settings: ClientSettings | None = None,
        seed: int | None = None,
    ) -> None:
        """Prepare connections, which open on first use.

        :param addresses: instances, at least one; tried in a random order.
        :param tenant: tenant named in each call.
        :param caller: caller named in each call.
        :param settings: ticket batches and pauses.
        :param seed: seed of the random order, for tests that repeat.
        """
        self._settings = settings or ClientSettings()
        self._random = random.Random(seed)
        self._channels_by_address = {
            address: Channel(address.host, address.port) for address in addresses
        }
        self._tickets_by_address: dict[Address, deque[str]] = {
            address: deque() for address in addresses
        }
        self._refused_until_by_address: dict[Address, float] = {}
        self._metadata = {TENANT_KEY: tenant, CALLER_KEY: caller}
        self.resubmissions = 0
        """Calls beyond the first for one id."""
        self.renewals = 0
        """Requests submitted again under a new ticket, after a true "not run"."""

    def close(self) -> None:
        """Close every connection; calls in flight end with an error."""
        for channel in self._channels_by_address.values():
            channel.close()

    async def __aenter__(self) -> "Client":
        """Return the client."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close every connection."""
        self.close()

    async def submit(
        self,
        method: str,
        tasks: Sequence[bytes],
        *,
        deadline_s: float,
        submission_id: str | None = None,
        address: Address | None = None,
    ) -> Answer:
        """Submit a job and wait for its answer, whatever host fails meanwhile.

        A lost connection or an answer ``UNKNOWN`` leads to a resubmission of
        the same id elsewhere, until the deadline. ``NOT_RUN`` is returned as
        it is: coming back needs a new id.

        :param method: full name, ``package.Service/Method``.
        :param tasks: one serialized request a task.
        :param deadline_s: time until the answer is of no use, in seconds.
        :param submission_id: an id of the caller's own; default: a ticket.
        :param address: the instance to try first; default: any.
        :returns: the answer; ``UNKNOWN`` if none was had in time.
        """
        deadline = time.monotonic() + deadline_s
        order = self._order(address)
        if submission_id is not None:
            request = to_request(submission_id, method, tasks, deadline_s)
            return await self._until_final(request, order, deadline, is_new=False)
        while True:
            ticket = await self._take_ticket(order, deadline)
            if ticket is None:
                return not_sent(tasks)
            left = max(SHORTEST_S, deadline - time.monotonic())
            request = to_request(ticket.submission_id, method, tasks, left)
            others = [other for other in order if other != ticket.address]
            way = [ticket.address, *others]
            answer = await self._until_final(request, way, deadline, is_new=True)
            # Nothing ran and nothing will under this ticket, for a reason that
            # does not concern the request, so another ticket is no second run.
            again = answer.outcome is Outcome.NOT_RUN and answer.reason in NEW_TICKET
            if not again or time.monotonic() >= deadline:
                return answer
            self.renewals += 1

    async def collect(self, submission_id: str, *, timeout_s: float = 5.0) -> Answer:
        """Return what the instances know of a submission now."""
        answer = unknown(submission_id, "no instance answered")
        for address in self._order(None):
            stub = self._stub(address)
            try:
                reply = await stub.Collect(
                    pb.CollectRequest(submission_id=submission_id),
                    timeout=timeout_s,
                    metadata=self._metadata,
                )
            except (GRPCError, *CONNECTION_ERRORS):
                continue
            answer = Answer.from_message(reply)
            if answer.outcome is not Outcome.UNKNOWN:
                return answer
        return answer

    async def cancel(
        self, submission_id: str, *, timeout_s: float = 5.0
    ) -> tuple[bool, Answer]:
        """Cancel a submission.

        :returns: whether the cancellation settled it, and the answer that stands.
        """
        for address in self._order(None):
            stub = self._stub(address)
            try:
                reply = await stub.Cancel(
                    pb.CancelRequest(submission_id=submission_id),
                    timeout=timeout_s,
                    metadata=self._metadata,
                )
            except (GRPCError, *CONNECTION_ERRORS):
                continue
            return reply.cancelled, Answer.from_message(reply.answer)
        return False, unknown(submission_id, "no instance answered")

    async def watch(self, submission_id: str) -> AsyncIterator[pb.JobEvent]:
        """Yield progress until the event that carries the answer."""
        request = pb.CollectRequest(submission_id=submission_id)
        for address in self._order(None):
            stub = self._stub(address)
            try:
                async with stub.Watch.open(metadata=self._metadata) as stream:
                    await stream.send_message(request, end=True)
                    async for event in stream:
                        yield event
                return
            except (GRPCError, *CONNECTION_ERRORS):
                continue

    def _stub(self, address: Address) -> DispatcherStub:
        return DispatcherStub(self._channels_by_address[address])

    def _order(self, first: Address | None) -> list[Address]:
        order = list(self._channels_by_address)
        self._random.shuffle(order)
        if first is not None:
            order.remove(first)
            order.insert(0, first)
        # Without a balancer in between, an address that refused connections a
        # moment ago would cost every call one vain attempt.
        now = time.monotonic()
        return sorted(order, key=lambda one: self._refused_until(one) > now)

    def _refused_until(self, address: Address) -> float:
        return self._refused_until_by_address.get(address, 0.0)

    def _note_refused(self, address: Address) -> None:
        # Tickets of a process that is gone would each cost a takeover.
        self._tickets_by_address[address].clear()
        until = time.monotonic() + self._settings.avoid_refused_s
        self._refused_until_by_address[address] = until

    async def ticket(
        self, *, address: Address | None = None, timeout_s: float = 1.0
    ) -> Ticket | None:
        """Return a submission id before its submission, to watch or send it again.

        :param address: the instance to ask first; default: any.
        :param timeout_s: longest time to ask for one, in seconds.
        :returns: None if no instance gave one; nothing was submitted then.
        """
        order = self._order(address)
        return await self._take_ticket(order, time.monotonic() + timeout_s)

    async def _take_ticket(
        self, order: Sequence[Address], deadline: float
    ) -> Ticket | None:
        while True:
            for address in order:
                ticket = await self._ticket_from(address, deadline)
                if ticket is not None:
                    return Ticket(submission_id=ticket, address=address)
            if time.monotonic() >= deadline:
                return None
            await asyncio.sleep(self._settings.resubmit_pause_s)

    async def _ticket_from(self, address: Address, deadline: float) -> str | None:
        tickets = self._tickets_by_address[address]
        if not tickets:
            request = pb.IssueTicketsRequest(count=self._settings.ticket_batch)
            timeout = max(0.001, min(1.0, deadline - time.monotonic()))
            try:
                reply = await self._stub(address).IssueTickets(
                    request, timeout=timeout, metadata=self._metadata
                )
            except ConnectionRefusedError:
                self._note_refused(address)
                return None
            except (GRPCError, *CONNECTION_ERRORS):
                return None
            tickets.extend(reply.tickets)
        return tickets.popleft() if tickets else None

    async def _until_final(
        self,
        request: pb.SubmitRequest,
        order: Sequence[Address],
        deadline: float,
        *,
        is_new: bool,
    ) -> Answer:
        """Call one instance after the other until one knows the final answer.

        A call that is silent for long goes on beside the next one: a stopped
        process keeps its connection open and would hold its caller until the
        deadline. The id makes the calls idempotent, so they may overlap.

        :param is_new: whether the id was never sent to any instance before.
        """
        answer = unknown(request.submission_id, "no instance answered in time")
        give_up = deadline + self._settings.grace_s
        patience = max(
            self._settings.hedge_after_s,
            self._settings.hedge_share * (deadline - time.monotonic()),
        )
        pause = self._settings.resubmit_pause_s
        calls: set[asyncio.Task[Answer | None]] = set()
        attempt = 0
        try:
            while (left := give_up - time.monotonic()) > 0:
                unsent = is_new and attempt == 0
                address = order[attempt % len(order)]
                call = self._submit_once(address, request, left, unsent=unsent)
                calls.add(asyncio.create_task(call))
                attempt += 1
                silence = min(patience * attempt, left)
                if patience * attempt >= HEDGE_IN_VAIN * left:
                    # Too late for another instance to do what the first has not.
                    silence = left
                found, calls = await _next_answer(calls, silence)
                if found is not None and found.is_final:
                    return found
                answer = found or answer
                self.resubmissions += 1
                if found is not None or not calls:
                    await asyncio.sleep(min(self._spread(pause, answer), left))
                    pause = min(pause * 2, self._settings.longest_pause_s)
            return answer
        finally:
            for call_left in calls:
                call_left.cancel()

    def _spread(self, pause: float, answer: Answer) -> float:
        advised = answer.retry_after_ms / 1000
        return max(advised, pause) * self._random.uniform(0.5, 1.0)

    async def _submit_once(
        self, address: Address, request: pb.SubmitRequest, left: float, *, unsent: bool
    ) -> Answer | None:
        """Call one instance.

        :param unsent: whether no earlier call may have brought the id anywhere,
            so that an error before sending proves that nothing runs.
        """
        stub = self._stub(address)
        try:
            reply = await stub.Submit(request, timeout=left, metadata=self._metadata)
        except GRPCError as error:
            if unsent and error.status in FATAL_STATUSES:
                return not_run(
                    request, Reason.INVALID, error.message or error.status.name
                )
            return None
        except ConnectionRefusedError:
            self._note_refused(address)
            if unsent:
                detail = f"nothing listens at {address}"
                return not_run(request, Reason.HOME_UNREACHABLE, detail)
            return None
        except CONNECTION_ERRORS:
            self._note_refused(address)
            return None
        answer = Answer.from_message(reply)
        if answer.reason is Reason.DRAINING:
            self._tickets_by_address[address].clear()
        return answer


async def _next_answer(
    calls: set["asyncio.Task[Answer | None]"], timeout_s: float
) -> tuple[Answer | None, set["asyncio.Task[Answer | None]"]]:
    """Wait for the next call to end.

    :returns: the best answer among those that ended, and the calls still open.
    """
    done, open_calls = await asyncio.wait(
        calls, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
    answers = [call.result() for call in done]
    known = [answer for answer in answers if answer is not None]
    final = [answer for answer in known if answer.is_final]
    return next(iter(final or known), None), open_calls
