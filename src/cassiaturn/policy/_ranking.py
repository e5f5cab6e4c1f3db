"""The active member with the least virtual time, in logarithmic time."""

import heapq
from itertools import count
from typing import Generic, TypeVar

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


class Ranking(Generic[M]):
    """Members with queued tasks, least virtual time first.

    Each member has one live entry. A virtual time that grew is noticed when the
    entry comes to the top; one that shrank needs :meth:`refresh`. Entries of
    members that ran empty are dropped when they come to the top.
    """

    __slots__ = ("_heap", "_live", "_numbers")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, M]] = []
        self._numbers = count()
        self._live = 0

    def refresh(self, member: M) -> None:
        """Enter a member, or move it forward after its virtual time shrank."""
        key = member.account.virtual_time
        if member.entry_key is None:
            self._live += 1
        elif member.entry_key <= key:
            return
        member.entry_key = key
        heapq.heappush(self._heap, (key, next(self._numbers), member))
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
                heapq.heappop(heap)
                continue
            if not member.queued:
                heapq.heappop(heap)
                member.entry_key = None
                self._live -= 1
                continue
            current = member.account.virtual_time
            if current <= key:
                return member
            member.entry_key = current
            heapq.heapreplace(heap, (current, number, member))
        return None

    def set_aside(self) -> M | None:
        """Remove the first member; :meth:`refresh` enters it again."""
        member = self.first()
        if member is not None:
            heapq.heappop(self._heap)
            member.entry_key = None
            self._live -= 1
        return member

    def _compact(self) -> None:
        self._heap = [entry for entry in self._heap if entry[2].entry_key == entry[0]]
        heapq.heapify(self._heap)
