"""Methods that an operator's schema declares, with their options."""

from dataclasses import dataclass
from enum import IntEnum

from cassiaturn.entities._resources import Resources
from cassiaturn.v1 import options_pb2 as pb


class RequestClass(IntEnum):
    """Priority class of a request; lower values are scheduled first."""

    URGENT = pb.REQUEST_CLASS_URGENT
    NORMAL = pb.REQUEST_CLASS_NORMAL
    BATCH = pb.REQUEST_CLASS_BATCH


@dataclass(frozen=True, slots=True, kw_only=True)
class Method:
    """An RPC method that targets serve, with its declared options."""

    name: str
    """Full name, ``package.Service/Method``."""

    repeatable: bool
    """Whether a task may run again after an earlier run is over."""

    request_class: RequestClass
    """Priority class of the method's tasks."""

    expected_run_ms: int
    """Declared run time of a task, in milliseconds; often inaccurate."""

    deadline_ms: int
    """Default deadline of a submission, in milliseconds from its acceptance."""

    resources: Resources
    """Resources that one task needs on a worker."""
