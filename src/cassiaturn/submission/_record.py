"""Submission records, and the outcomes of opening a submission.

A home keeps one record of each submission that it decides about.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from cassiaturn.entities import Answer


@dataclass(slots=True, kw_only=True)
class SubmissionRecord:
    """One submission in the table of its home, from acceptance to removal."""

    submission_id: str
    """Id of the submission."""

    fingerprint: bytes
    """Hash of its method and tasks; a request with the same id and another hash is
    refused."""

    tasks_total: int
    """Number of tasks of the submission."""

    opened_at: float
    """Time of acceptance on the home's monotonic clock, in seconds."""

    issued_ms: int | None
    """Issue time of its ticket, in milliseconds since the start of the home; None
    for an id that the caller chose."""

    owner: str = ""
    """Tenant that submitted it; no other may collect or cancel it."""

    adopted: bool = False
    """Whether it was taken over from a home that ended. That home may have begun
    it, so "not run" is never a correct answer for it."""

    answer: Answer | None = None
    """Answer given to callers; None while the submission runs."""

    settled_at: float | None = None
    """Time of the final answer on the home's monotonic clock, in seconds."""

    possible_starts: int = 0
    """Number of starts sent and not refused by a target; above 0, a task may have
    run."""

    result_bytes: int = 0
    """Size of its results kept in memory, in bytes."""

    offload_asked: bool = field(default=False)
    """Whether the results are being written to the object store."""

    @property
    def is_settled(self) -> bool:
        """Whether the answer is final."""
        return self.settled_at is not None


@dataclass(frozen=True, slots=True, kw_only=True)
class Opened:
    """A new submission: the home may start its tasks."""

    record: SubmissionRecord
    """The new record."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Joined:
    """A resubmission of a running submission: wait for the same answer."""

    record: SubmissionRecord
    """The record of the first submission."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Settled:
    """The answer is final already, or the submission was refused at once."""

    answer: Answer
    """Answer to give to the caller."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Mismatched:
    """A different request has this id; nothing about it is disclosed."""

    submission_id: str
    """The id that is in use."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Expired:
    """The id may no longer open a submission, and no record of it is left."""

    answer: Answer
    """``NOT_RUN`` where that is certain, else ``UNKNOWN``."""


Opening = Opened | Joined | Settled | Mismatched | Expired
"""Outcome of opening a submission."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Offload:
    """Results to be written to the object store."""

    submission_id: str
    """Id of the submission."""

    object_key: str
    """Key that no other submission or home writes to."""

    results: Sequence[bytes]
    """One serialized reply per task, in the order submitted."""


def fingerprint_of(*, method: str, tasks: Sequence[bytes]) -> bytes:
    """Return the hash that tells a resubmission from a different request.

    :param method: full name of the method.
    :param tasks: serialized request messages, in order.
    :returns: 16 bytes.
    """
    digest = xxhash.xxh3_128()
    for part in (method.encode(), *tasks):
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.digest()
