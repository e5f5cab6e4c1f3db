"""The row of the table service that bridges a restart of all members.

It holds expected run times and the effects of labels: both outlive the processes of
targets, and few entries say most of what is known. The effect of each target would take
a row of 30 KB in a large fleet, and is learned again within some tens of runs.
"""

import asyncio
import json
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from returns.result import Success

from cassiaturn.fleet._estimates_codec import is_named
from cassiaturn.fleet._leader_row import CALL_TIMEOUT_S
from cassiaturn.services import Put, TableService
from cassiaturn.sharing import Estimate, EstimateKey, EstimateKind

ROW_KEY = "estimates"
"""Key of the row."""

FORMAT = 1
"""Version of the row's format; rows of other versions are ignored."""

MAX_ENTRIES = 200
"""Number of labels, and of routes, that the row holds."""

MAX_VALUE_LENGTH = 65_536
"""Length of the longest value that is read, in characters: 400 entries with names of
100 characters."""

ROW_AGE_S = 60.0
"""Age that estimates of the row count for, in seconds. Clocks of hosts differ, so that
the row tells no time; at this age little weight is left."""

MILLISECONDS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class RowEstimates:
    """What was read of the row."""

    estimates: Sequence[Estimate] = ()
    """Estimates with plausible values."""

    ignored: int = 0
    """Number of entries with nonsensical values."""

    problem: str = ""
    """Why there are none: ``unreachable``, ``absent`` or ``malformed``; empty: the row
    was read."""


class EstimatesRow:
    """Reads and writes the row; each call ends within the timeout."""

    def __init__(self, *, table: TableService) -> None:
        self._table = table
        self._value = ""

    def reset(self) -> None:
        """Forget what was written: another leader may have written the row since."""
        self._value = ""

    async def read(self, now: float) -> RowEstimates:
        """Read the row.

        :param now: monotonic time in seconds, from which ages count.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                result = await self._table.read([ROW_KEY])
        except TimeoutError:
            return RowEstimates(problem="unreachable")
        match result:
            case Success(rows_by_key):
                row = rows_by_key.get(ROW_KEY)
            case _:
                return RowEstimates(problem="unreachable")
        if row is None:
            return RowEstimates(problem="absent")
        self._value = row.value
        return read_value(row.value, now)

    async def write(self, estimates: Iterable[Estimate]) -> bool | None:
        """Write the row unless it has this content.

        Whoever writes last wins: two leaders on both sides of a network partition have
        learned of the same targets.

        :returns: whether it was written; None if it has not changed.
        """
        value = to_value(estimates)
        if value in (self._value, to_value([])):
            return None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                result = await self._table.transact([Put(key=ROW_KEY, value=value)])
        except TimeoutError:
            return False
        if not isinstance(result, Success):
            return False
        self._value = value
        return True


def to_value(estimates: Iterable[Estimate]) -> str:
    """Return the value of the row; estimates of single targets are left out."""
    labels: list[list[object]] = []
    routes: list[list[object]] = []
    for estimate in estimates:
        key = estimate.key
        if key.kind is EstimateKind.LABEL and len(labels) < MAX_ENTRIES:
            mean, variance = round(estimate.mean, 2), round(estimate.variance, 4)
            labels.append([key.service, key.name, mean, variance])
        elif key.kind is EstimateKind.ROUTE and len(routes) < MAX_ENTRIES:
            run_ms = round(math.exp(estimate.mean) * MILLISECONDS, 1)
            routes.append([key.name, run_ms])
    return json.dumps({"format": FORMAT, "labels": labels, "routes": routes})


def read_value(value: str, now: float) -> RowEstimates:
    """Return the estimates in a row's value.

    Anything with write access to the table may have written it. It is checked by hand:
    a model for this one row would add to the time that a process takes to start.

    :param now: monotonic time in seconds, from which ages count.
    """
    document = _to_document(value)
    if document is None:
        return RowEstimates(problem="malformed")
    learned_at = now - ROW_AGE_S
    labels, routes = document["labels"], document["routes"]
    read = [
        *(_to_label(entry, learned_at) for entry in labels[:MAX_ENTRIES]),
        *(_to_route(entry, learned_at) for entry in routes[:MAX_ENTRIES]),
    ]
    found = [
        estimate
        for estimate in read
        if estimate is not None and is_named(estimate.key) and estimate.is_plausible
    ]
    return RowEstimates(estimates=found, ignored=len(read) - len(found))


def _to_document(value: str) -> "Mapping[str, list[object]] | None":
    """Return the lists of a value by name, or None if it is malformed."""
    if len(value) > MAX_VALUE_LENGTH:
        return None
    try:
        document = json.loads(value)
    except (ValueError, RecursionError):
        return None
    if not isinstance(document, dict) or document.get("format") != FORMAT:
        return None
    lists = {name: document.get(name) for name in ("labels", "routes")}
    if not all(isinstance(entries, list) for entries in lists.values()):
        return None
    return lists  # type: ignore[return-value]


def _to_label(entry: object, learned_at: float) -> Estimate | None:
    match entry:
        case [str(service), str(label), mean, variance]:
            return Estimate(
                key=EstimateKey(EstimateKind.LABEL, label, service),
                mean=_to_float(mean),
                variance=_to_float(variance),
                learned_at=learned_at,
            )
    return None


def _to_route(entry: object, learned_at: float) -> Estimate | None:
    match entry:
        case [str(route), run_ms]:
            run_s = _to_float(run_ms) / MILLISECONDS
            return Estimate(
                key=EstimateKey(EstimateKind.ROUTE, route),
                mean=math.log(run_s) if run_s > 0.0 else -math.inf,
                variance=0.0,
                learned_at=learned_at,
            )
    return None


def _to_float(value: object) -> float:
    """Return a number as a float; not a number if it is none or too large."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return math.nan
    try:
        return float(value)
    except OverflowError:
        return math.nan
