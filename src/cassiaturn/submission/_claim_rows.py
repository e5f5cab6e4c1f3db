"""Claim rows of the table service, and the outcomes of claiming an id.

A claim row names the home of a submission whose id its caller chose.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

CLAIM_PREFIX = "claim/"
"""Prefix of the keys of claim rows."""


def claim_key(submission_id: str) -> str:
    """Return the key of the claim row of an id that a caller chose."""
    return f"{CLAIM_PREFIX}{submission_id}"


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRow:
    """A claim row in the table service; inserted once and never updated."""

    submission_id: str
    """Id that the caller chose."""

    home: str
    """Incarnation that alone may start the tasks of the submission."""

    token: str
    """Identifies the attempt that wrote the row, to resolve a lost answer."""

    claimed_ms: int = 0
    """Wall clock of the insert, in milliseconds; decides when it may be deleted."""

    @property
    def key(self) -> str:
        """Key of the row."""
        return claim_key(self.submission_id)


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimBatch:
    """Claim rows to insert in one transaction, all of them or none."""

    number: int
    """Sequence number of the batch in its ledger, from 1."""

    rows: Sequence[ClaimRow]
    """Rows to insert, each on the condition that its key is absent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimGranted:
    """The claim row is of this attempt, so the id was never opened before.

    Open the submission at once, before any ``await``.
    """

    submission_id: str
    """The claimed id."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimTaken:
    """Another incarnation, or an earlier claim of this one, holds the id."""

    submission_id: str
    """The id."""

    home: str
    """Incarnation to forward to. It is this one if it claimed the id earlier and has
    since removed the record."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimUndetermined:
    """The store did not answer in time, so the home of the id is unknown."""

    submission_id: str
    """The id."""


ClaimResolution = ClaimGranted | ClaimTaken | ClaimUndetermined
"""Outcome of a claim."""


class BatchPhase(Enum):
    """What the batch in flight waits for."""

    WRITING = "writing"
    """The answer to the insert."""

    REREAD_DUE = "reread_due"
    """The store budget allowing a read of its rows, since the answer was lost."""

    REREADING = "rereading"
    """The answer to that read."""


RowsById = Mapping[str, ClaimRow]
"""Claim rows found in the store, by submission id."""
