"""Tests of members whose open connections to the store fall silent for good."""

import asyncio
import time
from collections.abc import AsyncIterator

import pytest

from cassiaturn.load import Relay, RelayPlace
from cassiaturn.platform.tests.fleet import CONFIGURATION, Fleet, free_addresses

IN_TOUCH_S = 3.0
"""Time after a reset of its connections from which a member counts as in touch again,
in seconds."""


@pytest.fixture
async def store_relay(member_log: None) -> AsyncIterator[tuple[Fleet, Relay]]:
    """Start a fleet that reaches its store through a relay."""
    fleet = Fleet()
    fleet.store.start()
    host, _, port = fleet.store.address.rpartition(":")
    (listen,) = free_addresses(1)
    relay = Relay(
        place=RelayPlace(
            listen=listen,
            destination=type(listen)(host=host, port=int(port)),
            source_domain="b",
            destination_domain="a",
        )
    )
    await relay.start()
    fleet.store.address = str(listen)
    fleet.store.start = lambda: None  # type: ignore[method-assign]
    await fleet.start()
    yield fleet, relay
    await fleet.close()
    await relay.close()


async def test_a_change_is_in_force_although_open_connections_fell_silent(
    store_relay: tuple[Fleet, Relay],
) -> None:
    """Guards against members that wait on a silent connection for longer than allowed.

    All of them begin a new call at the same time, when the change before is told.
    """
    fleet, relay = store_relay
    fleet.store.state.put("op", "config", {**CONFIGURATION, "version": 4})
    await asyncio.sleep(0.1)
    relay.strand()
    silent_at = time.monotonic()
    await asyncio.sleep(0.1)
    fleet.store.state.put("op", "config", {**CONFIGURATION, "version": 5})
    await fleet.until(
        lambda: all(member.member.routing.version == 5 for member in fleet.members)
    )
    assert time.monotonic() - silent_at < IN_TOUCH_S
