"""Changes of the shared configuration, timed until every instance has them."""

import asyncio
import time
import uuid
from collections.abc import Sequence
from pathlib import Path

from pydantic import ValidationError
from returns.result import Failure, Success
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from cassiaturn.configuration import (
    ConfigurationContent,
    Current,
    load_content,
    propose,
    read_current,
    read_version,
)
from cassiaturn.entities import Address
from cassiaturn.observability import StatusDocument
from cassiaturn.services import HttpCaller, HttpTableService

AUTHOR = "load"
STORE_TIMEOUT_S = 2.0
POLL_S = 0.05
PATIENCE_S = 30.0
"""Wait for a version to be in force everywhere, in seconds."""


class ConfigurationChanger:
    """Drains and activates targets as an operator does, by a new version."""

    def __init__(self, *, platform: Address, initial: Path) -> None:
        """Prepare; connections open on use.

        :param platform: where the table service is.
        :param initial: the file that holds until the table gives a version.
        """
        self._caller = HttpCaller(
            base_url=f"http://{platform}", timeout_s=STORE_TIMEOUT_S
        )
        self._table = HttpTableService(caller=self._caller)
        self._initial = initial
        self._http = AsyncHTTPClient(force_instance=True)
        self.in_force_s: list[float] = []
        self.refused = 0

    def close(self) -> None:
        """Close every connection."""
        self._caller.close()
        self._http.close()

    async def drain(
        self, target_id: str, *, drained: bool, pages: Sequence[Address]
    ) -> None:
        """Propose a version and time until all these instances have it.

        :param target_id: the target.
        :param drained: whether it gets no new start.
        :param pages: status pages of the instances.
        """
        match await read_current(self._table):
            case Success(current):
                pass
            case _:
                self.refused += 1
                return
        content = await self._content(current)
        proposed = await propose(
            table=self._table,
            content=content.with_drain(target_id, drained=drained),
            author=AUTHOR,
            expected_version=current.row.version,
            token=uuid.uuid4().hex,
        )
        begun_at = time.monotonic()
        match proposed:
            case Success(configuration):
                await self._until_in_force(configuration.version, pages)
                self.in_force_s.append(time.monotonic() - begun_at)
            case Failure(_):
                self.refused += 1

    async def _content(self, current: Current) -> ConfigurationContent:
        version = current.row.version
        if version == 0:
            return load_content(self._initial).unwrap()
        return (await read_version(self._table, version)).unwrap().content

    async def _until_in_force(self, version: int, pages: Sequence[Address]) -> None:
        give_up = time.monotonic() + PATIENCE_S
        waiting = list(pages)
        while waiting and time.monotonic() < give_up:
            if await self._version_at(waiting[-1]) >= version:
                waiting.pop()
            else:
                await asyncio.sleep(POLL_S)

    async def _version_at(self, page: Address) -> int:
        try:
            response = await self._http.fetch(f"http://{page}/status")
            status = StatusDocument.model_validate_json(response.body)
        except (OSError, HTTPClientError, ValidationError):
            return -1
        return status.configuration.version
