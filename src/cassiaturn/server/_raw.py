"""Messages whose content passes through the dispatcher unread."""


class RawMessage:
    """A serialized message; grpclib's codec calls these two methods."""

    __slots__ = ("content",)

    def __init__(self, content: bytes = b"") -> None:
        """Carry serialized content."""
        self.content = content

    def SerializeToString(self) -> bytes:  # noqa: N802 - the codec's name
        """Return the content."""
        return self.content

    @classmethod
    def FromString(cls, content: bytes) -> "RawMessage":  # noqa: N802
        """Return a message of this content."""
        return cls(content)
