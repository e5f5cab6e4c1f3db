"""Times and limits of a leader."""

from dataclasses import dataclass

MAX_LEASE_S = 1.0
"""Longest lease that is asked for, in seconds: whatever runs for a leader that is gone
is over before its callers come back after 1.3 s."""

CLOCK_DRIFT_RATIO = 0.02
"""Share by which a target's clock may be slow."""

MAX_ORDER_DELAY_S = 0.08
"""Longest way of an order that is answered in time, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkloadSettings:
    """Times of the decisions about jobs and runs, all in seconds."""

    lease_s: float = MAX_LEASE_S
    """Longest lease that a target grants."""

    lease_over_s: float = 1.1
    """When a lease that was last renewed at a time has certainly run out on the
    target's clock: the lease, 2% of clock drift, and 80 ms for the order's way."""

    ended_job_retention_s: float = 20.0
    """How long an ended job is remembered: late resubmissions come within
    seconds of the answer."""

    inherited_hold_s: float = 1.85
    """How long a job of an earlier leader waits while a target is not heard. That
    leader, cut off, goes on for 0.75 s before it drops the job, and what it renewed
    just then lasts a lease longer; with the lease alone a cut that heals in between
    leaves two runs of one task."""

    first_lists_wait_s: float = 0.06
    """How long a new leader waits for the lists of all targets before its first
    start: they come within 20 ms, and one that does not answer may not hold callers
    for longer than the shortest tasks last. A run of a job that is submitted again
    may be on any of them."""

    directory_wait_s: float = 0.3
    """How long a leader that knows no target yet queues jobs for the directory, in
    seconds: it comes within 20 ms, or 0.24 s where the table service is slow. After
    a restart of everybody all callers would be refused meanwhile."""

    first_list_timeout_s: float = 0.15
    """When a target that has not answered a new leader counts as out of reach: copies
    of the request for its first list have gone out for 0.11 s by then, and each is
    answered in 3 ms. A cut is noticed after 0.45 s and led past 0.1 s later, so
    that callers whose jobs cannot be told apart from what runs behind it hear so
    within 0.75 s, if they have no time to wait for its leases."""

    handover_window_s: float = 2.5
    """How long after its begin a leader may conclude from the lists of its targets
    what its predecessor left: below the time after which a target that is missing
    from the directory is forgotten."""

    orphan_grace_s: float = 0.35
    """How long a run of an unknown job waits for its caller's member to submit the
    job again after a change of leader: reconnecting takes some 30 ms, and a slow
    host several times that."""

    unclaimed_end_retention_s: float = 3.0
    """How long the end of a task is kept whose job is unknown: members pass their jobs
    on within some 0.1 s, and a caller whose member is gone comes back after 1.3 s."""

    stall_timeout_s: float = 0.35
    """Time without progress after which a run counts as standing still: at a
    hundredth a step, a run of 5 s, six times the longest usual one, shows progress
    every 50 ms."""

    stall_pause_s: float = 2.0
    """How long a target on which a run stood still gets no start: the check that
    follows costs the time of a stalled run."""

    unhealthy_pause_s: float = 0.2
    """How long a target that refused work as unhealthy gets no start."""

    unanswered_pause_s: float = 0.1
    """How long a target that left a request unanswered gets no start: the second one
    tells within it whether the target lives, and a start on one that does not would
    wait for its lease."""

    no_room_pause_s: float = 0.05
    """How long a target that had no room gets no start: something runs there that
    is not counted here, and the shortest tasks last 50 ms."""

    stop_resend_interval_s: float = 0.15
    """Pause before an order to stop is sent again: fifty times its usual 3 ms. Until
    it is answered its task cannot start elsewhere."""

    refusal_margin_s: float = 0.02
    """Time kept for the way of an answer to its caller."""

    min_retry_after_s: float = 1.0
    """Least advice to a refused caller: the header counts whole seconds."""

    run_numbers_per_term: int = 64
    """Distance of the run numbers of one leadership from those of the next: more
    starts of one task than its leadership makes in general. A number that is too low
    is answered as outdated, and raised."""


def settings_for_lease(granted_s: float) -> WorkloadSettings:
    """Return the times for targets that grant leases up to a length.

    :param granted_s: longest lease that they grant, in seconds.
    """
    lease_s = min(MAX_LEASE_S, granted_s)
    return WorkloadSettings(
        lease_s=lease_s,
        lease_over_s=lease_s * (1 + CLOCK_DRIFT_RATIO) + MAX_ORDER_DELAY_S,
    )
