"""Settings of the scheduling decisions of a leader."""

from dataclasses import dataclass

MAX_LEASE_S = 1.0
"""Longest lease that is requested, in seconds. Runs of a leader that is gone must end
before its callers come back after 1.3 s."""

INHERITED_HOLD_S = 1.85
"""How long a job of an earlier leader waits while one of its tasks may still run under
that leader, in seconds. A partitioned leader continues for 0.75 s before it drops the
job, and a lease that it renews just then lasts 1.1 s longer. Waiting for the lease
alone would allow two concurrent runs of a task if the partition heals in between."""

CANCEL_RETENTION_S = 20.0
"""How long a job stays cancelled, in seconds: copies of its request arrive within
seconds of the answer."""

CLOCK_DRIFT_RATIO = 0.02
"""Share by which a target's clock may run slow."""

MAX_ORDER_DELAY_S = 0.08
"""Longest delivery time of an order that is still answered in time, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkloadSettings:
    """Settings of the decisions about jobs and runs; all times are in seconds."""

    lease_s: float = MAX_LEASE_S
    """Longest lease that a target grants."""

    lease_over_s: float = 1.1
    """Time after its last renewal at which a lease has certainly expired by the
    target's clock: the lease, 2% of clock drift, and 80 ms for the delivery of the
    order."""

    ended_job_retention_s: float = 20.0
    """How long the outcome of an ended job is kept: late resubmissions arrive within
    seconds of the answer."""

    inherited_hold_s: float = INHERITED_HOLD_S
    """How long a job of an earlier leader waits while a target has not reported."""

    first_lists_wait_s: float = 0.06
    """How long a new leader waits for the lists of all targets before its first start,
    because a run of a resubmitted job may be on any of them. Lists arrive within 20 ms,
    and a target that does not answer must not delay callers for longer than the
    shortest tasks last."""

    directory_wait_s: float = 0.3
    """How long a leader that knows no target yet queues jobs until the directory
    arrives: within 20 ms, or 0.24 s where the table service is slow. Without it all
    callers would be refused in the meantime after a restart of the whole fleet."""

    first_list_timeout_s: float = 0.15
    """Time after which a target that has not answered a new leader counts as
    unreachable. By then the request for its first list has been repeated for 0.11 s,
    and each copy is answered in 3 ms. A partition is detected after 0.45 s and a new
    leader elected 0.1 s later, so a caller whose job may still run on the other side,
    and who has no time to wait for the leases there, is told within 0.75 s."""

    handover_window_s: float = 2.5
    """How long after the start of its term a leader may infer from the lists of its
    targets which runs its predecessor left. Shorter than the time after which a target
    that is missing from the directory is removed."""

    orphan_grace_s: float = 0.35
    """How long after a change of leader a run of an unknown job waits for the caller's
    member to submit the job again: reconnecting takes some 30 ms, and several times
    that on a slow host. It must end before a leader on the other side of a network
    partition, which cannot reach the target, counts its lease as over: 1.1 s after the
    partition began, and 0.55 s after this leader was elected."""

    unclaimed_end_retention_s: float = 3.0
    """How long the end of a task of an unknown job is kept: members pass their jobs on
    within some 0.1 s, and a caller whose member is gone comes back after 1.3 s."""

    stall_timeout_s: float = 0.35
    """Time without progress after which a run counts as stalled. Progress is reported
    in steps of 1%, so a run of 5 s, six times the longest usual one, shows progress
    every 50 ms."""

    stall_pause_s: float = 2.0
    """How long a target on which a run stalled gets no start: the next attempt there
    costs the time of another stalled run."""

    unhealthy_pause_s: float = 0.2
    """How long a target that refused a start as unhealthy gets no start."""

    unanswered_pause_s: float = 0.1
    """How long a target that left a request unanswered gets no start. The next request
    shows within that time whether the target is alive; a start on a dead one would have
    to wait for its lease."""

    no_room_pause_s: float = 0.05
    """How long a target that refused a start for lack of room gets no start: a run that
    is not accounted for occupies it, and the shortest tasks last 50 ms."""

    stop_resend_interval_s: float = 0.15
    """Interval at which an order to stop is sent again: fifty times its usual 3 ms. Its
    task cannot start elsewhere until it is answered."""

    refusal_margin_s: float = 0.02
    """Time reserved for an answer to reach its caller."""

    min_retry_after_s: float = 1.0
    """Shortest retry delay for a refused caller: the Retry-After header holds whole
    seconds."""

    remote_rack_factor: float = 1.0
    """How many times as long a task runs on another rack than the one it names."""

    admission: str = "backlog"
    """Name of the policy that decides which jobs to refuse."""

    cpu_cores: float = 0.0
    """Processor capacity of the leader's host, in cores; 0: not known."""

    run_numbers_per_term: int = 64
    """Run numbers reserved for each term: more than the starts that one term usually
    makes for a task. A number that is too low is answered as outdated, and raised."""


def settings_for_lease(
    granted_s: float,
    *,
    remote_rack_factor: float = 1.0,
    admission: str = "backlog",
    cpu_cores: float = 0.0,
) -> WorkloadSettings:
    """Return the settings for targets that grant leases up to a given length.

    :param granted_s: longest lease that they grant, in seconds.
    :param remote_rack_factor: how many times as long a task runs on another rack than
        the one it names.
    :param admission: name of the policy that decides which jobs to refuse.
    :param cpu_cores: processor capacity of the leader's host, in cores; 0: not known.
    """
    lease_s = min(MAX_LEASE_S, granted_s)
    return WorkloadSettings(
        lease_s=lease_s,
        lease_over_s=lease_s * (1 + CLOCK_DRIFT_RATIO) + MAX_ORDER_DELAY_S,
        remote_rack_factor=remote_rack_factor,
        admission=admission,
        cpu_cores=cpu_cores,
    )
