"""Connections that waited to be accepted, and since when.

Load pattern: a process starts after an outage, and callers have connected since its
port was opened. Their requests are read in one moment, and each seems to be new: those
whose callers have waited longest take the places of others that could be in time.

The queue of a port is first in, first out, and does not tell when a connection came.
Callers come at a steady rate while nobody answers, so that the place in the queue tells
the time.
"""

import socket
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingConnection:
    """A connection that was opened before anybody accepted it."""

    connection: socket.socket
    """Its socket."""

    peer: Any
    """Address of the other end, as the socket's family has it."""

    came_at: float
    """When it was opened, as far as its place in the queue tells, in seconds."""


def spread_arrivals(count: int, *, opened_at: float, now: float) -> Sequence[float]:
    """Return when each of some connections came, spread evenly, in seconds.

    :param count: connections in the queue.
    :param opened_at: when the port was opened, in seconds.
    :param now: time in seconds.
    """
    step_s = (now - opened_at) / max(1, count)
    return [opened_at + (place + 0.5) * step_s for place in range(count)]


def take_waiting(
    port: socket.socket, *, opened_at: float, now: float
) -> Sequence[WaitingConnection]:
    """Accept every connection that waits at a port, in order of arrival.

    :param port: a listening socket that does not block.
    :param opened_at: when it began to listen, in seconds.
    :param now: time in seconds.
    """
    accepted = list(_accept_all(port))
    arrivals = spread_arrivals(len(accepted), opened_at=opened_at, now=now)
    return [
        WaitingConnection(connection=connection, peer=peer, came_at=came_at)
        for (connection, peer), came_at in zip(accepted, arrivals, strict=True)
    ]


def _accept_all(port: socket.socket) -> Iterator[tuple[socket.socket, Any]]:
    while True:
        try:
            yield port.accept()
        except BlockingIOError:
            return
        except ConnectionAbortedError:
            # Its caller left while it waited.
            continue
