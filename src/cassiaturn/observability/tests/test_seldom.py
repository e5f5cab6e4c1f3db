"""Lines about what comes again and again."""

import io

import pytest

from cassiaturn.observability import Event, SeldomLog, configure_logging
from cassiaturn.observability._seldom import MOST_LINES_PER_S, REPEAT_S


@pytest.mark.parametrize("keys", [1, 10_000])
def test_a_hostile_writer_costs_few_lines(keys: int) -> None:
    """An entry that cannot be read changes a thousand times a second for a minute."""
    now = [0.0]
    stream = io.StringIO()
    output = configure_logging(stream=stream)
    seldom = SeldomLog(clock=lambda: now[0])
    for turn in range(60_000):
        now[0] = turn / 1000
        seldom.log(Event.ENTRY_MALFORMED, key=f"i-{turn % keys}")
    output.close()
    lines = stream.getvalue().splitlines()
    assert len(lines) <= 60 * MOST_LINES_PER_S + 1
    if keys == 1:
        assert len(lines) == 60 / REPEAT_S
    assert "left_out=0" in lines[0]
    assert "left_out=0" not in lines[1]
