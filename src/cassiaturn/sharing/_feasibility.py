"""Whether a job can still be answered while its caller waits.

Load pattern: tasks whose run times vary by a factor of three, of which some need
longer than their callers wait, at a load at which every place is taken. Run to its end
such a task gives nobody an answer, and what waits behind it is late.

Grounds: the share of its work that a run reports tells its whole length once a
fair part is done. A job that cannot be complete in time is ended as soon as that
is known, and one that has not begun is refused while its caller can still turn
elsewhere.
"""

from dataclasses import dataclass

LEAST_PERCENT = 5
"""Share of the work done below which nothing is concluded: the time until a run
begins to work, a few milliseconds, would count for too much."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """How far a run was when its target last told."""

    elapsed_s: float
    """Time since its start was confirmed until the list was made, in seconds."""

    percent: int
    """Share of its work that was done, in whole percents rounded down."""

    def least_run_s(self) -> float:
        """Return a lower bound of its whole length, in seconds; 0: not known.

        The share lies between this percent and the next. Taken for the middle, a
        job that would just be in time is given up in one case of three when a tenth
        of its work is done; the bound is never wrong, and a twentieth above the
        length then.
        """
        if self.percent < LEAST_PERCENT:
            return 0.0
        return self.elapsed_s * 100.0 / (self.percent + 1)


HOPE = 0.5
"""Part of its expected run that a task may turn out to take: declared and learnt
times are off by 0.4 in the logarithm, so that one in twenty takes less than this."""


def latest_start(*, limit_at: float, expected_run_s: float, is_idle: bool) -> float:
    """Return until when a job may start and still be answered, in seconds.

    Where nothing else waits, a start costs nobody anything and its progress tells
    soon whether it can be in time; where others wait, it takes their place.

    :param limit_at: when its caller stops waiting, in seconds.
    :param expected_run_s: expected length of its longest chain, in seconds.
    :param is_idle: whether nothing else waits for the same targets.
    """
    return limit_at - expected_run_s * (HOPE if is_idle else 1.0)
