"""Limits of submission records, of claims, and of the use of the store."""

from dataclasses import dataclass

_MIB = 1024 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionSettings:
    """Limits of a home's records; ``retention_s`` must exceed ``ticket_valid_s``.

    A record then outlives the time in which its ticket may open a submission, so
    that removing a record can never cause its submission to start again.

    :raises ValueError: ``retention_s`` is not above ``ticket_valid_s``.
    """

    ticket_valid_s: float = 30.0
    """How long a ticket may open a submission, in seconds."""

    retention_s: float = 120.0
    """How long a settled answer is kept for resubmissions, in seconds."""

    max_records: int = 100_000
    """Largest number of records, of running and settled submissions together."""

    max_adopted: int = 20_000
    """Largest number of submissions that one incarnation takes over from homes that
    ended."""

    max_result_bytes: int = 64 * _MIB
    """Bytes of results kept in memory; above it new submissions are refused."""

    inline_bytes: int = _MIB
    """Results of one submission above this size are moved to the object store."""

    offload_share: float = 0.5
    """Share of ``max_result_bytes`` above which the oldest results are moved too."""

    def __post_init__(self) -> None:
        if self.retention_s <= self.ticket_valid_s:
            raise ValueError("retention_s must be above ticket_valid_s")


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimSettings:
    """Limits of the claims of ids that callers choose."""

    max_rows: int = 256
    """Largest number of claims in one write."""

    give_up_s: float = 2.0
    """Time after which an unresolved claim is reported undetermined, in seconds."""

    max_remembered: int = 20_000
    """Largest number of claims known to be taken, and of tokens of undetermined
    claims, that are kept in memory."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreSettings:
    """One instance's share of the table service.

    The default rates are a 350th of 300 writes/s and 1,500 reads/s, for up to 350
    instances; the rest of the service's capacity is left for operators. The bursts
    allow a few claims at once.
    """

    writes_per_s: float = 0.85
    """Sustained writes per second."""

    write_burst: int = 10
    """Writes that may be sent without a pause."""

    reads_per_s: float = 4.0
    """Sustained reads per second."""

    read_burst: int = 20
    """Reads that may be sent without a pause."""

    backoff_first_s: float = 0.05
    """Longest pause after the first failure, in seconds; doubles with each further
    one."""

    backoff_max_s: float = 5.0
    """Longest pause after many failures, in seconds."""

    open_after_failures: int = 5
    """Consecutive failures after which the circuit breaker opens."""
