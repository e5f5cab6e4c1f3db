"""Order of jobs that wait for room.

Load pattern: more work than places, in kinds of different urgency, each with a
time after which its answer is worth less; above all the second after an outage, when
the callers of the outage come at once, most of them late already. In order of arrival
the short urgent jobs wait behind long ones and are all late; by priority alone the
late urgent jobs take the places of others that could be in time.

Grounds: a late answer is worth a fifth of one in time, and one that is later still is
worth only that its caller has it. So what can be in time goes first, then what can be
of use, and the rest is served where nobody else wants the room. Among those, strict
priority, since operators set it to say who goes first. Within one priority jobs that
have begun go first, since their other tasks hold places for nothing until the last one
is done; then the earliest time due, which is optimal while all can be in time.
"""

from enum import IntEnum
from typing import NamedTuple

import xxhash

from cassiaturn.sharing._deadlines import Deadlines

MARGIN_S = 0.02
"""Time kept for the ways of orders and of the answer, in seconds. Without it the jobs
that are due first start at their last moment each, and all are late by a little."""

_HASH_RANGE = float(1 << 64)

RETRY_SPREAD = 1.0
"""Length of the interval over which refused callers come back, as a multiple of
the advice: those refused in one burst return over the time that it took."""


class Lateness(IntEnum):
    """What a job that starts now can expect."""

    IN_TIME = 0
    """An answer that is due."""

    LATE = 1
    """One that is of use, though late."""

    PAST_USE = 2
    """One that its caller gets, and no more."""


class OrderKey(NamedTuple):
    """Place in the queue; the lowest goes first."""

    lateness: Lateness
    """What it can expect."""

    priority: int
    """Of its route; 0 goes first."""

    is_new: bool
    """Whether none of its tasks has started."""

    due_at: float
    """When it is due, in seconds."""


def order_key(
    *,
    priority: int,
    deadlines: Deadlines,
    expected_run_s: float,
    is_new: bool,
    now: float,
) -> OrderKey:
    """Return the place of a job in the queue.

    :param priority: of its route; 0 goes first.
    :param expected_run_s: expected length of its longest chain, in seconds.
    :param is_new: whether none of its tasks has started.
    :param now: time in seconds.
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
    """Return until when a job may start and be in time, and of use, in seconds.

    :param expected_run_s: expected length of its longest chain, in seconds.
    """
    needed_s = expected_run_s + MARGIN_S
    return deadlines.due_at - needed_s, deadlines.useful_until - needed_s


def spread_retry_after(job_id: str, least_s: float) -> float:
    """Return when a refused caller should come back, in seconds.

    Callers refused in one moment would otherwise come back in one moment, and
    all but the first be refused again.

    :param job_id: gives each job its own place in the interval.
    :param least_s: when there may be room again, in seconds.
    """
    place = xxhash.xxh3_64_intdigest(job_id.encode()) / _HASH_RANGE
    return least_s * (1.0 + RETRY_SPREAD * place)
