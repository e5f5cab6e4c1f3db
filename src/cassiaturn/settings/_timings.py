"""Periods and timeouts of an instance."""

from dataclasses import dataclass

from cassiaturn.settings._fields import Positive


@dataclass(frozen=True, slots=True, kw_only=True)
class TimingSettings:
    """Periods and timeouts of one instance, in milliseconds."""

    tick_ms: Positive = 20
    """Period of the systems that look for what is due; events do not wait."""

    heartbeat_ms: Positive = 1_800
    """Longest silence towards a neighbour before a heartbeat is sent alone."""

    suspect_after_ms: Positive = 3_800
    """Silence after which a peer gets nothing new: two heartbeats and some."""

    gone_after_ms: Positive = 5_000
    """Silence after which a peer's submissions may be taken over. A process that
    ended on a living host is noticed within a second by its refused port."""

    lease_ms: Positive = 8_000
    """How long a target runs a task whose lease nobody renews: long enough that a
    successor, after gone_after_ms, still finds the tasks of a dead home running."""

    start_within_ms: Positive = 2_000
    """How long a start may travel; a later one is refused by the target."""

    drain_timeout_ms: Positive = 30_000
    """How long a planned stop may take to finish what is in flight."""

    configuration_poll_ms: Positive = 2_000
    """Mean period of reading the version row: 175 reads/s at 350 instances."""

    host_list_poll_ms: Positive = 5_000
    """Mean period of reading the platform's list of hosts."""

    store_timeout_ms: Positive = 2_000
    """Longest wait for one answer of the platform."""

    connect_timeout_ms: Positive = 1_000
    """Longest wait for a connection to a peer or target."""


def check_order(timings: TimingSettings) -> TimingSettings:
    """Refuse periods whose order would break what they are for.

    :param timings: values that are each valid alone.
    :raises ValueError: naming the two settings and the order they need.
    """
    if timings.suspect_after_ms < 2 * timings.heartbeat_ms:
        # One lost heartbeat would stop all work between two healthy peers.
        raise ValueError("suspect_after_ms must be at least twice heartbeat_ms")
    if timings.gone_after_ms <= timings.suspect_after_ms:
        raise ValueError("gone_after_ms must be above suspect_after_ms")
    if timings.tick_ms > timings.heartbeat_ms:
        raise ValueError("tick_ms must not be above heartbeat_ms")
    if timings.lease_ms <= timings.heartbeat_ms:
        raise ValueError("lease_ms must be above heartbeat_ms")
    return timings
