"""Callers' client: submissions that stay idempotent when hosts fail."""

from cassiaturn.client._client import Client
from cassiaturn.client._metadata import (
    CALLER_KEY,
    OUTCOME_KEY,
    SUBMISSION_KEY,
    TENANT_KEY,
)
from cassiaturn.client._settings import ClientSettings, Ticket

__all__ = [
    "CALLER_KEY",
    "Client",
    "ClientSettings",
    "OUTCOME_KEY",
    "SUBMISSION_KEY",
    "TENANT_KEY",
    "Ticket",
]
