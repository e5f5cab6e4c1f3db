import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import pytest
import pytest_asyncio
from grpclib.server import Server, Stream
from typer.testing import CliRunner, Result

from cassiaturn.cli._app import app
from cassiaturn.entities import Address, Answer, Outcome
from cassiaturn.observability import (
    BreakerState,
    ConfigurationStatus,
    InstanceState,
    StatusDocument,
)
from cassiaturn.v1 import dispatcher_pb2 as pb
from cassiaturn.v1.dispatcher_grpc import DispatcherBase, OperatorBase

TICKET = "t1.osu-1.0.0"

Run = Callable[..., Awaitable[Result]]

STATUS = StatusDocument(
    instance_id="osu-1",
    incarnation="osu-1~5f",
    failure_domain="osu",
    state=InstanceState.READY,
    ready=True,
    uptime_ms=1,
    store_breaker=BreakerState.CLOSED,
    configuration=ConfigurationStatus(version=3, confirmed=True, age_ms=40),
)


@dataclass
class FakeInstance(DispatcherBase):
    """Answers every call with one answer and remembers what it was asked."""

    answer: Answer = field(
        default_factory=lambda: Answer(
            submission_id=TICKET, outcome=Outcome.COMPLETE, tasks_total=1, tasks_done=1
        )
    )
    cancelled: bool = True
    submitted: list[pb.SubmitRequest] = field(default_factory=list)

    async def IssueTickets(  # noqa: N802
        self, stream: "Stream[pb.IssueTicketsRequest, pb.IssueTicketsReply]"
    ) -> None:
        await stream.recv_message()
        await stream.send_message(pb.IssueTicketsReply(tickets=[TICKET]))

    async def Submit(  # noqa: N802
        self, stream: "Stream[pb.SubmitRequest, pb.Answer]"
    ) -> None:
        request = await stream.recv_message()
        assert request is not None
        self.submitted.append(request)
        await stream.send_message(self.answer.to_message())

    async def Watch(  # noqa: N802
        self, stream: "Stream[pb.CollectRequest, pb.JobEvent]"
    ) -> None:
        await stream.recv_message()
        await stream.send_message(pb.JobEvent(tasks_done=1, tasks_total=4))
        await stream.send_message(pb.JobEvent(answer=self.answer.to_message()))

    async def Collect(  # noqa: N802
        self, stream: "Stream[pb.CollectRequest, pb.Answer]"
    ) -> None:
        await stream.recv_message()
        await stream.send_message(self.answer.to_message())

    async def Cancel(  # noqa: N802
        self, stream: "Stream[pb.CancelRequest, pb.CancelReply]"
    ) -> None:
        await stream.recv_message()
        reply = pb.CancelReply(
            cancelled=self.cancelled, answer=self.answer.to_message()
        )
        await stream.send_message(reply)


@dataclass
class FakeOperator(OperatorBase):
    """Takes every drain, or none."""

    accepted: bool = True
    drains: list[str] = field(default_factory=list)

    async def Status(  # noqa: N802
        self, stream: "Stream[pb.StatusRequest, pb.StatusReply]"
    ) -> None:
        await stream.recv_message()
        await stream.send_message(
            pb.StatusReply(document_json=STATUS.model_dump_json())
        )

    async def DrainTarget(  # noqa: N802
        self, stream: "Stream[pb.DrainTargetRequest, pb.DrainReply]"
    ) -> None:
        request = await stream.recv_message()
        assert request is not None
        self.drains.append(f"{request.target_id} activate={request.activate}")
        await stream.send_message(pb.DrainReply(accepted=self.accepted))

    async def DrainInstance(  # noqa: N802
        self, stream: "Stream[pb.DrainInstanceRequest, pb.DrainReply]"
    ) -> None:
        await stream.recv_message()
        self.drains.append("instance")
        await stream.send_message(pb.DrainReply(accepted=self.accepted))


@dataclass
class Served:
    instance: FakeInstance
    operator: FakeOperator
    address: Address


@pytest_asyncio.fixture
async def served() -> AsyncIterator[Served]:
    instance, operator = FakeInstance(), FakeOperator()
    server = Server([instance, operator])
    listening = socket.create_server(("127.0.0.1", 0))
    await server.start(sock=listening)
    port = listening.getsockname()[1]
    yield Served(instance, operator, Address(host="127.0.0.1", port=port))
    server.close()
    await server.wait_closed()


@pytest.fixture
def run() -> Run:
    """Run a command in a thread, since it brings an event loop of its own."""

    async def invoke(*arguments: object, stdin: str | None = None) -> Result:
        words: Sequence[str] = [str(argument) for argument in arguments]
        return await asyncio.to_thread(CliRunner().invoke, app, words, input=stdin)

    return invoke
