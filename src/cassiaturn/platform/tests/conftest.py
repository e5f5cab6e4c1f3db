"""Fixture with a store, runners and members on loopback."""

from collections.abc import AsyncIterator

import pytest

from cassiaturn.platform.tests.fleet import Fleet


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    fleet = Fleet()
    await fleet.start()
    yield fleet
    await fleet.close()
