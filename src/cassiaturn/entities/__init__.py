"""Value types that all packages of the dispatcher share."""

from typing import TYPE_CHECKING

from cassiaturn._lazy import lazy_exports
from cassiaturn.entities._address import Address
from cassiaturn.entities._drained_domains import DrainedDomains, DrainRequest
from cassiaturn.entities._resources import Resources
from cassiaturn.entities._task import TaskKey
from cassiaturn.entities._workload import (
    AdvicePolicy,
    EndedRun,
    JobRequest,
    JobStatus,
    LeaseReport,
    RequestLimits,
    Route,
    RoutingTable,
    RunEnd,
    RunningTask,
    Schedule,
    Service,
    StartAnswer,
    TargetReport,
    TaskGroup,
    TaskRef,
    Ticket,
)

if TYPE_CHECKING:
    from cassiaturn.entities._answer import Answer, Outcome, Ran, Reason
    from cassiaturn.entities._method import Method, RequestClass
    from cassiaturn.entities._run import Refusal, RunStatus
    from cassiaturn.entities._schema import Schema, SchemaError

__getattr__ = lazy_exports(
    __name__,
    {
        "Answer": "_answer",
        "Method": "_method",
        "Outcome": "_answer",
        "Ran": "_answer",
        "Reason": "_answer",
        "Refusal": "_run",
        "RequestClass": "_method",
        "RunStatus": "_run",
        "Schema": "_schema",
        "SchemaError": "_schema",
    },
)

__all__ = [
    "Address",
    "AdvicePolicy",
    "Answer",
    "DrainRequest",
    "DrainedDomains",
    "EndedRun",
    "JobRequest",
    "JobStatus",
    "LeaseReport",
    "Method",
    "Outcome",
    "Ran",
    "Reason",
    "Refusal",
    "RequestClass",
    "RequestLimits",
    "Resources",
    "Route",
    "RoutingTable",
    "RunEnd",
    "RunStatus",
    "RunningTask",
    "Schedule",
    "Schema",
    "SchemaError",
    "Service",
    "StartAnswer",
    "TargetReport",
    "TaskGroup",
    "TaskKey",
    "TaskRef",
    "Ticket",
]
