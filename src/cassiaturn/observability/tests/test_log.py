import io
import json
import logging
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaturn.entities import Outcome
from cassiaturn.observability import (
    Event,
    configure_logging,
    format_event,
    format_value,
    log_event,
)

PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ "]*)(?: |$)')


def parse(line: str) -> dict[str, str]:
    pairs = PAIR.findall(line)
    values_by_key = {
        key: json.loads(value) if value.startswith('"') else value
        for key, value in pairs
    }
    assert len(values_by_key) == len(pairs)
    return values_by_key


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (None, "none"),
        (True, "true"),
        (3, "3"),
        (0.25, "0.25"),
        (1234567.891, "1.23457e+06"),
        (Outcome.NOT_RUN, "not_run"),
        ("osu-1", "osu-1"),
        ("", '""'),
        ("two words", '"two words"'),
        ("a=b", '"a=b"'),
        ('say "no"', '"say \\"no\\""'),
        ("line\nbreak", '"line\\nbreak"'),
        ("line\u2028break", '"line\\u2028break"'),
        ("Ségou", "Ségou"),
    ],
)
def test_values_are_quoted_where_they_must_be(value: object, text: str) -> None:
    assert format_value(value) == text


@settings(deadline=None, derandomize=True)
@given(value=st.text(), other=st.text())
def test_any_text_stays_one_line_and_reads_back(value: str, other: str) -> None:
    line = format_event(Event.PEER_LOST, value=value, other=other)
    assert len(line.splitlines()) == 1
    assert parse(line) == {
        "level": "warning",
        "event": "peer_lost",
        "value": value,
        "other": other,
    }


def test_one_line_an_event_reaches_the_stream() -> None:
    stream = io.StringIO()
    output = configure_logging(stream=stream)
    try:
        log_event(Event.TARGET_LOST, target_id="runner-1", detail="{reset}\nby peer")
        log_event(Event.INSTANCE_READY)
    finally:
        output.close()
    first, second = stream.getvalue().splitlines()
    assert parse(first)["detail"] == "{reset}\nby peer"
    assert re.match(r"time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z level=", first)
    assert second.endswith("level=info event=instance_ready")


def test_a_library_that_warns_gets_a_line_of_its_own() -> None:
    stream = io.StringIO()
    output = configure_logging(stream=stream)
    try:
        logging.getLogger("some.library").warning("no answer from %s", "a\nb")
    finally:
        output.close()
    logging.getLogger("some.library").warning("not shown any more")
    (line,) = stream.getvalue().splitlines()
    pairs = parse(line)
    assert pairs["event"] == "library_message"
    assert pairs["logger"] == "some.library"
    assert pairs["detail"] == "no answer from a\nb"


def test_names_are_unique_and_follow_the_members() -> None:
    for event in Event:
        assert event.kind.name == event.name.lower()
        assert event.kind.meaning.endswith(".")
