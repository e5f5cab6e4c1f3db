"""Exit codes of every command."""

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended; the operators' page holds the same table."""

    OK = 0
    """Done; of a job: complete."""

    BROKEN_PROMISE = 1
    """A scenario broke a promise, or the program has a fault."""

    USAGE = 2
    """Options, a file or a request are wrong; nothing was done."""

    FAILED = 3
    """The job failed; its answer says what ran."""

    NOT_RUN = 4
    """Nothing of the job ran, and under this id nothing will."""

    UNKNOWN = 5
    """Nobody who could be reached can say what ran; ask again."""

    UNREACHABLE = 6
    """No instance or service answered, or an address cannot be listened at."""

    PENDING = 7
    """The job still runs."""

    CONFLICT = 8
    """Another operator's change won; look at it and try anew."""

    REFUSED = 9
    """The request came too late or is not possible; nothing was changed."""

    INVARIANT = 70
    """The instance found a fault of its own and stopped."""
