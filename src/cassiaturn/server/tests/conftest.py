"""Fixtures of the tests of the server process."""

from collections.abc import AsyncIterator

import pytest

from cassiaturn.standins import PlatformSettings, PlatformStandIn


@pytest.fixture
async def platform() -> AsyncIterator[PlatformStandIn]:
    stand_in = PlatformStandIn(settings=PlatformSettings(port=0))
    await stand_in.start()
    yield stand_in
    await stand_in.close()
