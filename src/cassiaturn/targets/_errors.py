"""Why a target could not be asked."""

from dataclasses import dataclass
from enum import Enum


class TargetProblem(Enum):
    """What went wrong with a call to a target."""

    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetError:
    """The outcome of a call to a target that gave no answer.

    Whether the target acted on the call is unknown.
    """

    problem: TargetProblem
    """What went wrong."""

    detail: str
    """One sentence for people."""
