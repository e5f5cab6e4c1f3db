"""Fences a dead incarnation at a target: its later starts are refused there."""

from collections.abc import Iterable

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from returns.result import Failure, Result, Success

from cassiaturn.entities import Address, TaskKey
from cassiaturn.targets._errors import TargetError, TargetProblem
from cassiaturn.v1.runner_grpc import RunnerStub
from cassiaturn.v1.runner_pb2 import FenceReply, FenceRequest, TaskRef


async def fence(
    *,
    address: Address,
    home: str,
    timeout_s: float,
    lease_ms: int = 0,
    only_tell: bool = False,
    about: Iterable[TaskKey] = (),
) -> Result[FenceReply, TargetError]:
    """Make a target refuse later starts of a home and list the tasks it started.

    The call uses its own connection, since the successor that makes it need not hold
    the target and then has no session with it. It is idempotent.

    :param address: address of the target.
    :param home: incarnation to fence.
    :param timeout_s: timeout of the call, in seconds.
    :param lease_ms: extension of the leases of the home's running tasks, in
        milliseconds.
    :param only_tell: only list the home's started tasks, without fencing it.
    :param about: limits the list to these tasks; empty: all.
    :returns: the tasks that the target started for that home, or why there was no
        reply.
    """
    channel = Channel(address.host, address.port)
    try:
        stub = RunnerStub(channel)
        request = FenceRequest(
            home=home,
            lease_ms=lease_ms,
            only_tell=only_tell,
            about=[TaskRef(submission_id=key[0], index=key[1]) for key in about],
        )
        return Success(await stub.Fence(request, timeout=timeout_s))
    except TimeoutError:
        return _failure(TargetProblem.TIMEOUT, f"no reply within {timeout_s} s")
    except GRPCError as error:
        return _failure(TargetProblem.REFUSED, str(error))
    except (OSError, StreamTerminatedError) as error:
        return _failure(TargetProblem.UNREACHABLE, str(error))
    finally:
        channel.close()


def _failure(problem: TargetProblem, detail: str) -> Failure[TargetError]:
    return Failure(TargetError(problem=problem, detail=detail))
