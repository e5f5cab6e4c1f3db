"""Tasks that a stream may cancel from inside."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from cassiaturn.observability import Event, log_event

ResultT = TypeVar("ResultT")

END_TIMEOUT_S = 1.0
"""Longest wait for a cancelled call to end, in seconds; its peer may stand still."""


async def run_apart(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a call on a stream in a task of its own.

    grpclib ends what waits on a broken stream by cancelling the task that waits. A
    loop that reconnects can't tell this from its own end: it would either stop for
    good, and the process serve nobody, or outlive a planned stop. In a task of its
    own the two differ.

    :raises ConnectionAbortedError: the stream cancelled the call.
    """
    task = asyncio.get_running_loop().create_task(work)
    try:
        await asyncio.wait([task])
    except asyncio.CancelledError:
        task.add_done_callback(_log_failure)
        task.cancel()
        await asyncio.wait([task], timeout=END_TIMEOUT_S)
        raise
    if task.cancelled():
        raise ConnectionAbortedError("the stream ended during the call")
    return task.result()


def _log_failure(task: "asyncio.Task[Any]") -> None:
    """Log how a call ended whose caller has gone.

    A connection that breaks at the same time makes the end of its stream fail.
    Retrieved by nobody, that would be reported as a fault of the program.
    """
    if not task.cancelled() and task.exception() is not None:
        log_event(Event.PEER_LOST, detail=repr(task.exception()))
