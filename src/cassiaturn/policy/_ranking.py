"""The active member with the least virtual time, in logarithmic time."""

from heapq import heapify, heappop, heappush, heapreplace
from itertools import count
from typing import Generic, TypeAlias, TypeVar

_COMPACT_SLACK = 64
"""Stale entries tolerated before a heap is rebuilt."""


class Account:
    """Weighted service received: the virtual time of a tenant or caller."""

    __slots__ = ("virtual_time", "weight")

    def __init__(self, *, weight: float) -> None:
        self.virtual_time = 0.0
        self.weight = weight


class Member:
    """What a :class:`Ranking` orders: queued tasks of one account."""

    __slots__ = ("account", "entry_key", "queued")

    def __init__(self, *, account: Account) -> None:
        self.account = account
        self.queued = 0
        self.entry_key: float | None = None
        """Key of the live heap entry; None: no entry."""


M = TypeVar("M", bound=Member)

Entry: TypeAlias = tuple[float, int, M]
"""Key, order of entry, member: what the heap compares."""


class Ranking(Generic[M]):
    """Members with queued tasks, least virtual time first.

    Each member has one live entry. A virtual time that grew is noticed when the
    entry comes to the top; one that shrank needs :meth:`refresh`. Entries of
    members that ran empty are dropped when they come to the top.
    """

    __slots__ = ("_heap", "_live", "_numbers")

    def __init__(self) -> None:
        self._heap: list[Entry[M]] = []
        self._numbers = count()
        self._live = 0

    def refresh(self, member: M, slack: float = 0.0) -> None:
        """Enter a member, or move it forward after its virtual time shrank.

        :param slack: how far the live entry may stay behind, in virtual time.
        """
        key = member.account.virtual_time
        if member.entry_key is None:
            self._live += 1
        elif member.entry_key <= key + slack:
            return
        member.entry_key = key
        heappush(self._heap, (key, next(self._numbers), member))
        # Refunds leave stale entries behind; unbounded, they would outgrow the
        # members. A rebuild once they are the majority costs O(1) each.
        if len(self._heap) > 2 * self._live + _COMPACT_SLACK:
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
                self._live -= 1
            else:
                current = member.account.virtual_time
                if current <= key:
                    return member
                member.entry_key = current
                heapreplace(heap, (current, number, member))
        return None

    def set_aside(self) -> "Entry[M]":
        """Take the entry of the member that :meth:`first` returned out.

        :returns: the entry, for :meth:`put_back`.
        """
        return heappop(self._heap)

    def put_back(self, entry: "Entry[M]") -> None:
        """Put an entry that was set aside back into its place."""
        heappush(self._heap, entry)

    def _compact(self) -> None:
        self._heap = [entry for entry in self._heap if entry[2].entry_key == entry[0]]
        heapify(self._heap)
