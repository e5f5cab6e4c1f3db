"""The error of a broken invariant."""


class InvariantError(RuntimeError):
    """A state that no sequence of events may reach; the process stops on it.

    Raise it only where going on could break a promise to a caller. What callers,
    peers, targets or the platform send is never a reason for it.
    """
