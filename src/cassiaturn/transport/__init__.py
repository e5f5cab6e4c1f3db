"""Batching of frames on long-lived streams, and the server of both ends."""

from cassiaturn.transport._accept_queue import (
    WaitingConnection,
    spread_arrivals,
    take_waiting,
)
from cassiaturn.transport._cancellation import run_apart
from cassiaturn.transport._grpc_server import ClosingServer
from cassiaturn.transport._outbox import Outbox
from cassiaturn.transport._patience import answer_timeout, sleep_awake

__all__ = [
    "ClosingServer",
    "Outbox",
    "WaitingConnection",
    "answer_timeout",
    "run_apart",
    "sleep_awake",
    "spread_arrivals",
    "take_waiting",
]
