"""Timeouts that count only time in which this process could have heard an answer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

LEAST_GRACE_S = 0.005
"""Least time between the end of a wait and its timeout, in seconds: one turn of the
loop, which reads what has arrived, takes less than a millisecond."""

MOST_GRACES = 3
"""Sleeps added while a process stands still again and again; a slow host is late each
time, and must not wait for ever."""


async def sleep_awake(delay_s: float, *, most_grace_s: float) -> None:
    """Sleep, and let what arrived be read if the process stood still meanwhile.

    A check for silence that follows would otherwise find a peer silent whose
    heartbeats lie unread.

    :param delay_s: how long, in seconds.
    :param most_grace_s: longest addition after a sleep, in seconds.
    """
    late_s = await _lateness(delay_s)
    for _ in range(MOST_GRACES):
        late_s = await _lateness(max(LEAST_GRACE_S, min(late_s, most_grace_s)))
        if late_s < LEAST_GRACE_S:
            return


async def _lateness(delay_s: float) -> float:
    """Sleep; returns by how much longer than asked, in seconds."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + delay_s
    await asyncio.sleep(delay_s)
    return loop.time() - end_at


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
