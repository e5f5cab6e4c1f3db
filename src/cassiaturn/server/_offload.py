"""Moves results that are too large to keep to the object store."""

import asyncio
import time

from returns.result import Success

from cassiaturn.platform import ObjectStore
from cassiaturn.submission import Offload, SubmissionTable
from cassiaturn.v1 import dispatcher_pb2

RETRY_PAUSE_S = 1.0
"""Pause after the object store took nothing, in seconds."""


class Offloader:
    """Writes what the table of submissions hands out."""

    def __init__(
        self, *, submissions: SubmissionTable, objects: ObjectStore | None
    ) -> None:
        """Write for one instance; None: results stay in memory."""
        self._submissions = submissions
        self._objects = objects
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Say that an answer was settled."""
        self._wake.set()

    async def run(self) -> None:
        """Move results until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._objects is None:
                continue
            for offload in self._submissions.to_offload(time.monotonic()):
                await self._move(self._objects, offload)

    async def _move(self, objects: ObjectStore, offload: Offload) -> None:
        content = dispatcher_pb2.Answer(
            submission_id=offload.submission_id, results=offload.results
        ).SerializeToString()
        match await objects.put(offload.object_key, content):
            case Success(_):
                self._submissions.offloaded(offload.submission_id, offload.object_key)
            case _:
                self._submissions.offload_failed(offload.submission_id)
                await asyncio.sleep(RETRY_PAUSE_S)
                self._wake.set()
