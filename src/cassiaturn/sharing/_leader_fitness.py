"""Ranks the members of a fleet by how well their hosts carry the load of leading.

Load pattern: the hosts of a fleet differ in processor capacity by a factor of five and
in link bandwidth by a factor of ten, and after a restart of all members the first
process that is back leads. One leader makes all starts for all callers: on a host with
a small processor every order is late, however wide its link is.

Grounds: a factor of two in either capacity justifies another leader, a smaller one does
not. Between members that are not held back by a factor of two, the wider link comes
first, as it does where no processor capacity is reported.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

MIN_CAPACITY_RATIO = 2.0
"""Ratio of two capacities from which the smaller one counts as much smaller."""

MAX_CPU_CORES = 1_000.0
"""Largest processor capacity that a report may claim, in cores; no single host of the
users has a tenth of it."""


class CapacityReport(Protocol):
    """What settings and messages tell of a host."""

    @property
    def link_mbps(self) -> float:
        """Bandwidth of its link, in megabits per second; 0: not reported."""

    @property
    def cpu_cores(self) -> float:
        """Processor capacity, in cores; 0: not reported."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HostCapacity:
    """What the host of a member has for leading."""

    link_mbps: float = 0.0
    """Bandwidth of its link, in megabits per second; 0: not reported."""

    cpu_cores: float = 0.0
    """Processor capacity, in cores; 0: not reported."""

    @classmethod
    def reported(cls, report: CapacityReport) -> "HostCapacity":
        """Return the capacity in a report; a value that makes no sense counts as none.

        Another version of this program, or a mistake in a template, may report any
        number. One that is not a number would make the order of claims differ from one
        member to the next, and one without a bound would hold back every other member.
        """
        return cls(
            link_mbps=_checked(report.link_mbps, math.inf),
            cpu_cores=_checked(report.cpu_cores, MAX_CPU_CORES),
        )

    def has_much_wider_link_than(self, other: "HostCapacity") -> bool:
        """Return whether its link is wider by ``MIN_CAPACITY_RATIO`` or more."""
        return self.link_mbps >= MIN_CAPACITY_RATIO * other.link_mbps

    def has_much_more_cpu_than(self, other: "HostCapacity") -> bool:
        """Return whether its processor has ``MIN_CAPACITY_RATIO`` times the capacity.

        Where either is not known, it does not.
        """
        is_known = bool(self.cpu_cores and other.cpu_cores)
        return is_known and self.cpu_cores >= MIN_CAPACITY_RATIO * other.cpu_cores


class FitnessRank(NamedTuple):
    """Rank of a candidate; the lowest is the fittest."""

    is_held_back: bool
    """Whether its processor or its link has less than half of the highest capacity."""

    negative_link_mbps: float
    """Bandwidth of its link, in megabits per second, negated."""

    negative_cpu_cores: float
    """Processor capacity, in cores, negated."""

    def is_ahead_by_group_or_link(self, other: "FitnessRank") -> bool:
        """Return whether it comes first by more than the order of processors alone."""
        return self[:2] < other[:2]


@dataclass(frozen=True, slots=True, kw_only=True)
class FitnessOrder:
    """The order of candidates; the same wherever the same candidates are known."""

    widest_link_mbps: float = 0.0
    """Highest link bandwidth among them, in megabits per second; 0: none is known."""

    most_cpu_cores: float = 0.0
    """Highest processor capacity among them, in cores; 0: none is known."""

    @classmethod
    def among(cls, hosts: Iterable[HostCapacity]) -> "FitnessOrder":
        """Return the order among hosts."""
        listed = list(hosts)
        return cls(
            widest_link_mbps=max((host.link_mbps for host in listed), default=0.0),
            most_cpu_cores=max((host.cpu_cores for host in listed), default=0.0),
        )

    def including(self, host: HostCapacity) -> "FitnessOrder":
        """Return the order with one more candidate."""
        return FitnessOrder(
            widest_link_mbps=max(self.widest_link_mbps, host.link_mbps),
            most_cpu_cores=max(self.most_cpu_cores, host.cpu_cores),
        )

    def rank(self, host: HostCapacity) -> FitnessRank:
        """Return the rank of a candidate; equal ones are ordered by something else."""
        has_narrow_link = host.link_mbps * MIN_CAPACITY_RATIO < self.widest_link_mbps
        has_small_cpu = 0.0 < host.cpu_cores * MIN_CAPACITY_RATIO < self.most_cpu_cores
        return FitnessRank(
            is_held_back=has_narrow_link or has_small_cpu,
            negative_link_mbps=-host.link_mbps,
            negative_cpu_cores=-host.cpu_cores,
        )


def _checked(value: float, limit: float) -> float:
    return value if math.isfinite(value) and 0.0 < value <= limit else 0.0
