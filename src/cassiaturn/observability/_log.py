"""One line of key=value pairs for each event."""

import json
import logging
import sys
from collections.abc import Mapping
from enum import Enum
from typing import TextIO

import logbook

from cassiaturn.observability._bounded import BoundedOutput
from cassiaturn.observability._event import Event

ORDINARY_EVENTS = frozenset({Event.JOB_QUEUED, Event.JOB_STARTED})
"""Events of which :class:`BoundedOutput` drops lines first, whatever their fields."""

ORDINARY_VERDICT = "completed"
"""Value of the field ``verdict`` in further lines that it drops first."""

FLOAT_DIGITS = 6
"""Significant digits of a float in a line."""

_QUOTED_CHARACTERS = frozenset(" \"'=\\")

_logger = logbook.Logger("cassiaturn")  # type: ignore[no-untyped-call]


def log_event(event: Event, **fields: object) -> None:
    """Write one line for an event.

    :param event: what happened; its level decides whether the line is shown.
    :param fields: what identifies it, such as ``target_id``; written in order.
    """
    if _outputs and _outputs[-1].skips(event, fields):
        return
    line = format_event(event, **fields)
    _logger.log(event.kind.level, line)  # type: ignore[no-untyped-call]


def format_event(event: Event, **fields: object) -> str:
    """Return the line of an event, without its time.

    :param event: what happened.
    :param fields: what identifies it.
    """
    kind = event.kind
    pairs = [f"level={kind.level.name.lower()}", f"event={kind.name}"]
    pairs.extend(f"{key}={format_value(value)}" for key, value in fields.items())
    return " ".join(pairs)


def format_value(value: object) -> str:
    """Return a value as it stands in a line, quoted where it must be.

    A quoted value is a JSON string, so no value can end its line or look like
    a further pair: a caller chooses some of them.

    :param value: anything; enum members appear by name in lower case.
    """
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, Enum):
        return value.name.lower()
    if isinstance(value, float):
        return f"{value:.{FLOAT_DIGITS}g}"
    text = str(value)
    if not text or not text.isprintable() or not _QUOTED_CHARACTERS.isdisjoint(text):
        return json.dumps(text)
    return text


class _LibraryHandler(logging.Handler):
    """Makes an event of what a library logs with the standard library."""

    def emit(self, record: logging.LogRecord) -> None:
        log_event(Event.LIBRARY_MESSAGE, logger=record.name, detail=record.getMessage())


class LogOutput:
    """Where the events of this process go, until closed."""

    __slots__ = ("_bounded", "_handler", "_library_handler")

    def __init__(self, *, stream: TextIO | BoundedOutput, debug: bool) -> None:
        """Send every event from now on to a stream.

        :param stream: where the lines go.
        :param debug: whether events of level debug are shown too.
        """
        self._handler = logbook.StreamHandler(  # type: ignore[no-untyped-call]
            stream,
            level=logbook.DEBUG if debug else logbook.INFO,
        )
        self._handler.formatter = _format_record
        self._bounded = stream if isinstance(stream, BoundedOutput) else None
        self._library_handler = _LibraryHandler(logging.WARNING)
        logging.getLogger().addHandler(self._library_handler)
        self._handler.push_application()  # type: ignore[no-untyped-call]
        _outputs.append(self)

    def skips(self, event: Event, fields: Mapping[str, object]) -> bool:
        """Return whether a line would not be written, and count it if it is dropped.

        :param event: what happened.
        :param fields: what identifies it.
        """
        if event.kind.level < self._handler.level:
            return True
        if self._bounded is None:
            return False
        return self._bounded.drop_if_full(is_ordinary=_is_ordinary(event, fields))

    def close(self) -> None:
        """Stop sending events there."""
        _outputs.remove(self)
        logging.getLogger().removeHandler(self._library_handler)
        self._handler.pop_application()  # type: ignore[no-untyped-call]


_outputs: list[LogOutput] = []
"""The open outputs; events go to the last one."""


def _is_ordinary(event: Event, fields: Mapping[str, object]) -> bool:
    if event in ORDINARY_EVENTS:
        return True
    verdict = fields.get("verdict")
    return verdict is not None and format_value(verdict) == ORDINARY_VERDICT


def _format_record(record: logbook.LogRecord, _: logbook.Handler) -> str:
    # A format string with strftime codes takes 20 times as long.
    moment = record.time.isoformat(timespec="microseconds")  # type: ignore[union-attr]
    return f"time={moment}Z {record.message}"


def configure_logging(
    *, stream: TextIO | BoundedOutput | None = None, debug: bool = False
) -> LogOutput:
    """Send the events of this process to a stream, with times in UTC.

    :param stream: where the lines go; standard error when not given.
    :param debug: whether events of level debug are shown too.
    """
    logbook.set_datetime_format("utc")  # type: ignore[no-untyped-call]
    return LogOutput(stream=stream or sys.stderr, debug=debug)
