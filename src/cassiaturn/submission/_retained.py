"""Results kept in memory for their callers, bounded in bytes."""

from collections.abc import Sequence

import xxhash

from cassiaturn.submission._invariant import InvariantError
from cassiaturn.submission._record import Offload, SubmissionRecord
from cassiaturn.submission._settings import SubmissionSettings


class RetainedResults:
    """Counts the bytes of results and selects those to move to the object store.

    Large results are moved at once; small ones are moved oldest first when memory
    fills. The store then gets few writes, and most resubmissions are answered from
    memory.
    """

    def __init__(self, *, incarnation: str, settings: SubmissionSettings) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._waiting_by_id: dict[str, SubmissionRecord] = {}
        self._total_bytes = 0
        self._moving_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Bytes of results in memory."""
        return self._total_bytes

    @property
    def is_full(self) -> bool:
        """Whether results fill the memory, so that no submission should be accepted."""
        return self._total_bytes >= self._settings.max_result_bytes

    def add(self, record: SubmissionRecord) -> None:
        """Count the results of a record that was just settled."""
        if record.answer is None or not record.answer.results:
            return
        record.result_bytes = sum(len(result) for result in record.answer.results)
        self._total_bytes += record.result_bytes
        self._waiting_by_id[record.submission_id] = record

    def drop(self, record: SubmissionRecord) -> None:
        """Stop counting the results of a record."""
        self._waiting_by_id.pop(record.submission_id, None)
        if record.offload_asked:
            self._moving_bytes -= record.result_bytes
            record.offload_asked = False
        self._total_bytes -= record.result_bytes
        record.result_bytes = 0

    def requeue(self, record: SubmissionRecord) -> None:
        """Queue results again whose write to the object store failed."""
        if not record.offload_asked:
            return
        record.offload_asked = False
        self._moving_bytes -= record.result_bytes
        self._waiting_by_id[record.submission_id] = record

    def take_due(self) -> Sequence[Offload]:
        """Return results to write to the object store now, each once."""
        limit_bytes = self._settings.max_result_bytes * self._settings.offload_share
        due = []
        for record in list(self._waiting_by_id.values()):
            remaining_bytes = self._total_bytes - self._moving_bytes
            is_large = record.result_bytes > self._settings.inline_bytes
            if not is_large and remaining_bytes <= limit_bytes:
                continue
            del self._waiting_by_id[record.submission_id]
            record.offload_asked = True
            self._moving_bytes += record.result_bytes
            due.append(self._offload_of(record))
        return due

    def _offload_of(self, record: SubmissionRecord) -> Offload:
        if record.answer is None:
            raise InvariantError(f"{record.submission_id}: offload without answer")
        name = xxhash.xxh3_128_hexdigest(record.submission_id.encode())
        return Offload(
            submission_id=record.submission_id,
            object_key=f"result/{self._incarnation}/{name}",
            results=record.answer.results,
        )
