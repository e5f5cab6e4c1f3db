"""The configuration in force: the newest version that was heard of."""

import asyncio
from collections.abc import Callable

from cassiaturn.entities import RoutingTable
from cassiaturn.observability import Event, log_event


class CurrentRouting:
    """Holds the newest version, from wherever it came, and never goes back.

    A member that is cut off from the table service gets it from others; the same
    version may come by several ways, and an older one late.
    """

    def __init__(self) -> None:
        self.current: RoutingTable | None = None
        self._listeners: list[Callable[[RoutingTable], None]] = []
        self._known = asyncio.Event()

    @property
    def version(self) -> int:
        """Version in force; 0: none yet."""
        return self.current.version if self.current is not None else 0

    def on_change(self, listener: Callable[[RoutingTable], None]) -> None:
        """Call a listener with each new version."""
        self._listeners.append(listener)

    def offer(self, table: RoutingTable, source: str) -> None:
        """Put a version in force if it is newer.

        :param source: where it came from, for the log.
        """
        if table.version <= self.version:
            return
        before = self.version
        self.current = table
        self._known.set()
        log_event(
            Event.CONFIGURATION_APPLIED,
            version=table.version,
            before=before,
            source=source,
            routes=len(table.routes),
        )
        for listener in self._listeners:
            listener(table)

    async def wait(self) -> RoutingTable:
        """Return the version in force, as soon as there is one."""
        await self._known.wait()
        if self.current is None:
            raise AssertionError("the event is set with the first version")
        return self.current
