"""Statuses and refusal reasons that a target reports for task runs."""

from enum import IntEnum

from cassiaturn.v1 import runner_pb2 as pb


class RunStatus(IntEnum):
    """Whether a started task is still running, or how its run ended."""

    RUNNING = pb.TASK_STATUS_RUNNING
    DONE = pb.TASK_STATUS_DONE
    FAILED = pb.TASK_STATUS_FAILED
    CANCELLED = pb.TASK_STATUS_CANCELLED
    LEASE_LAPSED = pb.TASK_STATUS_LEASE_LAPSED


class Refusal(IntEnum):
    """Why a target refused to start a run; a refused start never runs later."""

    BUSY = pb.REFUSAL_REASON_BUSY
    LEAVING = pb.REFUSAL_REASON_LEAVING
    LATE = pb.REFUSAL_REASON_LATE
    FENCED = pb.REFUSAL_REASON_FENCED
    DUPLICATE = pb.REFUSAL_REASON_DUPLICATE
    UNSUPPORTED = pb.REFUSAL_REASON_UNSUPPORTED
