"""Moves large results to the object store and reads them back on request.

Offloading saves the memory that an instance spends on answers it keeps for
collection.
"""

import asyncio
import time
from collections import deque
from collections.abc import Sequence

from google.protobuf.message import DecodeError
from returns.result import Success

from cassiaturn.services import ObjectStore
from cassiaturn.submission import Offload, SubmissionTable
from cassiaturn.v1 import dispatcher_pb2

RETRY_PAUSE_S = 1.0
"""Pause after a failed write to the object store, in seconds."""

SWEEP_S = 1.0
"""Interval between checks for expired objects, in seconds."""


class Offloader:
    """Writes results picked by the submission table; reads and deletes them."""

    def __init__(
        self,
        *,
        submissions: SubmissionTable,
        objects: ObjectStore | None,
        retention_s: float,
    ) -> None:
        """Create the offloader of one instance.

        :param objects: object store; None if the settings name none, in which
            case results stay in memory.
        :param retention_s: how long an object is kept, in seconds.
        """
        self._submissions = submissions
        self._objects = objects
        self._retention_s = retention_s
        self._written: deque[tuple[float, str]] = deque()
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Signal that an answer was settled and may need offloading."""
        self._wake.set()

    async def fetch(self, object_key: str) -> Sequence[bytes] | None:
        """Return offloaded results; None if they cannot be read now."""
        if self._objects is None:
            return None
        match await self._objects.get(object_key):
            case Success(content):
                try:
                    message = dispatcher_pb2.Answer.FromString(content)
                except DecodeError:
                    return None
                return tuple(message.results)
            case _:
                return None

    async def run(self) -> None:
        """Offload results and delete expired objects until cancelled."""
        if self._objects is None:
            return
        while True:
            try:
                await asyncio.wait_for(self._wake.wait(), SWEEP_S)
            except TimeoutError:
                await self._delete_old(self._objects)
                continue
            self._wake.clear()
            for offload in self._submissions.to_offload(time.monotonic()):
                await self._move(self._objects, offload)

    async def _move(self, objects: ObjectStore, offload: Offload) -> None:
        content = dispatcher_pb2.Answer(
            submission_id=offload.submission_id, results=offload.results
        ).SerializeToString()
        match await objects.put(offload.object_key, content):
            case Success(_):
                self._submissions.offloaded(offload.submission_id, offload.object_key)
                self._written.append((time.monotonic(), offload.object_key))
            case _:
                self._submissions.offload_failed(offload.submission_id)
                await asyncio.sleep(RETRY_PAUSE_S)
                self._wake.set()

    async def _delete_old(self, objects: ObjectStore) -> None:
        oldest = time.monotonic() - self._retention_s
        while self._written and self._written[0][0] < oldest:
            match await objects.delete(self._written[0][1]):
                case Success(_):
                    self._written.popleft()
                case _:
                    return
