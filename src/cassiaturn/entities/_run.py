"""What a target says of a start and of a run, by name."""

from enum import IntEnum

from cassiaturn.v1 import runner_pb2 as pb


class RunStatus(IntEnum):
    """Whether a begun task runs, or how it ended."""

    RUNNING = pb.TASK_STATUS_RUNNING
    DONE = pb.TASK_STATUS_DONE
    FAILED = pb.TASK_STATUS_FAILED
    CANCELLED = pb.TASK_STATUS_CANCELLED
    LEASE_LAPSED = pb.TASK_STATUS_LEASE_LAPSED


class Refusal(IntEnum):
    """Why a start was not begun and never will be."""

    BUSY = pb.REFUSAL_REASON_BUSY
    LEAVING = pb.REFUSAL_REASON_LEAVING
    LATE = pb.REFUSAL_REASON_LATE
    FENCED = pb.REFUSAL_REASON_FENCED
    DUPLICATE = pb.REFUSAL_REASON_DUPLICATE
    UNSUPPORTED = pb.REFUSAL_REASON_UNSUPPORTED
