"""The drained failure domains in force: the newest state received."""

from collections.abc import Callable

from cassiaturn.entities import DrainedDomains
from cassiaturn.observability import Event, log_event


class CurrentDrains:
    """Holds the newest state, whatever its source, and never reverts to an older one.

    A member that can't reach the table service gets the state from other members. What
    is not known yet counts neither as drained nor as active: a leader that took it for
    "nothing is drained" would start tasks where operators have asked for none.
    """

    def __init__(self) -> None:
        self.current: DrainedDomains | None = None
        self._listeners: list[Callable[[DrainedDomains], None]] = []

    @property
    def failure_domains(self) -> frozenset[str] | None:
        """The drained failure domains; None: not known yet."""
        return self.current.failure_domains if self.current is not None else None

    def on_change(self, listener: Callable[[DrainedDomains], None]) -> None:
        """Register a listener to be called when other failure domains are drained."""
        self._listeners.append(listener)

    def offer(self, drains: DrainedDomains, source: str) -> None:
        """Put a state in force if it is newer than the current one.

        :param source: where it came from, for the log.
        """
        before = self.current
        if before is not None and drains.version <= before.version:
            return
        self.current = drains
        known = before.failure_domains if before is not None else frozenset()
        if before is not None and known == drains.failure_domains:
            return
        log_event(
            Event.DRAINS_APPLIED,
            version=drains.version,
            before=before.version if before is not None else 0,
            source=source,
            drained=",".join(sorted(drains.failure_domains)),
            added=",".join(sorted(drains.failure_domains - known)),
            removed=",".join(sorted(known - drains.failure_domains)),
        )
        for listener in self._listeners:
            listener(drains)
