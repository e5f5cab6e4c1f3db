"""Kinds of messages that dispatchers send, as the benchmarks count them."""

from enum import Enum, auto


class MessageKind(Enum):
    """What a message between processes of the site is for."""

    START = auto()
    """A task goes to a target."""

    RESULT = auto()
    """A task's end comes back from a target."""

    FORWARD = auto()
    """A task or its end passes between two instances."""

    CANCEL = auto()
    """A task is stopped because its caller or its job no longer needs it."""

    REFUSED_START = auto()
    """A start came back: the target or the peer had no slot for it."""

    PROBE = auto()
    """A question about load, or its reply."""

    HEARTBEAT = auto()
    """A report of load that found no other message to ride on."""

    DUPLICATE_ANSWER = auto()
    """A result for a task that has one already."""


WASTED_KINDS = frozenset(
    {
        MessageKind.REFUSED_START,
        MessageKind.PROBE,
        MessageKind.HEARTBEAT,
        MessageKind.DUPLICATE_ANSWER,
    }
)
"""What counts as wasted: everything but starts, results and cancellations."""
