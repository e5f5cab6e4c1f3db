"""Exponential backoff with jitter between connection attempts."""

import random

INITIAL_PAUSE_S = 0.05
"""Upper bound of the first pause, in seconds: a process restarts quickly."""

MAX_PAUSE_S = 2.0
"""Upper bound of all pauses, in seconds: a target that recovers is used again
within seconds."""

GROWTH_FACTOR = 2.0
"""Factor between the upper bounds of one pause and the next."""


class Backoff:
    """Exponential backoff with full jitter, for one peer.

    Without jitter, all instances that lost a target at the same moment would reconnect
    at the same moment, and its connection limit would refuse some of them each time.
    """

    __slots__ = ("_pause_s", "_random")

    def __init__(self, *, seed: int | None = None) -> None:
        """Start at the initial pause.

        :param seed: seed for reproducible pauses; None: seeded by the system.
        """
        self._random = random.Random(seed)
        self._pause_s = INITIAL_PAUSE_S

    def reset(self) -> None:
        """Return to the initial pause, after a successful connection."""
        self._pause_s = INITIAL_PAUSE_S

    def next_pause_s(self) -> float:
        """Return the next pause in seconds and raise the bound of the following one."""
        pause_s = self._random.uniform(0.0, self._pause_s)
        self._pause_s = min(self._pause_s * GROWTH_FACTOR, MAX_PAUSE_S)
        return pause_s
