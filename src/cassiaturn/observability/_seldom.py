"""Lines about something that comes again and again."""

import time
from collections import OrderedDict
from collections.abc import Callable

from cassiaturn.observability._event import Event
from cassiaturn.observability._log import log_event

REPEAT_S = 30.0
"""Least time between two lines about one key, in seconds: a person who reads the log of
an incident sees each key, and a writer that repeats itself each second costs little."""

MOST_KEYS = 256
"""Keys that are remembered; a writer that makes up new ones does not fill memory."""

MOST_LINES_PER_S = 5.0
"""Lines a second over all keys: a hundredth of what a process may write."""


class SeldomLog:
    """Writes at most one line a key and period, and few in all; counts the rest.

    Failure that it answers: an entry of a shared list that cannot be read is seen with
    each of its changes, at every member. Logged each time, it crowds out the lines that
    explain requests.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Begin without any key.

        :param clock: time in seconds.
        """
        self._clock = clock
        self._logged_at: OrderedDict[str, float] = OrderedDict()
        self._left_out = 0
        self._next_at = float("-inf")

    def log(self, event: Event, *, key: str, **fields: object) -> None:
        """Write a line unless there was one about the key lately.

        :param event: what happened.
        :param key: what it happened to; written as well.
        :param fields: what else identifies it.
        """
        now = self._clock()
        last = self._logged_at.get(key)
        if now < self._next_at or (last is not None and now - last < REPEAT_S):
            self._left_out += 1
            return
        self._next_at = now + 1.0 / MOST_LINES_PER_S
        self._logged_at[key] = now
        self._logged_at.move_to_end(key)
        if len(self._logged_at) > MOST_KEYS:
            self._logged_at.popitem(last=False)
        log_event(event, key=key, **fields, left_out=self._left_out)
        self._left_out = 0
