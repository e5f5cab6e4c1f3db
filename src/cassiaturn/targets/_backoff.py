"""Pauses between attempts to connect."""

import random

FIRST_PAUSE_S = 0.05
"""Pause after the first failure: a restarted process is back soon."""

LONGEST_PAUSE_S = 2.0
"""Longest pause, so that a target that returns is in use within seconds."""

GROWTH = 2.0
"""Factor between one pause and the next."""


class Backoff:
    """Growing pauses with full jitter, for one peer.

    Without jitter, all instances that lost a target at the same moment would
    connect again at the same moment, and its connection limit would refuse
    some of them each time.
    """

    __slots__ = ("_pause_s", "_random")

    def __init__(self, *, seed: int | None = None) -> None:
        """Start at the shortest pause.

        :param seed: makes the pauses reproducible; None: seeded by the system.
        """
        self._random = random.Random(seed)
        self._pause_s = FIRST_PAUSE_S

    def reset(self) -> None:
        """Return to the shortest pause, after a connection that worked."""
        self._pause_s = FIRST_PAUSE_S

    def next_pause_s(self) -> float:
        """Return the next pause in seconds and lengthen the one after it."""
        pause_s = self._random.uniform(0.0, self._pause_s)
        self._pause_s = min(self._pause_s * GROWTH, LONGEST_PAUSE_S)
        return pause_s
