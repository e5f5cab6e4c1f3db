"""Scheduling state of a leader, and the functions that change it.

Load pattern: jobs of many short tasks, each of which needs part of a worker, at a rate
at which nearly every worker is in use.

Nothing here blocks, reads a clock or opens a connection: the process, or a test, passes
events in and implements :class:`Ports`.
"""

from cassiaturn.workload._backlog import backlog_s, usable_targets
from cassiaturn.workload._directory import (
    on_target_gone,
    on_target_lost,
    on_target_report,
    on_target_restarted,
    on_target_silent,
    on_target_unanswered,
)
from cassiaturn.workload._dispatch import (
    MAX_STARTS_PER_TURN,
    dispatch,
    holds_inherited_jobs,
)
from cassiaturn.workload._drains import on_drained_domains
from cassiaturn.workload._ends import note_done
from cassiaturn.workload._estimates import list_estimates, restore_estimates
from cassiaturn.workload._forecast import margin_of
from cassiaturn.workload._intake import (
    Submission,
    cancel,
    cancel_by_caller,
    cancelled_jobs,
    confirm,
    on_member_gone,
    submit,
)
from cassiaturn.workload._ports import Ports, StartOrder
from cassiaturn.workload._reports import (
    on_lease_report,
    on_start_answer,
    on_stop_answer,
)
from cassiaturn.workload._settings import (
    CANCEL_RETENTION_S,
    CLOCK_DRIFT_RATIO,
    INHERITED_HOLD_S,
    WorkloadSettings,
    settings_for_lease,
)
from cassiaturn.workload._tables import (
    CANCELLED,
    Counters,
    Job,
    Outcome,
    Run,
    RunState,
    StartCounts,
    Tables,
    Target,
    Task,
    Verdict,
)
from cassiaturn.workload._tick import (
    end_unstarted,
    has_tight_runs,
    next_check,
    tick,
)
from cassiaturn.workload._unsupported_features import unsupported_feature

__all__ = [
    "CANCELLED",
    "CANCEL_RETENTION_S",
    "CLOCK_DRIFT_RATIO",
    "INHERITED_HOLD_S",
    "Counters",
    "StartCounts",
    "Job",
    "MAX_STARTS_PER_TURN",
    "Outcome",
    "Ports",
    "Run",
    "RunState",
    "StartOrder",
    "Submission",
    "Tables",
    "Target",
    "Task",
    "Verdict",
    "WorkloadSettings",
    "backlog_s",
    "cancel",
    "cancel_by_caller",
    "cancelled_jobs",
    "confirm",
    "dispatch",
    "end_unstarted",
    "has_tight_runs",
    "list_estimates",
    "holds_inherited_jobs",
    "note_done",
    "margin_of",
    "next_check",
    "on_drained_domains",
    "on_lease_report",
    "on_member_gone",
    "on_start_answer",
    "on_stop_answer",
    "on_target_report",
    "on_target_restarted",
    "on_target_gone",
    "on_target_lost",
    "on_target_silent",
    "on_target_unanswered",
    "restore_estimates",
    "submit",
    "settings_for_lease",
    "tick",
    "unsupported_feature",
    "usable_targets",
]
