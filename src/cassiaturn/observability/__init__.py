"""What a process shows of itself: log lines, metrics and HTTP pages."""

from typing import TYPE_CHECKING

from cassiaturn._lazy import lazy_exports
from cassiaturn.observability._bounded import BoundedOutput
from cassiaturn.observability._event import Event, EventKind, Level
from cassiaturn.observability._fleet_metrics import EXPOSITION, FleetMetrics
from cassiaturn.observability._log import (
    LogOutput,
    configure_logging,
    format_event,
    format_value,
    log_event,
)
from cassiaturn.observability._seldom import SeldomLog

if TYPE_CHECKING:
    from cassiaturn.observability._http import HttpServer
    from cassiaturn.observability._metrics import (
        Direction,
        Metrics,
        RequestMetrics,
        StoreOperation,
        WastedMessage,
    )
    from cassiaturn.observability._status import (
        BreakerState,
        ConfigurationStatus,
        InstanceState,
        PeerStatus,
        QueueStatus,
        Ready,
        StatusDocument,
        StatusSource,
        TargetStatus,
        TenantStatus,
    )
    from cassiaturn.observability._table import ObservedTable

__getattr__ = lazy_exports(
    __name__,
    {
        "BreakerState": "_status",
        "ConfigurationStatus": "_status",
        "Direction": "_metrics",
        "HttpServer": "_http",
        "InstanceState": "_status",
        "Metrics": "_metrics",
        "ObservedTable": "_table",
        "PeerStatus": "_status",
        "QueueStatus": "_status",
        "Ready": "_status",
        "RequestMetrics": "_metrics",
        "StatusDocument": "_status",
        "StatusSource": "_status",
        "StoreOperation": "_metrics",
        "TargetStatus": "_status",
        "TenantStatus": "_status",
        "WastedMessage": "_metrics",
    },
)

__all__ = [
    "BoundedOutput",
    "BreakerState",
    "ConfigurationStatus",
    "Direction",
    "EXPOSITION",
    "Event",
    "EventKind",
    "FleetMetrics",
    "HttpServer",
    "InstanceState",
    "Level",
    "LogOutput",
    "Metrics",
    "ObservedTable",
    "PeerStatus",
    "QueueStatus",
    "Ready",
    "RequestMetrics",
    "SeldomLog",
    "StatusDocument",
    "StatusSource",
    "StoreOperation",
    "TargetStatus",
    "TenantStatus",
    "WastedMessage",
    "configure_logging",
    "format_event",
    "format_value",
    "log_event",
]
