"""Times and fan-out of heartbeats."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """How often instances hear of each other, and when silence counts.

    Bytes: a heartbeat takes about 120 bytes. With 4 links in the own failure
    domain and one to each of 4 others, an instance sends 8 heartbeats a second
    and receives as many: 1.9 KB/s of the 2 KB/s allowed, whatever the number of
    instances.

    Time: 2.5 s of silence are two lost heartbeats and a slow third; 4 s leave a
    second of a recovery within 5 s for one store write and one round of fences.
    """

    heartbeat_s: float = 1.0
    """Longest silence towards a neighbour, in seconds."""

    suspect_after_s: float = 2.5
    """Silence after which a neighbour is suspected, in seconds."""

    gone_after_s: float = 4.0
    """Silence after which it is taken for gone, in seconds."""

    refused_s: float = 0.4
    """Time between two refused connections that prove a process ended, in
    seconds: longer than a process takes from its start to listening."""

    retry_gone_s: float = 5.0
    """How often one gone member is spoken to, to notice that a cut healed."""

    forget_after_s: float = 600.0
    """How long a gone incarnation is remembered, in seconds."""

    near_links: int = 4
    """Neighbours in the own failure domain; even."""

    max_suspicions: int = 4
    """Suspected incarnations named in one heartbeat."""
