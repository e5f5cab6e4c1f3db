"""Lines of the log, read back."""

import json
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')

_TIME = re.compile(r"time=(\S+)")

_NOBODY = "-"


@dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """One event of one process."""

    at_s: float
    """When, in seconds since 1970, by the process's own clock."""

    process: str
    """Which process wrote it: the last word before the time, or the file's name."""

    event: str
    """Name of the event."""

    fields: Mapping[str, str]
    """The other pairs."""

    text: str
    """The line as it stands, from its time on."""

    def number(self, name: str) -> float | None:
        """Return a field as a number; None if it is missing or none."""
        try:
            return float(self.fields[name])
        except (KeyError, ValueError):
            return None


def parse_line(text: str, process: str = _NOBODY) -> Line | None:
    """Read one line; None if it holds no event.

    :param text: the line; what stands before ``time=`` was added by whoever collected
        the logs, and its last word names the process.
    :param process: who wrote it, where the line does not tell.
    """
    found = _TIME.search(text)
    if found is None:
        return None
    try:
        at_s = datetime.fromisoformat(found.group(1).replace("Z", "+00:00")).timestamp()
    except ValueError:
        return None
    before = text[: found.start()].split()
    rest = text[found.start() :].rstrip()
    fields = {name: _unquoted(value) for name, value in _PAIR.findall(rest)}
    del fields["time"]
    event = fields.pop("event", "")
    if not event:
        return None
    return Line(
        at_s=at_s,
        process=before[-1] if before else process,
        event=event,
        fields=fields,
        text=rest,
    )


def read_lines(texts: Iterable[str], process: str = _NOBODY) -> Iterator[Line]:
    """Read every line that holds an event."""
    for text in texts:
        line = parse_line(text, process)
        if line is not None:
            yield line


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
