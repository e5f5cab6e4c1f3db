"""Free TCP ports on loopback."""

import random
import socket
from collections import deque
from collections.abc import Iterable, Sequence
from contextlib import ExitStack

LOOPBACK = "127.0.0.1"

PORTS = range(12_000, 30_000)
"""Below the ports that systems give to outgoing connections: one of those could
be in use for a moment just when a process wants to listen at it."""


MAX_RESERVATIONS = 256
"""Number of ports that this process reserves, the last ones that it has found."""

_reservations: deque[socket.socket] = deque()
"""UDP sockets bound to the ports that were found. Another process that looks for ports
at the same time passes these over, although nothing listens on them yet."""


def free_ports(count: int) -> Sequence[int]:
    """Return ports that nothing listens at.

    All are held until the last is found, so that none comes twice.

    :param count: how many.
    :raises OSError: there are not as many.
    """
    with ExitStack() as stack:
        ports: list[int] = []
        for port in _shuffled(PORTS):
            held = stack.enter_context(socket.socket())
            reservation = socket.socket(type=socket.SOCK_DGRAM)
            try:
                reservation.bind((LOOPBACK, port))
                held.bind((LOOPBACK, port))
            except OSError:
                reservation.close()
                continue
            if len(_reservations) == MAX_RESERVATIONS:
                _reservations.popleft().close()
            _reservations.append(reservation)
            ports.append(port)
            if len(ports) == count:
                return ports
    raise OSError(f"fewer than {count} free ports")


def _shuffled(ports: range) -> Iterable[int]:
    return random.SystemRandom().sample(ports, len(ports))
