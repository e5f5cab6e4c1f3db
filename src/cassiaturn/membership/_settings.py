"""Intervals, timeouts and fan-out of heartbeats."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """How often instances send heartbeats, and how long they may be silent.

    Neighbours are the instances linked to this one by :func:`links_of`.

    Bandwidth: a heartbeat takes about 120 bytes. With 4 links in its own failure
    domain and one to each of 4 others, an instance sends 8 heartbeats a second and
    receives as many. This is 1.9 KB/s of the 2 KB/s allowed, whatever the number of
    instances.

    Timeouts: 2.5 s of silence are two lost heartbeats and a late third. A failed
    instance is to be recovered from within 5 s. A timeout of 4 s leaves one second of
    this for one store write and one round of calls that fence it at the targets.
    """

    heartbeat_s: float = 1.0
    """Longest time without a heartbeat to a neighbour, in seconds."""

    suspect_after_s: float = 2.5
    """Silence after which a neighbour is suspected, in seconds."""

    gone_after_s: float = 4.0
    """Silence after which it is declared gone, in seconds."""

    refused_s: float = 0.4
    """Time between two refused connections that show that a process ended, in
    seconds: longer than a process takes from its start until it listens."""

    retry_gone_s: float = 5.0
    """Interval at which one gone member is sent a heartbeat, to notice the end of a
    network partition, in seconds."""

    forget_after_s: float = 600.0
    """How long the row of a gone member is kept, in seconds."""

    near_links: int = 4
    """Number of neighbours in the same failure domain; even."""

    max_suspicions: int = 4
    """Largest number of suspected incarnations named in one heartbeat."""
