"""Wakes a leader early to check whether another member has superseded it."""

import asyncio

MIN_CHECK_INTERVAL_S = 0.5
"""Minimum time between two such checks, in seconds."""


class SupersededSignal:
    """Collects hints that a member with a higher token may lead."""

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self._was_signalled = False

    def signal(self) -> None:
        """Record that a target or a member has seen a higher token."""
        self._event.set()

    def reset(self) -> None:
        """Forget earlier signals; called at the start of a term."""
        self._was_signalled = False

    async def wait(self, timeout_s: float) -> None:
        """Wait for a signal.

        :param timeout_s: longest wait for one, in seconds; the minimum interval after
            an earlier signal comes on top.
        """
        self._event.clear()
        # Every target on the other side of a network partition signals repeatedly.
        await asyncio.sleep(MIN_CHECK_INTERVAL_S if self._was_signalled else 0.0)
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
            self._was_signalled = True
        except TimeoutError:
            self._was_signalled = False
