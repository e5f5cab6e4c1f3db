"""Free TCP ports on loopback."""

import random
import socket
from collections.abc import Iterable, Sequence
from contextlib import ExitStack

LOOPBACK = "127.0.0.1"

PORTS = range(12_000, 30_000)
"""Below the ports that systems give to outgoing connections: one of those could
be in use for a moment just when a process wants to listen at it."""


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
            try:
                held.bind((LOOPBACK, port))
            except OSError:
                continue
            ports.append(port)
            if len(ports) == count:
                return ports
    raise OSError(f"fewer than {count} free ports")


def _shuffled(ports: range) -> Iterable[int]:
    return random.SystemRandom().sample(ports, len(ports))
