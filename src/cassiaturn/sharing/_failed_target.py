"""Computes how long a target on which runs failed gets no further start.

Load pattern: a target that fails every run is free again at once. Without a pause it
receives the next task too, and a task has only two to four attempts.

Grounds: healthy targets fail one run in 500, a broken one fails all of them. Even if
only one target in eighty is broken at any time, a single failure points to the target
rather than to the task. A pause costs a fraction of one worker, a wrong start costs an
attempt. So the first failure already pauses the target, and the pause doubles until a
run succeeds there.
"""

INITIAL_PAUSE_S = 0.25
"""Pause after the first of consecutive failures, in seconds: the length of a usual
task."""

MAX_PAUSE_S = 2.0
"""Longest pause, in seconds: a target that recovers is used again within it."""


def failed_target_pause_s(consecutive_failures: int) -> float:
    """Return how long a target gets no new start, in seconds.

    :param consecutive_failures: runs that failed there since the last success, from 1.
    """
    doublings = min(consecutive_failures - 1, 10)
    pause_s: float = INITIAL_PAUSE_S * 2**doublings
    return min(pause_s, MAX_PAUSE_S)
