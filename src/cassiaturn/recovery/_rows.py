"""Rows of the table service that record the successor of an incarnation."""

from dataclasses import dataclass

TAKEOVER_PREFIX = "takeover/"
"""Prefix of the keys of takeover rows."""


def takeover_key(incarnation: str) -> str:
    """Return the key of the row that names the successor of an incarnation."""
    return f"{TAKEOVER_PREFIX}{incarnation}"


@dataclass(frozen=True, slots=True, kw_only=True)
class TakeoverRow:
    """A takeover; inserted once and never changed, so there is only one successor."""

    dead: str
    """Incarnation that is taken over."""

    successor: str
    """Incarnation that alone may decide on its submissions."""

    token: str
    """Identifies the attempt that wrote the row, so that its author recognizes it
    after a lost answer."""

    @property
    def key(self) -> str:
        """Key of the row."""
        return takeover_key(self.dead)
