"""What a home keeps of a submission, and what opening one can lead to."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from cassiaturn.entities import Answer


@dataclass(slots=True, kw_only=True)
class SubmissionRecord:
    """A row of the home's table: one submission, from acceptance to forgetting."""

    submission_id: str
    """Id of the submission."""

    fingerprint: bytes
    """Hash of its method and tasks; another one under the same id is refused."""

    tasks_total: int
    """Tasks of the submission."""

    opened_at: float
    """Home's monotonic time of acceptance, in seconds."""

    issued_ms: int | None
    """Issue time of its ticket, in milliseconds; None for a caller's own id."""

    owner: str = ""
    """Tenant that submitted it; nobody else may collect or cancel it."""

    adopted: bool = False
    """Whether an earlier home began it; "not run" would never be true of it."""

    answer: Answer | None = None
    """What callers are told; None while it runs."""

    settled_at: float | None = None
    """Home's monotonic time of the final answer, in seconds."""

    possible_starts: int = 0
    """Starts sent that no target has denied: while above 0, something may run."""

    result_bytes: int = 0
    """Size of the results kept in memory."""

    offload_asked: bool = field(default=False)
    """Whether the results are on their way to the object store."""

    @property
    def is_settled(self) -> bool:
        """Whether the answer is final."""
        return self.settled_at is not None


@dataclass(frozen=True, slots=True, kw_only=True)
class Opened:
    """A new submission: the home may start its tasks."""

    record: SubmissionRecord
    """The row just made."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Joined:
    """A resubmission of one that runs: wait for the same answer."""

    record: SubmissionRecord
    """The row of the first one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Settled:
    """The answer stands already, or the submission was refused at once."""

    answer: Answer
    """What to tell the caller."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Mismatched:
    """Another submission has this id; nothing is said about that one."""

    submission_id: str
    """The id that stands for something else."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Expired:
    """The id may not open a submission any more, and no record of it is left."""

    answer: Answer
    """``NOT_RUN`` where that is certain, else ``UNKNOWN``."""


Opening = Opened | Joined | Settled | Mismatched | Expired
"""Everything that opening a submission can lead to."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Offload:
    """Results to be written to the object store."""

    submission_id: str
    """Submission that the results answer."""

    object_key: str
    """Key that no other submission or home writes to."""

    results: Sequence[bytes]
    """One serialized reply a task, in the order submitted."""


def fingerprint_of(*, method: str, tasks: Sequence[bytes]) -> bytes:
    """Return the hash by which a resubmission is told from another request.

    :param method: full name of the method.
    :param tasks: serialized request messages, in order.
    """
    digest = xxhash.xxh3_128()
    for part in (method.encode(), *tasks):
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.digest()
