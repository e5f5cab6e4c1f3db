"""Addresses as they are written in a file or on a command line."""

from ipaddress import ip_address
from typing import Annotated, Any
from urllib.parse import urlsplit

from pydantic_core.core_schema import no_info_plain_validator_function

from cassiaturn._core_models import Checked
from cassiaturn.entities import Address

ADDRESS_FORM = (
    "an IP number and a port from 0 to 65535, such as 10.0.1.4:7400 or [fd00::4]:7400"
)


def parse_address(text: str) -> Address:
    """Return the address that ``host:port`` names.

    :param text: for example ``10.0.1.4:7400``; host names are refused, since
        processes look none up.
    :raises ValueError: the text is no IP number with a port.
    """
    try:
        parts = urlsplit(f"//{text}")
        host, port = parts.hostname, parts.port
        if parts.netloc != text or "@" in text or host is None or port is None:
            raise ValueError(ADDRESS_FORM)
        return Address(host=str(ip_address(host)), port=port)
    except ValueError:
        raise ValueError(ADDRESS_FORM) from None


def _from_text(value: Any) -> Address:
    if isinstance(value, Address):
        return value
    if not isinstance(value, str):
        raise ValueError(ADDRESS_FORM)
    return parse_address(value)


AddressField = Annotated[
    Address, Checked(schema=no_info_plain_validator_function(_from_text))
]
"""An address that is written ``host:port`` in a file."""
