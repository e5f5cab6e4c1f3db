"""Fixture with a store, runners and members on loopback."""

import sys
from collections.abc import AsyncIterator, Iterator

import pytest

from cassiaturn.observability import configure_logging
from cassiaturn.platform.tests.fleet import Fleet


@pytest.fixture
def member_log() -> Iterator[None]:
    """Print the members' log lines, which are shown if the test fails."""
    output = configure_logging(stream=sys.stdout)
    yield
    output.close()


@pytest.fixture
async def fleet(member_log: None) -> AsyncIterator[Fleet]:
    fleet = Fleet()
    await fleet.start()
    yield fleet
    await fleet.close()
