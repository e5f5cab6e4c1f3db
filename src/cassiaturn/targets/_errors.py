"""Errors of calls to a target."""

from dataclasses import dataclass
from enum import Enum


class TargetProblem(Enum):
    """Kind of failure of a call to a target."""

    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetError:
    """A call to a target that got no reply.

    Whether the target acted on the call is unknown.
    """

    problem: TargetProblem
    """Kind of failure."""

    detail: str
    """Description for log lines."""
