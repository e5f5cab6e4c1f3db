"""When a leader looks for a later one before it renews its row."""

import asyncio

SUPERSEDED_CHECK_S = 0.5
"""Least time between two looks for a later leader, in seconds."""


class SupersededSignal:
    """Signs that a later leader may be there."""

    def __init__(self) -> None:
        self._signs = asyncio.Event()
        self._was_signalled = False

    def signal(self) -> None:
        """Take in a sign: a target or a member has seen a higher token."""
        self._signs.set()

    def reset(self) -> None:
        """Forget earlier signs, as at the begin of a term."""
        self._was_signalled = False

    async def wait(self, timeout_s: float) -> None:
        """Wait for a sign.

        :param timeout_s: longest wait, in seconds.
        """
        self._signs.clear()
        # Every target of the far side of a cut gives a sign again and again.
        await asyncio.sleep(SUPERSEDED_CHECK_S if self._was_signalled else 0.0)
        try:
            async with asyncio.timeout(timeout_s):
                await self._signs.wait()
            self._was_signalled = True
        except TimeoutError:
            self._was_signalled = False
