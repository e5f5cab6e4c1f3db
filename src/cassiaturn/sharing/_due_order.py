"""Orders the jobs that wait for capacity by lateness, priority and due time.

Load pattern: more work than capacity, in kinds of different urgency, each with a time
after which its answer is worth less. The extreme case is the second after an outage,
when its callers arrive together and most of their jobs are late already. In order of
arrival, short urgent jobs wait behind long ones and are all late. By priority alone,
urgent jobs that are already late take the capacity of others that could be in time.

Grounds: a late answer is worth a fifth of one in time, and an even later one only ends
its caller's wait. So jobs that can be in time go first, then those that can still be
useful, and the rest run where nobody else needs the capacity. Within each of these
classes priority is strict, since operators set it to say who goes first.
Within one priority, jobs that have started go first, since the resources that
their other tasks hold are of no use until the last one is done. Then comes the earliest
due time, which is optimal while all jobs can be in time.
"""

from enum import IntEnum
from typing import NamedTuple

import xxhash

from cassiaturn.sharing._deadlines import Deadlines

TRANSFER_MARGIN_S = 0.02
"""Time reserved for sending the orders and the answer, in seconds. Without it the jobs
that are due first each start at the last possible moment, and all are slightly late."""

_HASH_RANGE = float(1 << 64)

RETRY_JITTER = 1.0
"""Length of the interval over which the retries of refused callers are spread, as a
multiple of the advised delay: those refused in one burst return over the time that it
took."""


class Lateness(IntEnum):
    """What answer a job can expect if it starts now."""

    IN_TIME = 0
    """An answer that is in time."""

    LATE = 1
    """An answer that is late but still useful."""

    PAST_USE = 2
    """An answer that its caller gets, but that is no longer useful."""


class OrderKey(NamedTuple):
    """Sort key of a job in the queue; the lowest goes first."""

    lateness: Lateness
    """What answer it can expect."""

    priority: int
    """Priority of its route; 0 is the most urgent."""

    is_new: bool
    """Whether none of its tasks has started."""

    due_at: float
    """When its answer is due, in seconds."""


def order_key(
    *,
    priority: int,
    deadlines: Deadlines,
    expected_run_s: float,
    is_new: bool,
    now: float,
) -> OrderKey:
    """Return the sort key of a job in the queue.

    :param priority: priority of its route; 0 is the most urgent.
    :param expected_run_s: expected length of its longest chain of tasks, in seconds.
    :param is_new: whether none of its tasks has started.
    :param now: current time in seconds.
    """
    late_from, past_use_from = lateness_changes(deadlines, expected_run_s)
    if now <= late_from:
        lateness = Lateness.IN_TIME
    elif now <= past_use_from:
        lateness = Lateness.LATE
    else:
        lateness = Lateness.PAST_USE
    return OrderKey(lateness, priority, is_new, deadlines.due_at)


def lateness_changes(
    deadlines: Deadlines, expected_run_s: float
) -> tuple[float, float]:
    """Return the two times at which a job's lateness class changes, in seconds.

    The first is its latest start for an answer in time, the second its latest start for
    an answer that is still useful.

    :param expected_run_s: expected length of its longest chain of tasks, in seconds.
    """
    needed_s = expected_run_s + TRANSFER_MARGIN_S
    return deadlines.due_at - needed_s, deadlines.useful_until - needed_s


def spread_retry_after(job_id: str, min_s: float) -> float:
    """Return after how long a refused caller should retry, in seconds, with jitter.

    Without jitter, callers refused at the same moment would retry at the same moment,
    and all but the first would be refused again.

    :param job_id: its hash gives the position in the interval.
    :param min_s: time until there may be capacity again, in seconds.
    """
    hash_fraction = xxhash.xxh3_64_intdigest(job_id.encode()) / _HASH_RANGE
    return min_s * (1.0 + RETRY_JITTER * hash_fraction)
