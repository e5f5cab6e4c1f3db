"""Limits how long a job without progress is kept before its caller is told to retry.

Load pattern: after a fault some members have no leader, and some leaders reach no
target. Some of them recover within a second, others stay disconnected for many
seconds. Without a limit, jobs wait at disconnected members until their callers give up.
If jobs are refused at once, those at members that recover lose a retry delay, and
callers with little time left are never served.

Grounds: it is not known in advance whether waiting here or a retry elsewhere serves the
job sooner. A retry costs one retry delay. If a job waits for about that long before its
caller is told to retry, it loses at most twice as much as by the better of the two
choices. A caller without enough time for a retry gains nothing by it, so its job is
kept for as long as it can be served.
"""

from cassiaturn.sharing._feasibility import latest_start

STUCK_JOB_WAIT_S = 1.0
"""How long a job is kept without progress, in seconds: a successor of an unresponsive
leader is found in 0.5 to 0.8 s."""

CALLER_RETRY_S = 2.0
"""Time until a caller retries, in seconds: 1.3 s if its job may have started; otherwise
the advised delay, which is in whole seconds."""


def stuck_job_deadline(
    *, stuck_since: float, limit_at: float, expected_run_s: float, has_begun: bool
) -> float:
    """Return until when a job that makes no progress is kept, in seconds.

    :param stuck_since: since when the job has made no progress, in seconds.
    :param limit_at: when its caller stops waiting, in seconds.
    :param expected_run_s: expected length of its longest chain of tasks, in seconds.
    :param has_begun: whether tasks of it may be running or have ended; its latest start
        time is then irrelevant.
    """
    start_by = latest_start(
        limit_at=limit_at, expected_run_s=expected_run_s, is_idle=True
    )
    wait_until = stuck_since + STUCK_JOB_WAIT_S
    if wait_until + CALLER_RETRY_S <= start_by:
        return wait_until
    return max(wait_until, limit_at if has_begun else start_by)
