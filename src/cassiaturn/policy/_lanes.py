"""Service of the request classes: urgent first, with a floor for the rest.

Load pattern: urgent work that fills every slot for minutes. With strict
priority the other classes would stop altogether, and their callers would see
every job run into its deadline.

Grounds: a deficit counter (Shreedhar and Varghese, 1995). While a higher class
is served, each lower class with queued tasks earns its floor of that service
and is served first once the credit pays for one of its tasks. So an urgent task
waits for at most one lower task in ``1 / (sum of floors)``.
"""

from collections.abc import Iterator, Mapping

from cassiaturn.entities import RequestClass
from cassiaturn.policy._queue_tables import Lane

_MEAN_RATE = 0.05
"""Weight of one popped task in the mean run time of its class."""


class Lanes:
    """The classes of a queue, in order of priority."""

    __slots__ = ("_lanes", "lanes_by_class")

    def __init__(self, *, floor_by_class: Mapping[RequestClass, float]) -> None:
        self.lanes_by_class = {
            request_class: Lane(floor=floor_by_class.get(request_class, 0.0))
            for request_class in RequestClass
        }
        self._lanes = list(self.lanes_by_class.values())

    def __iter__(self) -> Iterator[Lane]:
        return iter(self._lanes)

    def in_turn(self) -> list[Lane]:
        """Return the classes with queued tasks, the one to serve first."""
        lanes = [lane for lane in self._lanes if lane.queued]
        if len(lanes) > 1:
            for lane in lanes[:0:-1]:
                if lane.is_owed:
                    lanes.remove(lane)
                    lanes.insert(0, lane)
                    break
        return lanes

    def serve(self, served: Lane, service_s: float) -> None:
        """Count service given to a class.

        :param service_s: expected run time of the popped task, in seconds.
        """
        served.mean_run_s += _MEAN_RATE * (service_s - served.mean_run_s)
        is_lower = False
        is_behind_queue = False
        for lane in self._lanes:
            if lane is served:
                is_lower = True
                if is_behind_queue or lane.credit_s > 0.0:
                    lane.credit_s -= service_s
            elif lane.queued:
                if is_lower:
                    lane.credit_s += lane.floor * service_s
                else:
                    is_behind_queue = True
