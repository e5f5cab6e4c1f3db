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
from collections.abc import Sequence
from typing import NamedTuple

TELL_TIMEOUT_S = 0.75
"""Longest wait for a frame to be written before an end is acknowledged anyway, in
seconds: a member that does not read for longer may still send heartbeats."""

RETRY_PERIOD_S = 0.05
"""Pause between requests to a target while an end is not acknowledged, in seconds: it
answers them at once."""

Receipt = asyncio.Future[None]
"""Done once a frame was written to a member's connection, or that member is gone."""


class _Ends(NamedTuple):
    sequence: int
    receipts: Sequence[Receipt]
    expires_at: float


class ToldEnds:
    """The ends that one target listed, in the order of their sequence numbers."""

    def __init__(self) -> None:
        """Start with a target that has not listed any end."""
        self._acknowledged = 0
        self._waiting: deque[_Ends] = deque()

    @property
    def acknowledged(self) -> int:
        """Sequence number of the last end that may be acknowledged."""
        now = time.monotonic()
        while self._waiting and _is_told(self._waiting[0], now):
            self._acknowledged = self._waiting.popleft().sequence
        return self._acknowledged

    def add(self, sequence: int, receipts: Sequence[Receipt]) -> None:
        """Record that ends were processed.

        :param sequence: sequence number of the last of them.
        :param receipts: receipts of the frames that tell of them.
        """
        expires_at = time.monotonic() + TELL_TIMEOUT_S
        self._waiting.append(_Ends(sequence, receipts, expires_at))

    async def wait(self, timeout_s: float) -> None:
        """Wait until every end may be acknowledged.

        :param timeout_s: longest wait, in seconds.
        """
        pending = [
            receipt
            for ends in self._waiting
            for receipt in ends.receipts
            if not receipt.done()
        ]
        if pending:
            await asyncio.wait(pending, timeout=timeout_s)


def _is_told(ends: _Ends, now: float) -> bool:
    return now >= ends.expires_at or all(receipt.done() for receipt in ends.receipts)
