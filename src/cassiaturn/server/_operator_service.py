"""The gRPC service that operators use on an instance."""

import asyncio
from typing import TYPE_CHECKING

from grpclib.server import Stream

from cassiaturn.observability import Event, log_event
from cassiaturn.v1 import dispatcher_pb2 as pb
from cassiaturn.v1.dispatcher_grpc import OperatorBase

if TYPE_CHECKING:
    from cassiaturn.server._instance import Instance


class OperatorService(OperatorBase):
    """Reports status and drains targets or the whole instance."""

    def __init__(self, *, instance: "Instance") -> None:
        """Create the service of one instance."""
        self._instance = instance
        self._draining: asyncio.Task[None] | None = None

    async def Status(  # noqa: N802 - the name is the schema's
        self, stream: "Stream[pb.StatusRequest, pb.StatusReply]"
    ) -> None:
        """Return the status document as JSON."""
        await stream.recv_message()
        document = self._instance.status()
        await stream.send_message(
            pb.StatusReply(document_json=document.model_dump_json())
        )

    async def DrainTarget(  # noqa: N802
        self, stream: "Stream[pb.DrainTargetRequest, pb.DrainReply]"
    ) -> None:
        """Stop or allow new starts at a target.

        The setting takes effect while this instance holds the target.
        """
        request = await stream.recv_message()
        target_id = request.target_id if request else ""
        targets = self._instance.targets
        if target_id not in targets.settings_by_target:
            detail = f"no target '{target_id}' is known here"
            await stream.send_message(pb.DrainReply(accepted=False, detail=detail))
            return
        activate = bool(request and request.activate)
        targets.drain(target_id, activate=activate)
        event = Event.TARGET_ACTIVATED if activate else Event.TARGET_LEAVING
        log_event(event, target_id=target_id)
        held = target_id in targets.sessions_by_target
        detail = "in force here" if held else "in force once this instance holds it"
        await stream.send_message(pb.DrainReply(accepted=True, detail=detail))

    async def DrainInstance(  # noqa: N802
        self, stream: "Stream[pb.DrainInstanceRequest, pb.DrainReply]"
    ) -> None:
        """Begin a planned stop of this instance."""
        await stream.recv_message()
        if self._draining is None:
            self._instance.stop_requested.set()
            await stream.send_message(pb.DrainReply(accepted=True, detail="draining"))
            return
        await stream.send_message(
            pb.DrainReply(accepted=False, detail="a drain is under way already")
        )
