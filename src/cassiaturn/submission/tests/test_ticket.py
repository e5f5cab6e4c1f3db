"""Tickets: issued ones parse, and other texts give an error value."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiaturn.submission import (
    MAX_SUBMISSION_ID_LENGTH,
    MalformedTicket,
    Ticket,
    TicketIssuer,
    booted_ms,
    instance_of,
    is_incarnation,
    new_incarnation,
    parse_ticket,
)

HOME = "osu-1~18c0000000011223344"


def make_issuer(incarnation: str = HOME) -> TicketIssuer:
    return TicketIssuer(incarnation=incarnation, valid_for_s=30.0)


@given(
    instance_id=st.from_regex(r"[A-Za-z0-9_-]{1,48}", fullmatch=True),
    boot_ms=st.integers(min_value=0, max_value=2**48),
    now=st.floats(min_value=0, max_value=1e8),
)
def test_issued_ticket_names_its_home(
    instance_id: str, boot_ms: int, now: float
) -> None:
    home = new_incarnation(
        instance_id=instance_id, boot_ms=boot_ms, rng=random.Random(1)
    )

    ticket = parse_ticket(make_issuer(home).issue(now))

    assert isinstance(ticket, Ticket)
    assert (ticket.home, ticket.sequence) == (home, 0)
    assert is_incarnation(home)
    assert instance_of(home) == instance_id
    assert booted_ms(home) == boot_ms


@given(st.text(max_size=200))
def test_parsing_never_raises(text: str) -> None:
    """Callers send any text as an id; an error must not end the request handler."""
    assert parse_ticket("t1." + text) is not None
    if not text.startswith("t1."):
        assert parse_ticket(text) is None


@pytest.mark.parametrize(
    "text",
    [
        "t1.",
        "t1.osu-1~abc.1",
        f"t1.{HOME}.1.2.3",
        f"t1.{HOME}.-1.2",
        f"t1.{HOME}.01.2",
        f"t1.{HOME}.1.\u0663",
        "t1.osu-1.1.2",
        f"t1.{HOME}.1." + "9" * MAX_SUBMISSION_ID_LENGTH,
    ],
)
def test_malformed_ticket_is_an_error_value(text: str) -> None:
    assert isinstance(parse_ticket(text), MalformedTicket)


@pytest.mark.parametrize(
    ("text", "now", "valid"),
    [
        (f"t1.{HOME}.0.10000", 10.0, True),
        (f"t1.{HOME}.0.10000", 40.0, True),
        (f"t1.{HOME}.0.10000", 40.1, False),
        (f"t1.{HOME}.0.10000", 9.0, False),
        (f"t1.{HOME}.1.10000", 10.0, False),
        ("t1.osu-2~18c0000000011223344.0.10000", 10.0, False),
    ],
)
def test_ticket_is_valid_for_its_issuer_in_time_only(
    text: str, now: float, valid: bool
) -> None:
    issuer = make_issuer()
    issuer.issue(10.0)
    ticket = parse_ticket(text)
    assert isinstance(ticket, Ticket)

    assert issuer.valid(ticket, now) is valid


@pytest.mark.parametrize("instance_id", ["", "a.b", "a~b", "x" * 49, "é"])
def test_invalid_instance_id_raises(instance_id: str) -> None:
    with pytest.raises(ValueError, match="instance_id"):
        new_incarnation(instance_id=instance_id, boot_ms=1, rng=random.Random(1))
