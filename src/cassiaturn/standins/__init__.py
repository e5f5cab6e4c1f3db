"""Small stand-ins for targets and the platform, with faults on request."""

from cassiaturn.entities import Refusal, RunStatus
from cassiaturn.standins._fault import RunnerFault
from cassiaturn.standins._journal import (
    Journal,
    JournalEntry,
    JournalEvent,
    read_journal,
)
from cassiaturn.standins._platform import PlatformStandIn
from cassiaturn.standins._platform_settings import PlatformFault, PlatformSettings
from cassiaturn.standins._replies import reply_to
from cassiaturn.standins._run_time import RunTime, Shape
from cassiaturn.standins._runner import RunnerStandIn
from cassiaturn.standins._runner_host import FaultRequest, RunnerHost
from cassiaturn.standins._runner_settings import RunnerHostSettings, RunnerSettings
from cassiaturn.standins._task_table import BegunTask, TaskTable

__all__ = [
    "BegunTask",
    "FaultRequest",
    "Journal",
    "JournalEntry",
    "JournalEvent",
    "PlatformFault",
    "PlatformSettings",
    "PlatformStandIn",
    "Refusal",
    "RunStatus",
    "RunTime",
    "RunnerFault",
    "RunnerHost",
    "RunnerHostSettings",
    "RunnerSettings",
    "RunnerStandIn",
    "Shape",
    "TaskTable",
    "read_journal",
    "reply_to",
]
