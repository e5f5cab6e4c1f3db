"""An event loop in virtual time."""

import heapq
from collections.abc import Callable
from typing import Any


class EventLoop:
    """Runs callbacks in the order of their virtual times.

    Use one for each run. Callbacks set for the same time run in the order in
    which they were set, so that a run depends on its seed alone.
    """

    def __init__(self) -> None:
        self.now = 0.0
        """Virtual time in seconds."""
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._next_sequence = 0

    def call_at(self, time: float, callback: Callable[..., None], *args: Any) -> None:
        """Run a callback at a virtual time.

        :param time: seconds; a time that has passed means now.
        :param callback: called once with ``args``.
        """
        due = max(time, self.now)
        heapq.heappush(self._heap, (due, self._next_sequence, callback, args))
        self._next_sequence += 1

    def call_later(
        self, delay: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Run a callback after a delay in seconds."""
        self.call_at(self.now + delay, callback, *args)

    def run(self, *, until: float) -> None:
        """Run every callback that is due before a virtual time.

        :param until: seconds; callbacks set for later are left unrun.
        """
        heap = self._heap
        while heap and heap[0][0] <= until:
            time, _, callback, args = heapq.heappop(heap)
            self.now = time
            callback(*args)
        self.now = until
