"""A grpclib server whose connections end with it."""

import weakref
from collections.abc import Collection

from grpclib._typing import IServable
from grpclib.protocol import H2Protocol
from grpclib.server import Server


class ClosingServer(Server):
    """A server that closes the connections it accepted when it is closed.

    Without this a connection outlives the server, and the handlers of an ended
    incarnation go on answering callers who never connect to the new one.
    """

    def __init__(self, handlers: Collection[IServable]) -> None:
        """Serve some handlers, as the base class does."""
        super().__init__(handlers)
        self._accepted: weakref.WeakSet[H2Protocol] = weakref.WeakSet()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._accepted.add(protocol)
        return protocol

    def end_connections(self) -> None:
        """Close every connection, after the last answer was sent."""
        for protocol in list(self._accepted):
            # One that was accepted a moment ago has no connection yet.
            if hasattr(protocol, "connection"):
                protocol.connection.close()
