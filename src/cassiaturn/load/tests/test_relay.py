import asyncio

import pytest

from cassiaturn.entities import Address
from cassiaturn.load import Relay, RelayPlace

NEAR = "osu"
FAR = "tema"


@pytest.mark.parametrize(
    ("source", "destination", "from_platform", "expected"),
    [
        (NEAR, FAR, False, True),
        (FAR, NEAR, False, True),
        (FAR, "labone", False, False),
        (NEAR, "", False, False),
        (NEAR, "", True, True),
        (FAR, "", True, False),
    ],
)
def test_partition_cuts_what_crosses_it(
    source: str, destination: str, from_platform: bool, expected: bool
) -> None:
    address = Address(host="127.0.0.1", port=1)
    place = RelayPlace(
        listen=address,
        destination=address,
        source_domain=source,
        destination_domain=destination,
    )
    assert place.crosses([NEAR], from_platform=from_platform) == expected


async def test_cut_relay_delivers_late(unused_tcp_port: int) -> None:
    """The network loses everything between two domains, then heals.

    Nothing arrives meanwhile and no connection ends; what was sent before the
    healing arrives after it, as late starts and answers do.
    """
    received = asyncio.Queue[bytes]()

    async def take(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        while chunk := await reader.read(100):
            received.put_nowait(chunk)

    server = await asyncio.start_server(take, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    relay = Relay(
        place=RelayPlace(
            listen=Address(host="127.0.0.1", port=unused_tcp_port),
            destination=Address(host="127.0.0.1", port=port),
            source_domain=NEAR,
            destination_domain=FAR,
        )
    )
    await relay.start()
    _, writer = await asyncio.open_connection("127.0.0.1", unused_tcp_port)
    writer.write(b"before")
    assert await received.get() == b"before"
    relay.cut()
    writer.write(b"during")
    await asyncio.sleep(0.05)
    assert received.empty()
    assert relay.held == 1
    relay.heal()
    assert await asyncio.wait_for(received.get(), 2.0) == b"during"
    writer.close()
    await relay.close()
    server.close()
