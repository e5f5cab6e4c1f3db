"""Timeouts that count only time in which this process could have heard an answer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

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
        scope.reschedule(now + _grace_s(now - end_at, timeout_s))

    async with asyncio.timeout(None) as scope:
        timer = loop.call_at(end_at, allow_for_stall)
        try:
            yield
        finally:
            timer.cancel()


class AnswerTimer:
    """Ends the wait for one future as :func:`answer_timeout` does, at half the cost.

    A leader near its processor limit makes thousands of calls a second. A scope that
    cancels its task takes two objects of asyncio and a generator for each of them.
    """

    __slots__ = ("_answer", "_end_at", "_handle", "_loop", "_timeout_s")

    def __init__(
        self,
        *,
        answer: "asyncio.Future[Any]",
        timeout_s: float,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Start the timer.

        :param answer: fails with ``TimeoutError`` if it is not done in time.
        :param timeout_s: longest wait, in seconds.
        :param loop: the running event loop.
        """
        self._answer = answer
        self._timeout_s = timeout_s
        self._loop = loop
        self._end_at = loop.time() + timeout_s
        self._handle = loop.call_at(self._end_at, self._allow_for_stall)

    def cancel(self) -> None:
        """Stop the timer."""
        self._handle.cancel()

    def _allow_for_stall(self) -> None:
        now = self._loop.time()
        grace_s = _grace_s(now - self._end_at, self._timeout_s)
        self._handle = self._loop.call_at(now + grace_s, self._expire)

    def _expire(self) -> None:
        if not self._answer.done():
            self._answer.set_exception(TimeoutError("no answer in time"))


def _grace_s(late_s: float, timeout_s: float) -> float:
    """Return how long answers are still taken after a timer, in seconds.

    :param late_s: by how much the timer fired late, in seconds.
    """
    return max(LEAST_GRACE_S, min(late_s, timeout_s))
