"""Decides whether a job can still be answered while its caller waits.

Load pattern: task run times vary by a factor of three, some tasks need longer than
their callers wait, and all capacity is in use. Without this check such a task runs to
its end although nobody gets an answer, and the jobs queued behind it are late.

Grounds: the share of its work that a run reports gives a bound on its total length once
a few percent are done. A job that cannot complete in time is ended as soon as that is
known. One that has not started is refused while its caller can still go elsewhere.
"""

from dataclasses import dataclass

MIN_PERCENT = 5
"""Share of the work done below which no run time is derived: the few milliseconds
before a run begins its work would weigh too much."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """Progress of a run, as last reported by its target."""

    elapsed_s: float
    """Time from the confirmation of its start to the report, in seconds."""

    percent: int
    """Share of its work that was done, in whole percents rounded down."""

    def least_run_s(self) -> float:
        """Return a lower bound of the total run time, in seconds; 0: unknown.

        The true share lies between this percent and the next, and the bound uses the
        next: it never exceeds the true run time, and at a tenth of the work it is about
        a twentieth below it. An estimate from the middle of the two would, at a tenth
        of the work, end one in three jobs that are just in time.
        """
        if self.percent < MIN_PERCENT:
            return 0.0
        return self.elapsed_s * 100.0 / (self.percent + 1)


MIN_RUN_FRACTION = 0.5
"""Smallest fraction of its expected run time that a task is assumed to take. Declared
and learnt times have an error of 0.4 in the logarithm, so one run in twenty is shorter
than this fraction."""


def latest_start(*, limit_at: float, expected_run_s: float, is_idle: bool) -> float:
    """Return until when a job may start and still be answered, in seconds.

    If nothing else waits, an optimistic start costs nobody anything, and the progress
    of the run soon shows whether it can be in time. If others wait, it takes their
    capacity, so the full expected run time must fit.

    :param limit_at: when its caller stops waiting, in seconds.
    :param expected_run_s: expected length of its longest chain of tasks, in seconds.
    :param is_idle: whether nothing else waits for the same targets.
    """
    return limit_at - expected_run_s * (MIN_RUN_FRACTION if is_idle else 1.0)
