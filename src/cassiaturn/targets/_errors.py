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
    """The reason why a call to a target got no reply.

    The target may or may not have carried out the call.
    """

    problem: TargetProblem
    """Kind of failure."""

    detail: str
    """Description for log lines."""
