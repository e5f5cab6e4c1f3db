"""Whether a task that would end too late should begin again on another target.

Load pattern: long tasks, of which some land on a target that has just turned slow, or
on one of the slower kind. Their progress tells within a tenth of their time that they
will outlast their caller. The whole job was given up then, though its other tasks ran
well and a sound target was free.

Grounds: what else runs on the target, or ended there just now, tells whether it is the
target that is slow or the task that is long. A second try costs what was run so far, at
most a few tenths of a second, and is made once a task.
"""

from collections.abc import Sequence
from statistics import median

RESTART_S = 0.06
"""From the order to stop a run to the start of the next one, in seconds: two answers
and the time that a target takes to stop."""

SAFETY = 1.1
"""Part by which a run may take longer than estimated: progress is told in hundredths, a
tenth of the work into a run."""


def slowdown_here(ratios: Sequence[float], *, pace_ratio: float) -> float:
    """Return how long a target takes at present, over what is usual.

    :param ratios: run times of what else runs there, or ended there just now, over the
        expected ones.
    :param pace_ratio: the same over its last thirty runs.
    """
    return max(pace_ratio, median(ratios)) if ratios else pace_ratio


def can_begin_again(
    *, length_s: float, pace_ratio: float, now: float, limit_at: float
) -> bool:
    """Return whether a second try would end in time.

    :param length_s: how long the task takes on a target of usual speed, in seconds.
    :param pace_ratio: how long the other target takes, over the usual time.
    :param now: time in seconds.
    :param limit_at: when its caller stops waiting, in seconds.
    """
    return now + RESTART_S + SAFETY * length_s * pace_ratio <= limit_at
