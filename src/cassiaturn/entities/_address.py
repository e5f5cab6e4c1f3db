"""The network address that a process listens on."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    """IP address."""

    port: int
    """TCP port, 1 to 65535."""

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
