"""Client side of the runner protocol: sessions with targets, and fencing.

A target is a back end that runs tasks in a fixed number of slots; its runner is the
server there that accepts starts. The holder of a target is the dispatcher instance
that sends starts to it.
"""

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
