"""A fleet's keepers over one table in virtual time, to measure what they cost.

Keepers and proposals are the real ones; time and the table are not. Peers tell
nothing, which is the worst case: each instance has to find a change by itself.
"""

import random
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from cassiaturn.configuration._documents import document_key, to_json
from cassiaturn.configuration._keeper import STEP_S, ConfigurationKeeper
from cassiaturn.configuration._proposal import propose
from cassiaturn.configuration._shared import (
    ConfigurationContent,
    SharedConfiguration,
    TenantSettings,
)
from cassiaturn.services import (
    Committed,
    Conflict,
    ReadError,
    Row,
    Write,
    WriteError,
)
from cassiaturn.standins._row_table import RowTable

TENANTS = 22
"""Teams with quotas of the plan."""

QUOTA_SLOTS = 100
"""Quota of each of them; any."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetFigures:
    """What one run measured."""

    reads_per_s: float
    """Mean reads a second of the whole fleet."""

    peak_reads: int
    """Most reads in one step of 100 ms, once every instance has started."""

    slowest_s: float
    """Longest time from a change to its being in force everywhere, in seconds."""

    document_bytes: int
    """Size of a stored document."""


class CountingTable:
    """A table that answers at once and counts the reads of each step."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows = RowTable()
        self.step = 0
        self.reads_by_step: Counter[int] = Counter()

    async def read(self, keys: Sequence[str]) -> Result[Mapping[str, Row], ReadError]:
        """Return the rows that exist of some keys."""
        self.reads_by_step[self.step] += 1
        return Success({row.key: row for row in self._rows.read(keys)})

    async def scan(
        self, prefix: str, limit: int, *, after: str = ""
    ) -> Result[Sequence[Row], ReadError]:
        """Return rows in the order of their keys."""
        return Success(self._rows.scan(prefix=prefix, after=after, limit=limit))

    async def transact(
        self, writes: Sequence[Write]
    ) -> Result[Committed, Conflict | WriteError]:
        """Make every write or none."""
        outcome = self._rows.transact(writes)
        if isinstance(outcome, Conflict):
            return Failure(outcome)
        return Success(outcome)


class FreeBudget:
    """Allows every read, so that the fleet's own demand is seen."""

    def may_read(self, now: float) -> bool:
        """Allow it."""
        return True

    def succeeded(self, now: float) -> None:
        """Take no notice."""

    def failed(self, now: float) -> None:
        """Take no notice."""


class NoJitter(random.Random):
    """Answers with the middle of every interval."""

    def uniform(self, a: float, b: float) -> float:
        """Return the middle."""
        return (a + b) / 2


async def measure(
    *,
    instances: int,
    period_s: float,
    change_every_s: float,
    changes: int,
    jitter: bool,
) -> FleetFigures:
    """Let a fleet poll while changes come.

    :param instances: keepers, all started at the same moment.
    :param period_s: their mean time between two reads, in seconds.
    :param change_every_s: time between two changes, in seconds.
    :param changes: changes in all.
    :param jitter: whether the keepers spread their reads.
    """
    table = CountingTable()
    versions_by_keeper = [0] * instances
    await _change(table, 0)
    keepers = [
        _keeper(index, table, period_s, jitter, versions_by_keeper)
        for index in range(instances)
    ]
    steps_a_change = round(change_every_s / STEP_S)
    changed_at = 0
    slowest = 0
    version = 1
    for step in range(steps_a_change * (changes + 1)):
        table.step = step
        if step and step % steps_a_change == 0:
            await _change(table, version)
            version += 1
            changed_at = step
        for keeper in keepers:
            await keeper.step(step * STEP_S)
        if min(versions_by_keeper) < version:
            slowest = max(slowest, step + 1 - changed_at)
    duration_s = steps_a_change * (changes + 1) * STEP_S
    stored = SharedConfiguration(version=1, content=_content(), author="a", token="a")
    return FleetFigures(
        reads_per_s=table.reads_by_step.total() / duration_s,
        peak_reads=max(
            reads
            for step, reads in table.reads_by_step.items()
            if step >= steps_a_change
        ),
        slowest_s=slowest * STEP_S,
        document_bytes=len(document_key(1)) + len(to_json(stored)),
    )


def _keeper(
    index: int,
    table: CountingTable,
    period_s: float,
    jitter: bool,
    versions_by_keeper: list[int],
) -> ConfigurationKeeper:
    def applied(configuration: SharedConfiguration) -> None:
        versions_by_keeper[index] = configuration.version

    return ConfigurationKeeper(
        table=table,
        budget=FreeBudget(),
        initial=None,
        poll_s=period_s,
        highest_at_peers=lambda: 0,
        on_applied=applied,
        rng=random.Random(index) if jitter else NoJitter(),
    )


def _content() -> ConfigurationContent:
    tenants = [
        TenantSettings(name=f"tenant-{number}", quota_slots=QUOTA_SLOTS)
        for number in range(TENANTS)
    ]
    return ConfigurationContent(tenants=tuple(tenants))


async def _change(table: CountingTable, base: int) -> None:
    await propose(
        table=table,
        content=_content(),
        author="study",
        expected_version=base,
        token=str(base),
    )
