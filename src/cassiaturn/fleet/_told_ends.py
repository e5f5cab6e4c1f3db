"""Tells which ends of runs a leader may acknowledge to their target.

Failure: a leader acknowledges that a task is done, and its process is killed before it
has told any other member. The target has forgotten the end, so the next leader learns
of it from nobody and starts the task again. Here an end is acknowledged only after the
frame that tells of it was written to a member's connection: an operating system
delivers it even if the process is killed then.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

TELL_TIMEOUT_S = 0.75
"""Longest wait for a frame to be written before an end is acknowledged anyway, in
seconds: a member that does not read for longer may still send heartbeats."""

RETRY_PERIOD_S = 0.05
"""Pause between requests to a target while an end is not acknowledged, in seconds: it
answers them at once."""


class Receipt:
    """Settled once a frame was written to a member's connection, or it is gone.

    There is one for nearly every end of a run. Unlike a future, it calls back without
    a turn of the event loop, which a leader near its processor limit takes long for.
    """

    __slots__ = ("_callbacks", "is_settled")

    def __init__(self) -> None:
        """Start with a frame that waits."""
        self.is_settled = False
        self._callbacks: list[Callable[[], None]] = []

    def settle(self) -> None:
        """Record that the frame was written; has no effect the second time."""
        self.is_settled = True
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()

    def on_settled(self, callback: Callable[[], None]) -> None:
        """Call back once the frame was written, which has not happened yet."""
        self._callbacks.append(callback)


@dataclass(slots=True, kw_only=True, eq=False)
class _Ends:
    """Ends of runs that one list reported."""

    sequence: int
    """Sequence number of the last of them."""

    unsettled: int
    """Receipts that are not settled."""

    expires_at: float
    """When they are acknowledged anyway, in seconds."""


class ToldEnds:
    """The ends that one target listed, in the order of their sequence numbers."""

    def __init__(self) -> None:
        """Start with a target that has not listed any end."""
        self._acknowledged = 0
        self._waiting: deque[_Ends] = deque()
        self._unsettled = 0
        self._all_settled: asyncio.Future[None] | None = None

    @property
    def acknowledged(self) -> int:
        """Sequence number of the last end that may be acknowledged."""
        now = time.monotonic()
        while self._waiting:
            ends = self._waiting[0]
            if ends.unsettled and now < ends.expires_at:
                break
            self._acknowledged = self._waiting.popleft().sequence
            self._unsettled -= ends.unsettled
            ends.unsettled = 0
        return self._acknowledged

    def add(self, sequence: int, receipts: Iterable[Receipt]) -> None:
        """Record that ends were processed.

        :param sequence: sequence number of the last of them.
        :param receipts: receipts of the frames that tell of them.
        """
        unsettled = {receipt for receipt in receipts if not receipt.is_settled}
        ends = _Ends(
            sequence=sequence,
            unsettled=len(unsettled),
            expires_at=time.monotonic() + TELL_TIMEOUT_S,
        )
        for receipt in unsettled:
            receipt.on_settled(partial(self._count_settled, ends))
        self._unsettled += len(unsettled)
        self._waiting.append(ends)

    async def wait(self, timeout_s: float) -> None:
        """Wait until every end may be acknowledged.

        :param timeout_s: longest wait, in seconds.
        """
        if not self._unsettled:
            return
        loop = asyncio.get_running_loop()
        self._all_settled = loop.create_future()
        timer = loop.call_later(timeout_s, self._end_wait)
        try:
            await self._all_settled
        finally:
            timer.cancel()
            self._all_settled = None

    def _count_settled(self, ends: _Ends) -> None:
        if not ends.unsettled:
            # They were acknowledged after their timeout.
            return
        ends.unsettled -= 1
        self._unsettled -= 1
        if not self._unsettled:
            self._end_wait()

    def _end_wait(self) -> None:
        if self._all_settled is not None and not self._all_settled.done():
            self._all_settled.set_result(None)
