"""Serialized messages that the dispatcher passes on without decoding."""


class RawMessage:
    """A serialized message with the two methods that grpclib's codec calls."""

    __slots__ = ("content",)

    def __init__(self, content: bytes = b"") -> None:
        """Wrap serialized content."""
        self.content = content

    def SerializeToString(self) -> bytes:  # noqa: N802 - the codec's name
        """Return the content."""
        return self.content

    @classmethod
    def FromString(cls, content: bytes) -> "RawMessage":  # noqa: N802
        """Return a message that wraps this content."""
        return cls(content)
