"""The error raised when an invariant is broken."""


class InvariantError(RuntimeError):
    """A state that no sequence of events may reach; it stops the process.

    Raise it only where continuing could break a guarantee given to a caller, and
    never because of input from callers, peers, targets or the platform.
    """
