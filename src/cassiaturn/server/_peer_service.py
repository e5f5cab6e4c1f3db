"""The gRPC service that instances call on each other."""

from collections.abc import Callable

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from cassiaturn.entities import Answer
from cassiaturn.server._caller_service import to_submission
from cassiaturn.server._peers import PeerManager
from cassiaturn.server._router import Identity, SubmissionRouter
from cassiaturn.v1 import peer_pb2 as pb
from cassiaturn.v1.peer_grpc import PeerBase


class PeerService(PeerBase):
    """Serves peer links and calls forwarded to this instance."""

    def __init__(
        self,
        *,
        router: SubmissionRouter,
        peers: PeerManager,
        configuration: Callable[[], str],
    ) -> None:
        """Create the service of one instance.

        :param configuration: returns the shared configuration in force as JSON.
        """
        self._router = router
        self._configuration = configuration
        self._peers = peers

    async def Link(  # noqa: N802 - the name is the schema's
        self, stream: "Stream[pb.PeerFrame, pb.PeerFrame]"
    ) -> None:
        """Exchange frames with a peer that opened the link."""
        first = await stream.recv_message()
        if first is None:
            return
        await stream.send_message(self._peers.first_frame())
        await self._peers.serve(stream, first)

    async def Forward(  # noqa: N802
        self, stream: "Stream[pb.ForwardRequest, pb.ForwardReply]"
    ) -> None:
        """Serve a caller's call that another instance received and forwarded."""
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "the call has no request message")
        if request.wants_configuration:
            document = self._configuration()
            await stream.send_message(pb.ForwardReply(configuration_json=document))
            return
        identity = Identity(tenant=request.tenant, caller=request.caller)
        cancelled, answer = await self._serve(request, identity)
        await stream.send_message(
            pb.ForwardReply(answer=answer.to_message(), cancelled=cancelled)
        )

    async def _serve(
        self, request: pb.ForwardRequest, identity: Identity
    ) -> tuple[bool, Answer]:
        hops = request.hops
        if request.HasField("submit"):
            submission = to_submission(request.submit, identity)
            return False, await self._router.submit(submission, hops=hops)
        if request.HasField("cancel"):
            submission_id = request.cancel.submission_id
            return await self._router.cancel(submission_id, identity, hops=hops)
        submission_id = request.collect.submission_id
        return False, await self._router.collect(submission_id, identity, hops=hops)
