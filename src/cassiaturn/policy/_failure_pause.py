"""Backoff for a target whose last tasks all failed.

Load pattern: a worker that fails every task immediately always has free slots, so
least-loaded placement sends it the next tasks. Without a pause, a task's few
attempts are used up there before the target's health is evaluated.

Grounds: the first failure causes no pause, because a single task may fail by its
own fault. From the second consecutive failure on the pause doubles, from the run
time of the shortest tasks up to four periods of the health evaluation, which has
ejected the target by then.
"""

FIRST_PAUSE_S = 0.05
"""Pause after the second consecutive failure, in seconds."""

LONGEST_PAUSE_S = 0.4
"""Longest pause, in seconds."""


def failure_pause_s(failures_in_row: int) -> float:
    """Return for how long a target gets no new start, in seconds.

    :param failures_in_row: tasks that failed on it since its last success.
    """
    if failures_in_row < 2:
        return 0.0
    doublings = min(failures_in_row - 2, 10)
    pause_s: float = FIRST_PAUSE_S * 2**doublings
    return min(pause_s, LONGEST_PAUSE_S)
