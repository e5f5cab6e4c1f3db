"""Values that every part of the dispatcher shares."""

from cassiaturn.entities._address import Address
from cassiaturn.entities._answer import Answer, Outcome, Ran, Reason
from cassiaturn.entities._method import Method, RequestClass, Resources
from cassiaturn.entities._run import Refusal, RunStatus
from cassiaturn.entities._schema import Schema, SchemaError
from cassiaturn.entities._task import TaskKey

__all__ = [
    "Address",
    "Answer",
    "Method",
    "Outcome",
    "Ran",
    "Reason",
    "Refusal",
    "RequestClass",
    "Resources",
    "RunStatus",
    "Schema",
    "SchemaError",
    "TaskKey",
]
