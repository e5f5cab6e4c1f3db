"""A place that a process listens at."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IP number and a port."""

    host: str
    """IP number."""

    port: int
    """TCP port, 1 to 65535."""

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
