"""Priority queue by virtual time, with lazy updates."""

from heapq import heapify, heappop, heappush, heapreplace
from itertools import count
from typing import Generic, TypeAlias, TypeVar

_COMPACT_SLACK = 64
"""Stale entries tolerated beyond the number of valid ones."""


class Account:
    """Virtual time of a tenant or caller: its service divided by its weight."""

    __slots__ = ("virtual_time", "weight")

    def __init__(self, *, weight: float) -> None:
        self.virtual_time = 0.0
        self.weight = weight


class Member:
    """Base class of the entries of a :class:`Ranking`: queued tasks of one account."""

    __slots__ = ("account", "entry_key", "queued")

    def __init__(self, *, account: Account) -> None:
        self.account = account
        self.queued = 0
        self.entry_key: float | None = None
        """Key of the valid heap entry; None: no entry."""


M = TypeVar("M", bound=Member)

Entry: TypeAlias = tuple[float, int, M]
"""Heap entry: key, insertion number to break ties, member."""


class Ranking(Generic[M]):
    """Members with queued tasks, least virtual time first, in logarithmic time.

    Each member has one valid entry. A virtual time that has grown is detected when
    the entry reaches the top; one that has shrunk needs :meth:`refresh`. Entries of
    members without queued tasks are dropped when they reach the top.
    """

    __slots__ = ("_heap", "_numbers", "_valid")

    def __init__(self) -> None:
        self._heap: list[Entry[M]] = []
        self._numbers = count()
        self._valid = 0

    def refresh(self, member: M, slack: float = 0.0) -> None:
        """Insert a member, or move it forward after its virtual time shrank.

        :param slack: by how much the key of the valid entry may exceed the virtual
            time, in units of virtual time.
        """
        key = member.account.virtual_time
        if member.entry_key is None:
            self._valid += 1
        elif member.entry_key <= key + slack:
            return
        member.entry_key = key
        heappush(self._heap, (key, next(self._numbers), member))
        # Refunds leave stale entries behind, which would outnumber the members
        # without a bound. Rebuilding the heap once they are the majority costs
        # amortised O(1) per entry.
        if len(self._heap) > 2 * self._valid + _COMPACT_SLACK:
            self._compact()

    def first(self) -> M | None:
        """Return the member with the least virtual time, or None."""
        heap = self._heap
        while heap:
            key, number, member = heap[0]
            if member.entry_key != key:
                heappop(heap)
            elif not member.queued:
                heappop(heap)
                member.entry_key = None
                self._valid -= 1
            else:
                current = member.account.virtual_time
                if current <= key:
                    return member
                member.entry_key = current
                heapreplace(heap, (current, number, member))
        return None

    def take_first(self) -> "Entry[M]":
        """Remove the entry of the member that :meth:`first` returned.

        :returns: the entry, for :meth:`put_back`.
        """
        return heappop(self._heap)

    def put_back(self, entry: "Entry[M]") -> None:
        """Insert an entry again that :meth:`take_first` removed."""
        heappush(self._heap, entry)

    def _compact(self) -> None:
        self._heap = [entry for entry in self._heap if entry[2].entry_key == entry[0]]
        heapify(self._heap)
