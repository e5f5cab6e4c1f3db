"""Scheduling decisions under load.

The modules are pure: they use no network, no clock and no process.
"""

from cassiaturn.policy._admission import Admission, Admit, Refuse
from cassiaturn.policy._failure_pause import failure_pause_s
from cassiaturn.policy._fair_queue import FairQueue
from cassiaturn.policy._handover import choose_handover_peer
from cassiaturn.policy._health import HealthChange, TargetHealth
from cassiaturn.policy._load import AdmissionRequest, LoadView
from cassiaturn.policy._notices import FreeSlotNotices
from cassiaturn.policy._placement import PeerRow, Placement
from cassiaturn.policy._queued_task import QueuedTask
from cassiaturn.policy._quota import next_quota_part, split_quota
from cassiaturn.policy._retries import GiveUp, PreviousRun, Retry, RetryBudget
from cassiaturn.policy._settings import (
    AdmissionSettings,
    HealthSettings,
    OrderSettings,
    PlacementSettings,
    PolicySettings,
    RetrySettings,
)
from cassiaturn.policy._target_record import HealthState
from cassiaturn.policy._targets import TargetRow, choose_target

__all__ = [
    "Admission",
    "AdmissionRequest",
    "AdmissionSettings",
    "Admit",
    "FairQueue",
    "PreviousRun",
    "GiveUp",
    "HealthChange",
    "HealthSettings",
    "HealthState",
    "LoadView",
    "OrderSettings",
    "PeerRow",
    "Placement",
    "PlacementSettings",
    "PolicySettings",
    "QueuedTask",
    "Refuse",
    "Retry",
    "RetryBudget",
    "RetrySettings",
    "FreeSlotNotices",
    "TargetHealth",
    "TargetRow",
    "choose_handover_peer",
    "choose_target",
    "failure_pause_s",
    "next_quota_part",
    "split_quota",
]
