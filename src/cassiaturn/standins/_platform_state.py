"""What the platform keeps, and what it does before and after each call."""

import asyncio
import random
import time
from dataclasses import dataclass
from enum import Enum

from cassiaturn.services import HostDocument
from cassiaturn.standins._platform_settings import PlatformFault, PlatformSettings
from cassiaturn.standins._rate_limit import RateLimit
from cassiaturn.standins._row_table import RowTable

MS_PER_S = 1000.0


class CallKind(Enum):
    """What a call does, which decides its limit and its time."""

    READ = "read"
    WRITE = "write"


@dataclass(slots=True, kw_only=True)
class PlatformCounters:
    """What the platform was asked since it started."""

    reads: int = 0
    """Reads that were served."""

    writes: int = 0
    """Transactions and object writes that took effect."""

    rows_written: int = 0
    """Rows that those transactions wrote."""

    conflicts: int = 0
    """Transactions whose condition did not hold."""

    throttled: int = 0
    """Calls that were refused for the limit."""

    unavailable: int = 0
    """Calls that were refused for an outage."""

    answers_lost: int = 0
    """Writes that took effect without an answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """A call that has no effect."""

    retry_after_s: float | None
    """When to come back; None: the service is down."""


class PlatformState:
    """Rows, objects and hosts, with the limits and faults of their service."""

    def __init__(self, *, settings: PlatformSettings) -> None:
        """Start empty, but for the list of hosts.

        :param settings: limits and latencies.
        """
        self.table = RowTable()
        self.objects_by_key: dict[str, bytes] = {}
        self.hosts_by_id = {host.host_id: host for host in settings.hosts}
        self.counters = PlatformCounters()
        self.fault = PlatformFault()
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._released = asyncio.Event()
        self._released.set()
        self._limits_by_kind = {
            CallKind.READ: RateLimit(rate=settings.reads_per_s),
            CallKind.WRITE: RateLimit(rate=settings.writes_per_s),
        }
        self._ms_by_kind = {
            CallKind.READ: settings.read_ms,
            CallKind.WRITE: settings.write_ms,
        }

    def set_fault(self, fault: PlatformFault) -> None:
        """Show a fault from now on, in place of the one before.

        :param fault: the whole fault; the default one clears it.
        """
        self.fault = fault
        if fault.hanging:
            self._released.clear()
        else:
            self._released.set()

    async def admit(self, kind: CallKind) -> Refused | None:
        """Take the time of a call, or refuse it.

        :param kind: what it does.
        :returns: None where it may have its effect now.
        """
        await self._released.wait()
        wait_s = self._limits_by_kind[kind].wait_s(time.monotonic())
        if wait_s:
            self.counters.throttled += 1
            return Refused(retry_after_s=wait_s)
        pause_ms = self._ms_by_kind[kind] + self.fault.slow_ms
        await asyncio.sleep(pause_ms / MS_PER_S)
        if self.fault.down:
            self.counters.unavailable += 1
            return Refused(retry_after_s=None)
        return None

    def loses_answer(self) -> bool:
        """Decide whether the answer of a write that took effect is lost."""
        is_lost = self._random.random() < self.fault.answer_lost_share
        if is_lost:
            self.counters.answers_lost += 1
        return is_lost

    def list_host_later(self, host: HostDocument) -> None:
        """Show a host, or its new state, once the list has caught up."""
        loop = asyncio.get_running_loop()
        lag_s = self._settings.hosts_lag_s
        loop.call_later(lag_s, self.hosts_by_id.update, {host.host_id: host})

    def drop_host_later(self, host_id: str) -> None:
        """Take a host off the list once the list has caught up."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._settings.hosts_lag_s, self.hosts_by_id.pop, host_id, None)
