"""Forwards calls to the instance that can answer them."""

import asyncio
import time

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from cassiaturn.entities import Address
from cassiaturn.membership import MembershipTable
from cassiaturn.submission import instance_of
from cassiaturn.v1 import peer_pb2
from cassiaturn.v1.peer_grpc import PeerStub

FORWARD_ERRORS = (OSError, GRPCError, StreamTerminatedError, TimeoutError)
"""Exceptions of a forwarded call when the other instance is lost."""

FORWARD_GRACE_S = 0.5
"""Extra wait for the home's answer past the caller's deadline, in seconds."""


class Forwards:
    """Connections to other instances for single calls, separate from the links."""

    def __init__(self, *, membership: MembershipTable) -> None:
        """Start without connections.

        :param membership: notified of each instance whose connection breaks.
        """
        self._membership = membership
        self._addresses_by_instance: dict[str, Address] = {}
        self._channels_by_instance: dict[str, Channel] = {}
        self._calls_by_incarnation: dict[
            str, set[asyncio.Task[peer_pb2.ForwardReply]]
        ] = {}

    def set_address(self, instance_id: str, address: Address) -> None:
        """Set an instance's address and close the connection to the earlier one."""
        self._addresses_by_instance[instance_id] = address
        channel = self._channels_by_instance.pop(instance_id, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close every connection."""
        for channel in self._channels_by_instance.values():
            channel.close()

    async def forward(
        self, incarnation: str, request: peer_pb2.ForwardRequest, *, timeout_s: float
    ) -> peer_pb2.ForwardReply | None:
        """Return the reply of another incarnation; None if there was none."""
        return await self.forward_to(
            instance_of(incarnation) or "", incarnation, request, timeout_s=timeout_s
        )

    async def forward_to(
        self,
        instance_id: str,
        incarnation: str,
        request: peer_pb2.ForwardRequest,
        *,
        timeout_s: float,
    ) -> peer_pb2.ForwardReply | None:
        """Return the reply of an instance; None if there was none.

        :param incarnation: :meth:`cancel_calls` of this incarnation ends the call.
        """
        channel = self._channel_to(instance_id)
        if channel is None:
            return None
        call = asyncio.create_task(
            PeerStub(channel).Forward(request, timeout=timeout_s + FORWARD_GRACE_S)
        )
        calls = self._calls_by_incarnation.setdefault(incarnation, set())
        calls.add(call)
        try:
            return await call
        except FORWARD_ERRORS:
            self._membership.disconnected(incarnation, time.monotonic())
            return None
        except asyncio.CancelledError:
            # A caller that hung up cancels this task; `cancel_calls` cancels the
            # inner call alone, which counts as no reply.
            task = asyncio.current_task()
            if task is not None and not task.cancelling():
                return None
            call.cancel()
            raise
        finally:
            calls.discard(call)

    def cancel_calls(self, incarnation: str) -> None:
        # A stopped process keeps its connections open: without this, callers would
        # wait until their deadlines although a successor can already answer.
        for call in self._calls_by_incarnation.pop(incarnation, set()):
            call.cancel()

    def _channel_to(self, instance_id: str) -> Channel | None:
        channel = self._channels_by_instance.get(instance_id)
        if channel is None:
            address = self._addresses_by_instance.get(instance_id)
            if address is None:
                return None
            channel = Channel(address.host, address.port)
            self._channels_by_instance[instance_id] = channel
        return channel
