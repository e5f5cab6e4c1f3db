"""How a client asks and asks again, and the ids that it takes."""

from dataclasses import dataclass

from cassiaturn.entities import Address


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """A submission id and its home; take one to name a job before it is sent."""

    submission_id: str
    """The id."""

    address: Address
    """The instance that issued it and is its home."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientSettings:
    """How a client fetches tickets and resubmits."""

    ticket_batch: int = 32
    """Tickets fetched at once; one fetch then costs 1/32 of a round trip a job."""

    resubmit_pause_s: float = 0.05
    """First pause before a resubmission, in seconds; doubles with jitter. Well
    over a round trip and well under a suspicion timeout."""

    longest_pause_s: float = 1.0
    """Longest pause between resubmissions, in seconds."""

    avoid_refused_s: float = 2.0
    """How long an address that refused or broke a connection is tried last, in
    seconds: about the time of a restart."""

    hedge_after_s: float = 2.0
    """Least silence of a call after which the next instance is asked beside it,
    in seconds: above most jobs. Grows with each attempt."""

    hedge_share: float = 0.3
    """The same as a share of the deadline. Under overload an answer takes a good
    part of its deadline, and a second call brings nothing but a message."""

    grace_s: float = 1.0
    """Time after the deadline in which a late final answer is still taken."""
