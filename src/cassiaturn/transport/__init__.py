"""Batching of frames on long-lived streams, and the server of both ends."""

from cassiaturn.transport._cancellation import run_apart
from cassiaturn.transport._grpc_server import ClosingServer
from cassiaturn.transport._outbox import Outbox
from cassiaturn.transport._patience import answer_timeout, sleep_awake

__all__ = ["ClosingServer", "Outbox", "answer_timeout", "run_apart", "sleep_awake"]
