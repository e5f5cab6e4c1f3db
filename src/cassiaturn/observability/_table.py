"""What an instance sees of the table service, as counts and events."""

from collections.abc import Mapping, Sequence

from returns.pipeline import is_successful
from returns.result import Result

from cassiaturn.observability._event import Event
from cassiaturn.observability._log import log_event
from cassiaturn.observability._metrics import Metrics, StoreOperation
from cassiaturn.services import (
    AnswerLost,
    Committed,
    Conflict,
    Misused,
    ReadError,
    Row,
    TableService,
    Throttled,
    Unavailable,
    Write,
    WriteError,
)


class ObservedTable:
    """A table service whose calls are counted and whose outages are logged.

    Put it around the real one. An outage is one event at its begin and one at
    its end, however many calls fail meanwhile.
    """

    def __init__(self, *, table: TableService, metrics: Metrics) -> None:
        """Observe a table.

        :param table: makes the calls.
        :param metrics: counts them.
        """
        self._table = table
        self._counts = metrics.store_by_operation
        self._is_reachable = True

    async def read(self, keys: Sequence[str]) -> Result[Mapping[str, Row], ReadError]:
        """Return the rows that exist of some keys."""
        found = await self._table.read(keys)
        self._count_read(None if is_successful(found) else found.failure())
        return found

    async def scan(
        self, prefix: str, limit: int, *, after: str = ""
    ) -> Result[Sequence[Row], ReadError]:
        """Return rows in the order of their keys."""
        found = await self._table.scan(prefix, limit, after=after)
        self._count_read(None if is_successful(found) else found.failure())
        return found

    async def transact(
        self, writes: Sequence[Write]
    ) -> Result[Committed, Conflict | WriteError]:
        """Make every write or none."""
        outcome = await self._table.transact(writes)
        failure = None if is_successful(outcome) else outcome.failure()
        match failure:
            case None | Conflict():
                self._count_answer(StoreOperation.WRITE)
            case error:
                self._count_failure(error)
        return outcome

    def _count_read(self, error: ReadError | None) -> None:
        if error is None:
            self._count_answer(StoreOperation.READ)
        else:
            self._count_failure(error)

    def _count_answer(self, operation: StoreOperation) -> None:
        self._counts[operation].value += 1
        if not self._is_reachable:
            self._is_reachable = True
            log_event(Event.STORE_RECOVERED)

    def _count_failure(self, error: WriteError) -> None:
        self._counts[StoreOperation.FAILED].value += 1
        match error:
            case Unavailable(detail=detail):
                self._lose(detail)
            case AnswerLost(detail=detail):
                log_event(Event.STORE_ANSWER_LOST, detail=detail)
            case Misused(detail=detail):
                log_event(Event.STORE_MISUSED, detail=detail)
            case Throttled(retry_after_s=retry_after_s):
                log_event(Event.STORE_THROTTLED, retry_after_s=retry_after_s)

    def _lose(self, detail: str) -> None:
        if self._is_reachable:
            self._is_reachable = False
            log_event(Event.STORE_UNREACHABLE, detail=detail)
