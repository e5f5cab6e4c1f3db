"""Orders request classes: urgent first, with a minimum share for the others.

Load pattern: urgent work that fills every slot for minutes. With strict priority
the other classes would starve, and every job of theirs would miss its deadline.

Grounds: a deficit counter (Shreedhar and Varghese, 1995). While a higher class is
served, each lower class with queued tasks earns its minimum share (its floor) of
that service as credit, and is served first once the credit covers one of its
tasks. So with tasks of equal length, at most one lower-class task overtakes urgent
work for every ``1 / (sum of floors)`` urgent tasks.
"""

from collections.abc import Iterator, Mapping

from cassiaturn.entities import RequestClass
from cassiaturn.policy._queue_tables import ClassQueue

_LEARNING_RATE = 0.05
"""Weight of one popped task in the mean run time of its class."""


class ClassQueues:
    """The queues of all request classes, highest priority first."""

    __slots__ = ("_queues", "queues_by_class")

    def __init__(self, *, floor_by_class: Mapping[RequestClass, float]) -> None:
        self.queues_by_class = {
            request_class: ClassQueue(floor=floor_by_class.get(request_class, 0.0))
            for request_class in RequestClass
        }
        self._queues = list(self.queues_by_class.values())

    def __iter__(self) -> Iterator[ClassQueue]:
        return iter(self._queues)

    def in_service_order(self) -> list[ClassQueue]:
        """Return the classes with queued tasks, in the order to serve them."""
        class_queues = [
            class_queue for class_queue in self._queues if class_queue.queued
        ]
        if len(class_queues) > 1:
            for class_queue in class_queues[:0:-1]:
                if class_queue.has_credit:
                    class_queues.remove(class_queue)
                    class_queues.insert(0, class_queue)
                    break
        return class_queues

    def serve(self, served: ClassQueue, service_s: float) -> None:
        """Account for a task popped from a class.

        :param served: class of the task.
        :param service_s: expected run time of the task, in seconds.
        """
        served.mean_run_s += _LEARNING_RATE * (service_s - served.mean_run_s)
        is_below_served = False
        is_higher_queued = False
        for class_queue in self._queues:
            if class_queue is served:
                is_below_served = True
                # Service ahead of a queued higher class, or while credit is left,
                # uses up credit.
                if is_higher_queued or class_queue.credit_s > 0.0:
                    class_queue.credit_s -= service_s
            elif class_queue.queued:
                if is_below_served:
                    class_queue.credit_s += class_queue.floor * service_s
                else:
                    is_higher_queued = True
