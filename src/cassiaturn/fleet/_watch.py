"""Mirrors a platform list: reads a snapshot once, then polls for changes."""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Generic

from returns.result import Failure, Success

from cassiaturn.fleet._ports import (
    Changes,
    EntryT,
    HistoryLost,
    Snapshot,
    Watchable,
)
from cassiaturn.observability import Event, log_event
from cassiaturn.services import Misused, ReadError, Throttled, Unavailable

FIRST_PAUSE_S = 0.1
"""Pause after the first failed call, in seconds; it doubles with each further one."""

MAX_PAUSE_S = 0.8
"""Longest such pause, in seconds: a change must take effect within 2 s, also right
after an outage of the store."""


class Watch(Generic[EntryT]):
    """Keeps the owner of a copy of a list informed of its entries."""

    def __init__(
        self,
        *,
        name: str,
        source: Watchable[EntryT],
        on_snapshot: Callable[[Mapping[str, EntryT]], None],
        on_change: Callable[[str, EntryT | None], None],
        wait_s: float,
        pause_s: float = 0.0,
        on_version: Callable[[int], None] = lambda version: None,
    ) -> None:
        """Prepare the watch; :meth:`run` starts it.

        :param name: name of the list in log lines.
        :param source: the list.
        :param on_snapshot: receives all entries; entries missing from it are gone.
        :param on_change: receives one changed entry, or None if it was removed.
        :param wait_s: longest wait for a change in one call, in seconds.
        :param pause_s: minimum pause between two calls, in seconds.
        :param on_version: called with the list's version after the owner has received
            all that one call returned.
        """
        self._name = name
        self._source = source
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._on_version = on_version
        self._reachable = True

    async def run(self) -> None:
        """Watch the list until cancelled."""
        failures = 0
        version: int | None = None
        while True:
            result = await self._poll(version)
            if isinstance(result, int):
                version = result
                failures = 0
                self._note_reachable()
                await asyncio.sleep(self._pause_s)
                continue
            # Start again from a snapshot: after a lost answer or a compaction, the
            # changes since the last version may be incomplete.
            version = None
            if isinstance(result, HistoryLost):
                continue
            failures += 1
            self._note_unreachable(result)
            await asyncio.sleep(_pause_s(failures, result))

    async def _poll(self, version: int | None) -> int | ReadError | HistoryLost:
        if version is None:
            return await self._take_snapshot()
        match await self._source.changes(version, self._wait_s):
            case Success(Changes() as changes):
                for key, entry in changes.entries_by_key.items():
                    self._on_change(key, entry)
                self._on_version(changes.version)
                return changes.version
            case Failure(HistoryLost() | Unavailable() | Throttled() | Misused() as e):
                return e
        raise AssertionError("a result is a success or a failure")

    async def _take_snapshot(self) -> int | ReadError:
        match await self._source.snapshot():
            case Success(Snapshot() as snapshot):
                self._on_snapshot(snapshot.entries_by_key)
                self._on_version(snapshot.version)
                return snapshot.version
            case Failure(Unavailable() | Throttled() | Misused() as error):
                return error
        raise AssertionError("a result is a success or a failure")

    def _note_reachable(self) -> None:
        if not self._reachable:
            self._reachable = True
            log_event(Event.STORE_RECOVERED, watch=self._name)

    def _note_unreachable(self, error: ReadError) -> None:
        if self._reachable:
            self._reachable = False
            log_event(Event.STORE_UNREACHABLE, watch=self._name, detail=str(error))


def _pause_s(failures: int, error: ReadError) -> float:
    pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0 ** min(failures - 1, 10))
    if isinstance(error, Throttled):
        pause_s = max(pause_s, min(error.retry_after_s, MAX_PAUSE_S))
    # Jitter: members that lost the service at the same time would retry together.
    return pause_s * random.uniform(0.5, 1.0)
