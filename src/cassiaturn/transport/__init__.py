"""Batching of frames on long-lived streams."""

from cassiaturn.transport._outbox import Outbox

__all__ = ["Outbox"]
