"""Tickets: submission ids that name their home."""

import re
from dataclasses import dataclass

from cassiaturn.submission._incarnation import is_incarnation

TICKET_PREFIX = "t1."
"""Prefix of all tickets; ids that callers choose must not have it."""

MAX_SUBMISSION_ID_LENGTH = 160
"""Longest submission id, in characters."""

_MS_PER_S = 1000
_NUMBER = re.compile(r"0|[1-9][0-9]{0,17}")
_FIELD_COUNT = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """The fields of a ticket."""

    submission_id: str
    """The ticket as text; it is the id of its submission."""

    home: str
    """Incarnation that issued it, the only one that may start its tasks."""

    sequence: int
    """Position among the tickets of its home, from 0."""

    issued_ms: int
    """Time of issue since the start of the home, in milliseconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MalformedTicket:
    """A submission id that has the prefix of a ticket but is not a valid one."""

    submission_id: str
    """The text."""

    problem: str
    """What is wrong with it; shown to the caller."""


class TicketIssuer:
    """Issues the tickets of one incarnation, without any write to the store.

    Only the issuer decides whether a ticket is valid, by its own monotonic clock,
    so clocks of different hosts are never compared.
    """

    def __init__(
        self, *, incarnation: str, valid_for_s: float, booted_at: float = 0.0
    ) -> None:
        """Create the issuer of one incarnation.

        :param incarnation: incarnation that the tickets name as their home.
        :param valid_for_s: how long a ticket may open a submission, in seconds.
        :param booted_at: monotonic time of its start, in seconds. Tickets carry the
            time since then, which a successor can convert to wall-clock time.
        """
        self._prefix = f"{TICKET_PREFIX}{incarnation}."
        self._incarnation = incarnation
        self._valid_for_s = valid_for_s
        self._booted_at = booted_at
        self._next_sequence = 0

    def issue(self, now: float) -> str:
        """Return a new ticket.

        :param now: the issuer's monotonic time, in seconds.
        """
        sequence = self._next_sequence
        self._next_sequence += 1
        return f"{self._prefix}{sequence}.{int((now - self._booted_at) * _MS_PER_S)}"

    def valid(self, ticket: Ticket, now: float) -> bool:
        """Return whether this incarnation issued a ticket and may still open it.

        :param now: the issuer's monotonic time, in seconds.
        """
        if ticket.home != self._incarnation:
            return False
        if ticket.sequence >= self._next_sequence:
            return False
        age_s = now - self._booted_at - ticket.issued_ms / _MS_PER_S
        return 0 <= age_s <= self._valid_for_s


def parse_ticket(submission_id: str) -> Ticket | MalformedTicket | None:
    """Parse a submission id as a ticket.

    :param submission_id: any text that a caller sent.
    :returns: the ticket; a :class:`MalformedTicket` if it has the prefix of tickets
        but is none; None for an id that the caller chose.
    """
    if not submission_id.startswith(TICKET_PREFIX):
        return None
    if len(submission_id) > MAX_SUBMISSION_ID_LENGTH:
        return _malformed(submission_id, f"over {MAX_SUBMISSION_ID_LENGTH} characters")
    fields = submission_id.split(".")
    if len(fields) != _FIELD_COUNT:
        return _malformed(submission_id, "not t1.<incarnation>.<sequence>.<issued_ms>")
    _, home, sequence, issued_ms = fields
    if not is_incarnation(home):
        return _malformed(submission_id, "its incarnation is malformed")
    if not (_NUMBER.fullmatch(sequence) and _NUMBER.fullmatch(issued_ms)):
        return _malformed(submission_id, "its numbers are malformed")
    return Ticket(
        submission_id=submission_id,
        home=home,
        sequence=int(sequence),
        issued_ms=int(issued_ms),
    )


def _malformed(submission_id: str, problem: str) -> MalformedTicket:
    return MalformedTicket(submission_id=submission_id, problem=problem)
