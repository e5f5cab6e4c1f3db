"""What an operator's schema declares about a request."""

from dataclasses import dataclass
from enum import IntEnum

from cassiaturn.entities._resources import Resources
from cassiaturn.v1 import options_pb2 as pb


class RequestClass(IntEnum):
    """How soon a request matters; a lower value goes first."""

    URGENT = pb.REQUEST_CLASS_URGENT
    NORMAL = pb.REQUEST_CLASS_NORMAL
    BATCH = pb.REQUEST_CLASS_BATCH


@dataclass(frozen=True, slots=True, kw_only=True)
class Method:
    """A request that targets serve, with its declared options."""

    name: str
    """Full name, ``package.Service/Method``."""

    repeatable: bool
    """Whether a task may run again once an earlier run is over."""

    request_class: RequestClass
    """How soon it matters."""

    expected_run_ms: int
    """Declared run time of a task, often far off."""

    deadline_ms: int
    """Default deadline of a submission, from its acceptance."""

    resources: Resources
    """What one task takes of a worker."""
