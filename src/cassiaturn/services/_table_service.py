"""What the product asks of a table service."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from returns.result import Result

from cassiaturn.services._errors import Conflict, ReadError, WriteError
from cassiaturn.services._rows import Committed, Row, Write


class TableService(Protocol):
    """Rows with versions, changed by conditional transactions."""

    async def read(self, keys: Sequence[str]) -> Result[Mapping[str, Row], ReadError]:
        """Return the rows that exist of some keys.

        :param keys: at most 10,000.
        """

    async def scan(
        self, prefix: str, limit: int, *, after: str = ""
    ) -> Result[Sequence[Row], ReadError]:
        """Return rows in the order of their keys.

        :param prefix: what their keys begin with.
        :param limit: rows at most.
        :param after: keys up to this one are left out.
        """

    async def transact(
        self, writes: Sequence[Write]
    ) -> Result[Committed, Conflict | WriteError]:
        """Make every write or none.

        :param writes: 1 to 1,000, each of another key.
        """
