"""Rows of the table service that name the successor of an incarnation."""

from dataclasses import dataclass

TAKEOVER_PREFIX = "takeover/"
"""Keys of takeovers start so."""


def takeover_key(incarnation: str) -> str:
    """Return the key of the row that names the successor of an incarnation."""
    return f"{TAKEOVER_PREFIX}{incarnation}"


@dataclass(frozen=True, slots=True, kw_only=True)
class TakeoverRow:
    """A takeover; inserted once, never changed, so there is one successor."""

    dead: str
    """Incarnation that is succeeded."""

    successor: str
    """Incarnation that alone may decide for it."""

    token: str
    """Names the attempt that wrote the row, so that a lost answer is settled."""

    @property
    def key(self) -> str:
        """Key of the row."""
        return takeover_key(self.dead)
