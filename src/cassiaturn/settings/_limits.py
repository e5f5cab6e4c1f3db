"""Sizes and rates that bound what an instance takes and keeps."""

from dataclasses import dataclass

from cassiaturn.settings._fields import Positive, Rate


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """Bounds of one instance; what passes one is refused with a clear error."""

    max_tasks_per_job: Positive = 750
    """Tasks of one submission: the largest job that the users plan for."""

    max_payload_bytes: Positive = 64 * 1024
    """Bytes of one task's request."""

    max_job_bytes: Positive = 4 * 1024 * 1024
    """Bytes of all requests of one submission: the usual gRPC message size."""

    max_open_submissions: Positive = 50_000
    """Submissions without an answer that one instance keeps."""

    result_budget_bytes: Positive = 16 * 1024 * 1024
    """Bytes of results kept for collection: half of a node's 32 MB."""

    result_object_bytes: Positive = 256 * 1024
    """A job's results above this many bytes go to the object store."""

    result_retention_ms: Positive = 120_000
    """How long an answer is kept for a resubmission, in milliseconds."""

    ticket_valid_ms: Positive = 30_000
    """How long a ticket may open a submission, in milliseconds."""

    claim_retention_ms: Positive = 3_600_000
    """How long a claim row of a caller's own id is kept, in milliseconds; an id
    that comes back later is a new submission."""

    store_writes_per_s: Rate = 20.0
    """Table writes a second: about half of 300 shared by nine instances."""

    store_reads_per_s: Rate = 100.0
    """Table reads a second: about half of 2,000 shared by nine instances."""

    full_links: Positive = 16
    """Instances up to which each is linked to every other, so that work may go
    from any to any. Above, each links to its neighbours only: 350 instances
    would otherwise keep 61,000 links."""

    max_clock_skew_ms: Positive = 500
    """By how much the wall clocks of two hosts differ at most, in milliseconds.
    Used only to tell whether a runner's process is older than a dead home."""


def check_retention(limits: LimitSettings) -> LimitSettings:
    """Refuse bounds that contradict each other.

    :param limits: values that are each valid alone.
    :raises ValueError: naming the two settings and the order they need.
    """
    if limits.result_retention_ms <= limits.ticket_valid_ms:
        # A forgotten record whose ticket still opens would start a job again.
        raise ValueError("result_retention_ms must be above ticket_valid_ms")
    if limits.max_job_bytes < limits.max_payload_bytes:
        raise ValueError("max_job_bytes must not be below max_payload_bytes")
    return limits
