"""Limits of submission records, claims and the platform's store."""

from dataclasses import dataclass

_MIB = 1024 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionSettings:
    """Limits of a home's records; ``retention_s`` must exceed ``ticket_valid_s``.

    A record then outlives the time in which its ticket could open another one,
    so that forgetting a record can never start a submission again.
    """

    ticket_valid_s: float = 30.0
    """How long a ticket may open a submission, in seconds."""

    retention_s: float = 120.0
    """How long a settled answer is kept for resubmissions, in seconds."""

    max_records: int = 100_000
    """Records of running and settled submissions together."""

    max_adopted: int = 20_000
    """Submissions of dead homes accepted in the life of an incarnation."""

    max_result_bytes: int = 64 * _MIB
    """Results kept in memory; beyond it new submissions are refused."""

    inline_bytes: int = _MIB
    """Results of one submission larger than this go to the object store."""

    offload_share: float = 0.5
    """Share of ``max_result_bytes`` from which the oldest results go there too."""

    def __post_init__(self) -> None:
        if self.retention_s <= self.ticket_valid_s:
            raise ValueError("retention_s must be above ticket_valid_s")


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimSettings:
    """Limits of the claims of ids that callers choose."""

    max_rows: int = 256
    """Claims in one write."""

    give_up_s: float = 2.0
    """A claim not settled by then is reported undetermined, in seconds."""

    max_remembered: int = 20_000
    """Claims of others, and tokens of undetermined claims, kept in memory."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreSettings:
    """One instance's share of the table service.

    The defaults are a 350th of 300 writes/s and 1,500 reads/s, which leaves the
    rest of the service for operators, with bursts of a few claims.
    """

    writes_per_s: float = 0.85
    """Sustained writes a second."""

    write_burst: int = 10
    """Writes that may follow each other at once."""

    reads_per_s: float = 4.0
    """Sustained reads a second."""

    read_burst: int = 20
    """Reads that may follow each other at once."""

    backoff_first_s: float = 0.05
    """Longest pause after the first failure; doubles with each further one."""

    backoff_max_s: float = 5.0
    """Longest pause after many failures, in seconds."""

    open_after_failures: int = 5
    """Failures in a row after which the circuit breaker opens."""
