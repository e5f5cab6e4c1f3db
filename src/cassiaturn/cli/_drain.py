"""Commands that take targets and instances out of service."""

from typing import TYPE_CHECKING, Annotated

import typer

from cassiaturn.cli._connection import (
    AddressesOption,
    AddressOption,
    call_instance,
    read_address,
)
from cassiaturn.cli._exit import ExitCode
from cassiaturn.cli._output import fail

if TYPE_CHECKING:
    from grpclib.client import Channel

    from cassiaturn.v1.dispatcher_pb2 import DrainReply

app = typer.Typer(help="Take targets and instances out.", no_args_is_help=True)


@app.command()
def target(
    target_id: Annotated[str, typer.Argument(help="The target.")],
    to: AddressesOption,
    activate: Annotated[bool, typer.Option(help="Take the drain back.")] = False,
) -> None:
    """Stop new starts at a target on the given instances; running tasks finish.

    Give every instance, since any of them may come to hold the target. To keep
    it drained across restarts, use configuration drain.

    Exit codes: 0 accepted by all, 6 no answer, 9 refused.
    """

    async def drain(channel: "Channel") -> "DrainReply":
        from cassiaturn.v1.dispatcher_grpc import OperatorStub
        from cassiaturn.v1.dispatcher_pb2 import DrainTargetRequest

        request = DrainTargetRequest(target_id=target_id, activate=activate)
        return await OperatorStub(channel).DrainTarget(request)

    for text in to:
        address = read_address(text)
        reply = call_instance(address, drain)
        if not reply.accepted:
            fail(ExitCode.REFUSED, f"{address}: {reply.detail}")
        typer.echo(f"{address}: {reply.detail}")


@app.command()
def instance(to: AddressOption) -> None:
    """Begin the planned stop of an instance; what is in flight finishes.

    Exit codes: 0 accepted, 6 no answer, 9 refused.
    """

    async def drain(channel: "Channel") -> "DrainReply":
        from cassiaturn.v1.dispatcher_grpc import OperatorStub
        from cassiaturn.v1.dispatcher_pb2 import DrainInstanceRequest

        return await OperatorStub(channel).DrainInstance(DrainInstanceRequest())

    address = read_address(to)
    reply = call_instance(address, drain)
    if not reply.accepted:
        fail(ExitCode.REFUSED, f"{address}: {reply.detail}")
    typer.echo(f"{address}: {reply.detail}")
