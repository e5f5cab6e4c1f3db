"""Measures how many slots each class uses.

Load pattern: batch work behind a stream of urgent and normal work. Its queue does
not drain at the rate of all slots but at that of the slots that higher classes
leave. Without that rate, a batch job is admitted and then dropped at its deadline.

Grounds: the total run time of the tasks that finished in a window, divided by the
length of the window, is the mean number of slots in use (Little's law). A moving
average over a few windows follows a change of load within seconds and is not
distorted by a single long task.
"""

from dataclasses import dataclass

from cassiaturn.entities import RequestClass

_WINDOW_S = 1.0
"""Minimum length of a window, in seconds."""

_LEARNING_RATE = 0.3
"""Weight of the newest window; the average covers about three windows."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UsedSlots:
    """Mean slots in use from the point of view of one class."""

    by_higher_classes: float
    """Slots that higher classes use."""

    by_own_class: float
    """Slots that the class itself uses."""


class ServiceRates:
    """Slots used by each class, as a moving average."""

    def __init__(self) -> None:
        self._ended_s_by_class = dict.fromkeys(RequestClass, 0.0)
        self._slots_by_class = dict.fromkeys(RequestClass, 0.0)
        self._window_from: float | None = None

    def observe(self, request_class: RequestClass, run_s: float) -> None:
        """Record a run that ended.

        :param request_class: class of the task.
        :param run_s: time for which it held a slot, in seconds.
        """
        self._ended_s_by_class[request_class] += run_s

    def used_slots(self, request_class: RequestClass, now: float) -> UsedSlots:
        """Return the slots in use by a class and by those above it.

        :param request_class: the class.
        :param now: present time, in seconds.
        """
        self._close_window(now)
        by_higher_classes = 0.0
        for other, slots in self._slots_by_class.items():
            if other < request_class:
                by_higher_classes += slots
        return UsedSlots(
            by_higher_classes=by_higher_classes,
            by_own_class=self._slots_by_class[request_class],
        )

    def _close_window(self, now: float) -> None:
        if self._window_from is None:
            self._window_from = now
        length_s = now - self._window_from
        if length_s < _WINDOW_S:
            return
        self._window_from = now
        for request_class, ended_s in self._ended_s_by_class.items():
            slots = self._slots_by_class[request_class]
            slots += _LEARNING_RATE * (ended_s / length_s - slots)
            self._slots_by_class[request_class] = slots
            self._ended_s_by_class[request_class] = 0.0
