"""Pause of a shared target on which a run failed.

Load pattern: a worker that fails everything it starts is free at once and so gets
the next task too; tasks have two to four attempts.

Grounds: sound targets fail one run in 500, a bad one all of them, and even at one
target in eighty being bad at any time a single failure points to the target rather
than to the task. A pause costs a fraction of one worker; a wrong start costs an
attempt. So the first failure pauses the target already, and the pause doubles while
nothing succeeds there.
"""

FIRST_PAUSE_S = 0.25
"""Pause after the first failure in a row, in seconds: the length of a usual task."""

LONGEST_PAUSE_S = 2.0
"""Longest pause, in seconds: a target that recovers is used again within it."""


def failed_target_pause_s(failures_in_row: int) -> float:
    """Return how long a target gets no new start, in seconds.

    :param failures_in_row: runs that failed there since the last success, from 1.
    """
    doublings = min(failures_in_row - 1, 10)
    pause_s: float = FIRST_PAUSE_S * 2**doublings
    return min(pause_s, LONGEST_PAUSE_S)
