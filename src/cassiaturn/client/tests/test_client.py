"""What callers are told when instances cannot be reached."""

from cassiaturn.client import Client
from cassiaturn.entities import Address, Outcome, Reason
from cassiaturn.load._ports import LOOPBACK, free_ports

METHOD = "kwabena.v1.Props/OrderDeck"


def unreachable_client() -> Client:
    """Return a client of an address where nothing listens."""
    address = Address(host=LOOPBACK, port=free_ports(1)[0])
    return Client(addresses=[address], tenant="kwabena", caller="test", seed=1)


async def test_a_request_that_was_never_sent_is_not_run() -> None:
    """No instance gives a ticket until the deadline, so nothing is submitted.

    The caller may safely order again, and is told so.
    """
    async with unreachable_client() as client:
        answer = await client.submit(METHOD, [b""], deadline_s=0.2)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.reason is Reason.HOME_UNREACHABLE


async def test_an_own_id_that_reached_nobody_stays_unknown() -> None:
    """A caller sends an id of its own that it may have sent before.

    That this call reached nobody says nothing of an earlier one.
    """
    async with unreachable_client() as client:
        answer = await client.submit(
            METHOD, [b""], deadline_s=0.2, submission_id="order-1"
        )
    assert answer.outcome is Outcome.UNKNOWN


async def test_no_ticket_is_no_error() -> None:
    async with unreachable_client() as client:
        assert await client.ticket(timeout_s=0.1) is None
