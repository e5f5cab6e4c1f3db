"""The address of a process, by IP number."""

from dataclasses import dataclass
from ipaddress import ip_address
from typing import Annotated, Any
from urllib.parse import urlsplit

from pydantic import BeforeValidator

ADDRESS_FORM = (
    "an IP number and a port from 0 to 65535, such as 10.0.1.4:7400 or [fd00::4]:7400"
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """Where a process listens or is reached; hosts are IP numbers, not names."""

    host: str
    """IP number, IPv4 or IPv6."""

    port: int
    """TCP port; 0 lets the system choose one to listen on."""

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address that ``host:port`` names.

        :param text: for example ``10.0.1.4:7400``.
        :raises ValueError: the text is no IP number with a port.
        """
        parts = urlsplit(f"//{text}")
        if str(parts.netloc) != text or parts.username is not None:
            raise ValueError(ADDRESS_FORM)
        if parts.hostname is None or parts.port is None:
            raise ValueError(ADDRESS_FORM)
        return cls(host=str(ip_address(parts.hostname)), port=parts.port)


def _from_text(value: Any) -> Address:
    if isinstance(value, Address):
        return value
    if not isinstance(value, str):
        raise ValueError(ADDRESS_FORM)
    try:
        return Address.parse(value)
    except ValueError:
        raise ValueError(ADDRESS_FORM) from None


AddressField = Annotated[Address, BeforeValidator(_from_text)]
"""An :class:`Address` that is written ``host:port`` in a file."""
