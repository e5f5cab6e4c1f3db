"""Idempotent submission: tickets, claims of ids, and submission records.

An incarnation is one run of an instance process. Every submission has one home: the
incarnation that alone may start its tasks. A ticket is a submission id that an
instance issued and that names this home. An id that a caller chose gets its home by a
claim, a row in the platform's table service.
"""

from cassiaturn.submission._budget import StoreBudget, StoreState
from cassiaturn.submission._claim_rows import (
    CLAIM_PREFIX,
    ClaimBatch,
    ClaimGranted,
    ClaimResolution,
    ClaimRow,
    ClaimTaken,
    ClaimUndetermined,
    claim_key,
)
from cassiaturn.submission._claims import ClaimLedger
from cassiaturn.submission._incarnation import (
    booted_ms,
    instance_of,
    is_incarnation,
    new_incarnation,
)
from cassiaturn.submission._invariant import InvariantError
from cassiaturn.submission._record import (
    Expired,
    Joined,
    Mismatched,
    Offload,
    Opened,
    Opening,
    Settled,
    SubmissionRecord,
    fingerprint_of,
)
from cassiaturn.submission._settings import (
    ClaimSettings,
    StoreSettings,
    SubmissionSettings,
)
from cassiaturn.submission._table import SubmissionTable
from cassiaturn.submission._ticket import (
    MAX_SUBMISSION_ID_LENGTH,
    TICKET_PREFIX,
    MalformedTicket,
    Ticket,
    TicketIssuer,
    parse_ticket,
)

__all__ = [
    "CLAIM_PREFIX",
    "MAX_SUBMISSION_ID_LENGTH",
    "TICKET_PREFIX",
    "ClaimBatch",
    "ClaimLedger",
    "ClaimGranted",
    "ClaimResolution",
    "ClaimRow",
    "ClaimSettings",
    "ClaimTaken",
    "ClaimUndetermined",
    "Expired",
    "InvariantError",
    "Joined",
    "MalformedTicket",
    "Mismatched",
    "Offload",
    "Opened",
    "Opening",
    "Settled",
    "StoreBudget",
    "StoreSettings",
    "StoreState",
    "SubmissionRecord",
    "SubmissionSettings",
    "SubmissionTable",
    "Ticket",
    "TicketIssuer",
    "booted_ms",
    "claim_key",
    "fingerprint_of",
    "instance_of",
    "is_incarnation",
    "new_incarnation",
    "parse_ticket",
]
