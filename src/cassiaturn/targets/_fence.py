"""The call that shuts a dead incarnation out of a target."""

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
    """Have a target refuse later starts of a home and tell what it began.

    It uses a connection of its own, since a successor need not be the holder
    of the target. Repeating it is safe.

    :param address: the target.
    :param home: incarnation to shut out.
    :param only_tell: leave the home in force and only tell what it began.
    :param about: limits what is told to these tasks; empty: all.
    :param lease_ms: extends the leases of its running tasks, in milliseconds.
    :param timeout_s: longest wait for the reply, in seconds.
    :returns: what the target began for that home, or why it gave no answer.
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
