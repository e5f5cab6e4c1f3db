"""Slots that each class was seen to use.

Load pattern: batch work behind a stream of urgent and normal work. Its queue
does not drain at the rate of all slots but of what the higher classes leave;
without knowing that, a batch job is admitted to be dropped at its deadline.

Grounds: run time ended in a window over its length is the mean number of slots
in use (Little's law); a moving average of a few windows follows a change of
load within seconds and is not moved by one long task.
"""

from dataclasses import dataclass

from cassiaturn.entities import RequestClass

_WINDOW_S = 1.0
"""Least length of a window, in seconds."""

_RATE = 0.3
"""Weight of the newest window: three windows of memory."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UsedSlots:
    """Slots in use, as one class sees them; made by :class:`ServiceRates`."""

    above: float
    """Slots that higher classes use."""

    own: float
    """Slots that the class itself uses."""


class ServiceRates:
    """Slots used by each class, as a moving average."""

    def __init__(self) -> None:
        self._ended_s_by_class = dict.fromkeys(RequestClass, 0.0)
        self._slots_by_class = dict.fromkeys(RequestClass, 0.0)
        self._window_from: float | None = None

    def observe(self, request_class: RequestClass, run_s: float) -> None:
        """Take in a run that ended.

        :param run_s: time that it held a slot, in seconds.
        """
        self._ended_s_by_class[request_class] += run_s

    def used_slots(self, request_class: RequestClass, now: float) -> UsedSlots:
        """Return the slots in use, as a class sees them.

        :param request_class: the class.
        :param now: present time, in seconds.
        """
        self._close_window(now)
        above = 0.0
        for other, slots in self._slots_by_class.items():
            if other < request_class:
                above += slots
        return UsedSlots(above=above, own=self._slots_by_class[request_class])

    def _close_window(self, now: float) -> None:
        if self._window_from is None:
            self._window_from = now
        length_s = now - self._window_from
        if length_s < _WINDOW_S:
            return
        self._window_from = now
        for request_class, ended_s in self._ended_s_by_class.items():
            slots = self._slots_by_class[request_class]
            slots += _RATE * (ended_s / length_s - slots)
            self._slots_by_class[request_class] = slots
            self._ended_s_by_class[request_class] = 0.0
