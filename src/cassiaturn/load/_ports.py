"""Free TCP ports on loopback."""

import socket
from collections.abc import Sequence
from contextlib import ExitStack

LOOPBACK = "127.0.0.1"


def free_ports(count: int) -> Sequence[int]:
    """Return ports that nothing listens at.

    All are held until the last is found, so that none comes twice.

    :param count: how many.
    """
    with ExitStack() as stack:
        ports: list[int] = []
        for _ in range(count):
            held = stack.enter_context(socket.socket())
            held.bind((LOOPBACK, 0))
            ports.append(held.getsockname()[1])
        return ports
