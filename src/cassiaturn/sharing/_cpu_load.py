"""Measures how full the processor of a process is, and when a leader hands over for it.

Load pattern: more starts are requested than the processor of the leader's host can
make, and the other hosts have several times its capacity. All orders of the leader are
late then, although its link is not saturated.

Grounds: a process that uses more than 0.6 of its host's capacity on average makes its
timers late in bursts. The same work takes a larger share of a host with less capacity.
A pause of the process delays one timer, overload delays all of them, so one timer
counts for a bounded lateness only.
"""

from cassiaturn.sharing._leader_fitness import MIN_CAPACITY_RATIO, HostCapacity

SAMPLE_PERIOD_S = 0.1
"""Period of the timer whose samples are averaged, in seconds."""

SMOOTHING_WEIGHT = 0.1
"""Weight of the latest sample in a moving average: it spans about a second."""

FULL_BUSY_SHARE = 0.6
"""Share of the host's capacity in use from which its processor counts as full."""

FULL_LATENESS_S = 0.03
"""Average lateness of timers from which a processor counts as full, in seconds."""

MAX_SAMPLE_LATENESS_S = 0.2
"""Largest lateness that one timer adds to the average, in seconds: one pause of the
process, whatever its length, adds 0.02 s."""


class CpuLoad:
    """Moving averages of how busy a process is, and of how late its timers are."""

    def __init__(self) -> None:
        """Start idle."""
        self.busy_share = 0.0
        """Share of the host's capacity that the process uses, 0 to 1."""

        self.late_s = 0.0
        """Lateness of timers, in seconds."""

    def observe(self, *, late_s: float, busy_s: float, elapsed_s: float) -> None:
        """Add the sample of one timer.

        :param late_s: by how much it fired late, in seconds.
        :param busy_s: processor time used since the previous timer over the capacity
            of the host, in seconds.
        :param elapsed_s: time since the previous timer, in seconds.
        """
        busy_share = busy_s / elapsed_s
        self.busy_share += SMOOTHING_WEIGHT * (busy_share - self.busy_share)
        counted_s = min(max(late_s, 0.0), MAX_SAMPLE_LATENESS_S)
        self.late_s += SMOOTHING_WEIGHT * (counted_s - self.late_s)


def is_cpu_full(*, busy_share: float, late_s: float) -> bool:
    """Return whether the processor of a process counts as full.

    :param busy_share: share of the host's capacity in use, as a moving average.
    :param late_s: lateness of its timers, in seconds, as a moving average.
    """
    return busy_share >= FULL_BUSY_SHARE or late_s >= FULL_LATENESS_S


def relieves_cpu(own: HostCapacity, other: HostCapacity) -> bool:
    """Return whether a member may be asked to lead because it has more processor.

    A member whose link has at most half of the bandwidth is not asked: it would hand
    the leadership back for its link. With both conditions, and those of
    :func:`relieves_link`, the product of both capacities rises with each hand-over, so
    that leadership never alternates among members that report both.

    :param own: the leader's host.
    :param other: the host of the member that would be asked.
    """
    return other.has_much_more_cpu_than(own) and not own.has_much_wider_link_than(other)


def relieves_link(own: HostCapacity, other: HostCapacity) -> bool:
    """Return whether a member may be asked to lead because its link is wider.

    :param own: the leader's host.
    :param other: the host of the member that would be asked.
    """
    return other.has_much_wider_link_than(own) and not own.has_much_more_cpu_than(other)


def is_unfit(own: HostCapacity, other: HostCapacity) -> bool:
    """Return whether a leader should hand over before its processor is full.

    :param own: the leader's host.
    :param other: the host of the member that would be asked.
    """
    is_below_half = other.cpu_cores > MIN_CAPACITY_RATIO * own.cpu_cores
    return is_below_half and relieves_cpu(own, other)
