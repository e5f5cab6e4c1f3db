"""Timeouts that count only time in which this process could have heard an answer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

LEAST_GRACE_S = 0.005
"""Least time between the end of a wait and its timeout, in seconds: one turn of the
loop, which reads what has arrived, takes less than a millisecond."""


@asynccontextmanager
async def answer_timeout(timeout_s: float) -> AsyncIterator[None]:
    """Bound a wait for an answer; a process that stood still reads its mail first.

    A host takes its processor away for 0.1 s, or a collection of garbage takes that
    long: timers fire before the sockets are read, so that every answer that came
    meanwhile counts as lost. A leader then stops and starts again all that it had
    just ordered, and holds its targets for silent. By as much as the timer is late,
    twice ``timeout_s`` in all at the most, answers are still taken.

    :param timeout_s: longest wait, in seconds.
    :raises TimeoutError: there is no answer.
    """
    loop = asyncio.get_running_loop()
    end_at = loop.time() + timeout_s

    def allow_for_stall() -> None:
        now = loop.time()
        grace_s = max(LEAST_GRACE_S, min(now - end_at, timeout_s))
        scope.reschedule(now + grace_s)

    async with asyncio.timeout(None) as scope:
        timer = loop.call_at(end_at, allow_for_stall)
        try:
            yield
        finally:
            timer.cancel()
