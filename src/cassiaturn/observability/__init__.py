"""What a process shows of itself: log lines, metrics and HTTP pages."""

from cassiaturn.observability._event import Event, EventKind, Level
from cassiaturn.observability._log import (
    LogOutput,
    configure_logging,
    format_event,
    format_value,
    log_event,
)
from cassiaturn.observability._metrics import (
    Direction,
    Metrics,
    RequestMetrics,
    StoreOperation,
    WastedMessage,
)

__all__ = [
    "Direction",
    "Event",
    "EventKind",
    "Level",
    "LogOutput",
    "Metrics",
    "RequestMetrics",
    "StoreOperation",
    "WastedMessage",
    "configure_logging",
    "format_event",
    "format_value",
    "log_event",
]
