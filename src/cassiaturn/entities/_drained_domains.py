"""Failure domains that operators drain."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainRequest:
    """An operator's request to start nothing on the targets of a failure domain."""

    failure_domain: str
    """The failure domain; its targets may appear later."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainedDomains:
    """The failure domains whose targets get no start, at one version."""

    version: int
    """Version of the operators' rows at which this held; a later one replaces it."""

    failure_domains: frozenset[str] = frozenset()
    """The drained failure domains."""
