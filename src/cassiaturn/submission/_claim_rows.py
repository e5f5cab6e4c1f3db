"""Rows of the table service that say who decides for a submission."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

CLAIM_PREFIX = "claim/"
"""Keys of claims start so."""


def claim_key(submission_id: str) -> str:
    """Return the key of the row that says whose a caller's own id is."""
    return f"{CLAIM_PREFIX}{submission_id}"


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRow:
    """A claim in the table service; inserted once, never changed."""

    submission_id: str
    """Id of the caller's own choice."""

    home: str
    """Incarnation that alone may start its tasks."""

    token: str
    """Names the attempt that wrote the row, so that a lost answer is settled."""

    claimed_ms: int = 0
    """Wall clock of the insert, in milliseconds; tells when it may be deleted."""

    @property
    def key(self) -> str:
        """Key of the row."""
        return claim_key(self.submission_id)


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimBatch:
    """Claims to insert in one transaction, all of them or none."""

    number: int
    """Counts the batches of a ledger, from 1."""

    rows: Sequence[ClaimRow]
    """Rows, each inserted only if its key is absent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimGranted:
    """The id is ours and was never opened: open it at once, before any await."""

    submission_id: str
    """The claimed id."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimTaken:
    """Another incarnation, or an earlier claim of ours, has the id."""

    submission_id: str
    """The id."""

    home: str
    """Incarnation to forward to; our own if its record was forgotten."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimUndetermined:
    """The store did not say in time whose the id is: the answer is unknown."""

    submission_id: str
    """The id."""


ClaimResolution = ClaimGranted | ClaimTaken | ClaimUndetermined
"""How a claim ends."""


class BatchPhase(Enum):
    """What the one batch in flight waits for."""

    WRITING = "writing"
    """The answer of the insert."""

    REREAD_DUE = "reread_due"
    """A right to read the rows again, since the answer was lost."""

    REREADING = "rereading"
    """The rows."""


RowsById = Mapping[str, ClaimRow]
"""Rows found in the store, by submission id."""
