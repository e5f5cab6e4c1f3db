"""Addresses on the command line and calls to instances."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Annotated, TypeVar

import typer

from cassiaturn.cli._exit import ExitCode
from cassiaturn.cli._output import fail

if TYPE_CHECKING:
    from grpclib.client import Channel

    from cassiaturn.entities import Address

ReplyT = TypeVar("ReplyT")

CALL_TIMEOUT_S = 5.0
"""Longest wait for an operators' call, in seconds."""

AddressesOption = Annotated[
    list[str],
    typer.Option(
        "--to",
        envvar="CASSIATURN_TO",
        help="Address of an instance, host:port; give several to survive one.",
    ),
]

AddressOption = Annotated[
    str,
    typer.Option(
        "--to", envvar="CASSIATURN_TO", help="Address of the instance, host:port."
    ),
]


def read_address(text: str) -> "Address":
    """Return the address that an option names, or end the command.

    :param text: ``host:port``.
    """
    from cassiaturn.settings import parse_address

    try:
        return parse_address(text)
    except ValueError as error:
        fail(ExitCode.USAGE, f"--to {text}: {error}")


def call_instance(
    address: "Address", call: Callable[["Channel"], Awaitable[ReplyT]]
) -> ReplyT:
    """Make one call to one instance, or end the command.

    :param address: the instance.
    :param call: makes the call on an open channel.
    """
    return asyncio.run(_call(address, call))


async def _call(
    address: "Address", call: Callable[["Channel"], Awaitable[ReplyT]]
) -> ReplyT:
    from grpclib.client import Channel
    from grpclib.exceptions import GRPCError, StreamTerminatedError

    async with Channel(address.host, address.port) as channel:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await call(channel)
        except GRPCError as error:
            detail = error.message or error.status.name
            fail(ExitCode.REFUSED, f"{address}: {detail}")
        except TimeoutError:
            fail(ExitCode.UNREACHABLE, f"{address}: no answer in {CALL_TIMEOUT_S} s")
        except (OSError, StreamTerminatedError) as error:
            fail(ExitCode.UNREACHABLE, f"{address}: {error}")
