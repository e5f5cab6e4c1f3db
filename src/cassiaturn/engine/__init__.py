"""Scheduling state of an instance and the functions that act on it.

The engine performs no I/O, never blocks and reads no clock: the server, or a test,
passes in events with their times and implements :class:`Ports`.

The home of a submission is the instance that accepts it and settles its answer. It
starts the tasks on the targets (back ends) that it holds, or spills them: it sends them
to a peer, another instance, which starts them on its own targets. An incarnation is one
process of an instance. Once a successor has taken over, targets fence the old
incarnation: they refuse its starts.
"""

from cassiaturn.engine._dispatch import dispatch, expected_wait_s
from cassiaturn.engine._intake import fingerprint, pending, submit
from cassiaturn.engine._peers import (
    on_cancel,
    on_peer_gone,
    on_spilled,
    return_peer_tasks,
)
from cassiaturn.engine._ports import Ports
from cassiaturn.engine._quotas import share_quotas
from cassiaturn.engine._results import (
    finish_spilled,
    on_refusal,
    on_result,
    on_spill_outcome,
    on_target_lost,
    on_welcome,
    reclaim_spilled,
)
from cassiaturn.engine._returns import resend
from cassiaturn.engine._settle import cancel, supersede_all
from cassiaturn.engine._state import State
from cassiaturn.engine._sweep import tick
from cassiaturn.engine._tables import (
    Counters,
    EngineSettings,
    Job,
    Submission,
    TaskRecord,
    TaskState,
    Tenant,
)

__all__ = [
    "Counters",
    "EngineSettings",
    "Job",
    "Ports",
    "State",
    "Submission",
    "TaskRecord",
    "TaskState",
    "Tenant",
    "cancel",
    "dispatch",
    "expected_wait_s",
    "fingerprint",
    "finish_spilled",
    "on_cancel",
    "on_peer_gone",
    "on_refusal",
    "on_result",
    "on_spill_outcome",
    "on_spilled",
    "on_target_lost",
    "on_welcome",
    "pending",
    "reclaim_spilled",
    "resend",
    "return_peer_tasks",
    "share_quotas",
    "submit",
    "supersede_all",
    "tick",
]
