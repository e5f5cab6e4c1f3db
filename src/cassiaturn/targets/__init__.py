"""Client side of the runner protocol: sessions with targets, and fencing."""

from cassiaturn.targets._backoff import Backoff
from cassiaturn.targets._errors import TargetError, TargetProblem
from cassiaturn.targets._fence import fence
from cassiaturn.targets._session import RunnerSession, SessionCallbacks

__all__ = [
    "Backoff",
    "RunnerSession",
    "SessionCallbacks",
    "TargetError",
    "TargetProblem",
    "fence",
]
