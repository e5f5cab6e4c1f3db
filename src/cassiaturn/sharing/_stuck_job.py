"""When a job that makes no progress where it is goes back to its caller.

Load pattern: members without a leader after a fault, and leaders that hear no target,
of which some find one within a second and others are cut off for many.

Grounds: whether this member or another one will serve the job first is not known. A
caller that comes back loses a pause; a job that waits for about as long before it is
handed back loses at most twice what the better choice does. A caller that has no time
to come back gains nothing by it, so its job waits for as long as it can be served.
"""

from cassiaturn.sharing._feasibility import latest_start

STUCK_JOB_WAIT_S = 1.0
"""How long a job waits where nothing is done for it, in seconds: a successor of a
silent leader is found in 0.5 to 0.8 s."""

RETURN_S = 2.0
"""Time until a caller comes back, in seconds: after 1.3 s where its job may have begun,
and when it is told to otherwise, in whole seconds."""


def stuck_job_deadline(
    *, stuck_since: float, limit_at: float, expected_run_s: float, has_begun: bool
) -> float:
    """Return until when a job is kept that makes no progress, in seconds.

    :param stuck_since: since when nothing is done for it, in seconds.
    :param limit_at: when its caller stops waiting, in seconds.
    :param expected_run_s: expected length of its longest chain, in seconds.
    :param has_begun: whether tasks of it may run, or have ended: the latest time to
        start it says nothing then.
    """
    start_by = latest_start(
        limit_at=limit_at, expected_run_s=expected_run_s, is_idle=True
    )
    patient_until = stuck_since + STUCK_JOB_WAIT_S
    if patient_until + RETURN_S <= start_by:
        return patient_until
    return max(patient_until, limit_at if has_begun else start_by)
