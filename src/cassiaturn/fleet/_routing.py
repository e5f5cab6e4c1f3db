"""The routing configuration in force: the newest version received."""

import asyncio
from collections.abc import Callable

from cassiaturn.entities import RoutingTable
from cassiaturn.observability import Event, log_event


class CurrentRouting:
    """Holds the newest version, whatever its source, and never reverts to an older one.

    A member that can't reach the table service gets versions from other members; the
    same version may arrive from several sources, and an older one late.
    """

    def __init__(self) -> None:
        self.current: RoutingTable | None = None
        self._listeners: list[Callable[[RoutingTable], None]] = []
        self._known = asyncio.Event()

    @property
    def version(self) -> int:
        """Version in force; 0 if there is none yet."""
        return self.current.version if self.current is not None else 0

    def on_change(self, listener: Callable[[RoutingTable], None]) -> None:
        """Register a listener to be called with each new version."""
        self._listeners.append(listener)

    def offer(self, table: RoutingTable, source: str) -> None:
        """Put a version in force if it is newer than the current one.

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
