"""The rows of the table service."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from heapq import nsmallest

from cassiaturn.services import ABSENT_VERSION, Committed, Conflict, Put, Row, Write


@dataclass(slots=True, kw_only=True)
class RowTable:
    """Rows by key; transactions one after another."""

    rows_by_key: dict[str, Row] = field(default_factory=dict)
    """Every row."""

    version: int = ABSENT_VERSION
    """Version of the latest write of any row, so that none comes twice."""

    def read(self, keys: Iterable[str]) -> list[Row]:
        """Return the rows that exist of some keys."""
        found = (self.rows_by_key.get(key) for key in keys)
        return [row for row in found if row is not None]

    def scan(self, *, prefix: str, after: str, limit: int) -> list[Row]:
        """Return rows in the order of their keys.

        :param prefix: what their keys begin with.
        :param after: keys up to this one are left out.
        :param limit: rows at most.
        """
        found = (
            key for key in self.rows_by_key if key.startswith(prefix) and key > after
        )
        return [self.rows_by_key[key] for key in nsmallest(limit, found)]

    def transact(self, writes: Sequence[Write]) -> Committed | Conflict:
        """Make every write or none.

        :param writes: each of another key.
        """
        if not all(self._holds(write) for write in writes):
            rows = self.read(write.key for write in writes)
            return Conflict(rows_by_key={row.key: row for row in rows})
        versions_by_key: dict[str, int] = {}
        for write in writes:
            if isinstance(write, Put):
                versions_by_key[write.key] = self._put(write)
            else:
                self.rows_by_key.pop(write.key, None)
        return Committed(versions_by_key=versions_by_key)

    def _holds(self, write: Write) -> bool:
        if write.expected_version is None:
            return True
        row = self.rows_by_key.get(write.key)
        version = ABSENT_VERSION if row is None else row.version
        return version == write.expected_version

    def _put(self, write: Put) -> int:
        self.version += 1
        self.rows_by_key[write.key] = Row(
            key=write.key, value=write.value, version=self.version
        )
        return self.version
