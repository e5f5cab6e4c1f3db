"""The tables of an instance and the systems that run over them.

Nothing here waits, reads a clock or opens a connection: the server, or a test,
passes events in and implements :class:`Ports`.
"""

from cassiaturn.engine._dispatch import dispatch, expected_wait_s
from cassiaturn.engine._intake import fingerprint, pending, submit
from cassiaturn.engine._peers import give_back_all, on_cancel, on_peer_gone, on_spilled
from cassiaturn.engine._ports import Ports
from cassiaturn.engine._quotas import share_quotas
from cassiaturn.engine._results import (
    on_refusal,
    on_result,
    on_spill_outcome,
    on_target_lost,
    on_welcome,
    take_back,
    take_ended,
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
    "give_back_all",
    "on_cancel",
    "on_peer_gone",
    "on_refusal",
    "on_result",
    "on_spill_outcome",
    "on_spilled",
    "on_target_lost",
    "on_welcome",
    "pending",
    "resend",
    "share_quotas",
    "submit",
    "supersede_all",
    "take_back",
    "take_ended",
    "tick",
]
