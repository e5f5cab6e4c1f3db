"""Callers' client: submissions that stay idempotent when hosts fail."""

from cassiaturn.client._client import Client, ClientSettings, Ticket
from cassiaturn.client._metadata import (
    CALLER_KEY,
    OUTCOME_KEY,
    SUBMISSION_KEY,
    TENANT_KEY,
)

__all__ = [
    "CALLER_KEY",
    "Client",
    "ClientSettings",
    "OUTCOME_KEY",
    "SUBMISSION_KEY",
    "TENANT_KEY",
    "Ticket",
]
