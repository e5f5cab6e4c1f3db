"""How long a job that makes no progress is kept before its caller is told to retry.

Load pattern: after a fault some members have no leader, and some leaders reach no
target. Some of them recover within a second, others stay cut off for many seconds.
Without a limit the jobs of the latter wait in vain; refused at once, the jobs of the
former lose a retry delay, and callers with little time left are never served.

Grounds: whether this member or another one will serve the job first is not known. A
caller that retries loses one retry delay. A job that waits for about as long before its
caller is told to retry loses at most twice what the better choice would. A caller
without enough time to retry gains nothing by it, so its job is kept for as long as it
can be served.
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
