"""Periods and timeouts of a leader's requests to a target.

A *list* is a target's report of what it runs. A leader requests one by a long poll,
which the target answers when a run ends, and by periodic requests, which it answers
immediately.
"""

BUSY_LONG_POLL_S = 0.9
"""Longest time that a target may hold a long poll while it has runs, in seconds."""

IDLE_LONG_POLL_S = 1.9
"""The same while it has no runs, in seconds: targets allow 2."""

RENEW_PERIOD_S = 0.3
"""Period of lease renewals while tasks run, in seconds: two may be lost within a lease
of a second, and progress is seen at a third of the longest usual task."""

TIGHT_RENEW_PERIOD_S = 0.14
"""Period of lease renewals while runs may miss their deadlines, in seconds. It is about
a tenth of a run of 1.5 s, so the first renewal already shows its progress: a run that
will be late is reported to its caller, and its slot freed, after a tenth of its time.
"""

SILENT_RETRY_PERIOD_S = 0.3
"""Pause between requests to a target that does not answer, in seconds."""

LOSSY_RENEW_PERIOD_S = 0.05
"""Period of lease renewals while answers are lost, in seconds, since the long poll may
be lost as well. It is the run time of the shortest tasks."""

MAX_LISTS_PER_S = 1_500.0
"""Bound on the periodic lists that one leader requests per second, over all targets.
Without it, while answers are lost, hundreds of targets would send more lists than the
leader can read in time, so that still more answers count as lost."""

LIST_TIMEOUT_S = 0.15
"""Timeout of a list that the target sends immediately, in seconds: fifty times its
usual time, and a seventh of a lease."""

ORDER_TIMEOUT_S = 0.08
"""Timeout of one attempt to send a start or stop order, in seconds: 25 times the usual
answer time, and twice the round trip to another region."""

START_ATTEMPTS = 3
"""Attempts to send a start order until one is answered: where a fifth of them is lost,
one start in 125 stays unanswered and is resolved by stopping the run."""

LOSSY_START_ATTEMPTS = 4
"""The same while answers are lost; only the last attempt gets the full timeout."""

LOSSY_LIST_RETRIES = 3
"""Retries of a lost list, while answers are lost, before a target counts as silent:
where three in ten lists are lost, all four are lost in one case of 120."""

LIST_RETRY_TIMEOUT_S = 0.1
"""Timeout of the last retry of a lost list, in seconds: thirty times its usual time."""

FIRST_LIST_SEND_TIMES_S = (0.0, 0.05, 0.08, 0.11)
"""When the requests for the first list of a target are sent until one is answered, in
seconds after the link was opened. A leader that opens 24 links at once reads the
answers after 20 to 45 ms, so the second request waits for that. The last one is
answered before jobs are given up for lack of a list. Where a fifth of the lists is
lost, one target in 600 stays without one."""


def list_period_s(preferred_s: float, *, targets: int) -> float:
    """Return the period at which to request lists from each target, in seconds.

    :param preferred_s: the period for a single target, in seconds.
    :param targets: number of targets that the leader has links to.
    """
    return min(max(preferred_s, targets / MAX_LISTS_PER_S), RENEW_PERIOD_S)
