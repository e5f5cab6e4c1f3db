"""What a process shows of itself: log lines, metrics and HTTP pages."""

from cassiaturn.observability._event import Event, EventKind, Level
from cassiaturn.observability._log import (
    LogOutput,
    configure_logging,
    format_event,
    format_value,
    log_event,
)

__all__ = [
    "Event",
    "EventKind",
    "Level",
    "LogOutput",
    "configure_logging",
    "format_event",
    "format_value",
    "log_event",
]
