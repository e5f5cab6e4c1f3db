"""Scheduling decisions for targets whose workers several tasks share.

Covers a leader's job queue, its choice of targets and what it learns from runs. The
functions use no network and no clock. The corresponding decisions of the other
deployment, which counts slots and tenants, are in `cassiaturn.policy`.
"""

from cassiaturn.sharing._cpu_headroom import CpuHeadroom
from cassiaturn.sharing._cpu_load import (
    SAMPLE_PERIOD_S,
    CpuLoad,
    is_cpu_full,
    is_unfit,
    relieves_cpu,
    relieves_link,
)
from cassiaturn.sharing._deadlines import Deadlines, job_deadlines, longest_chain_s
from cassiaturn.sharing._due_order import (
    Lateness,
    OrderKey,
    lateness_changes,
    order_key,
    spread_retry_after,
)
from cassiaturn.sharing._estimate_summary import (
    Estimate,
    EstimateKey,
    EstimateKind,
    EstimateSummary,
    Learned,
)
from cassiaturn.sharing._expected_runs import ExpectedRuns
from cassiaturn.sharing._failed_target import failed_target_pause_s
from cassiaturn.sharing._feasibility import Progress, latest_start
from cassiaturn.sharing._forecast_error import ForecastError
from cassiaturn.sharing._job_queue import JobQueue, queue_key
from cassiaturn.sharing._leader_fitness import FitnessOrder, FitnessRank, HostCapacity
from cassiaturn.sharing._link_capacity import should_hand_over
from cassiaturn.sharing._packing import GroupKey, SharedTarget, choose_shared_target
from cassiaturn.sharing._remote_racks import remote_rack_factor
from cassiaturn.sharing._shedding import LoadShedder, is_shed
from cassiaturn.sharing._speed_estimate import (
    SpeedEffect,
    SpeedEstimate,
    needs_fast_target,
    own_effect,
)
from cassiaturn.sharing._speed_model import SpeedModel
from cassiaturn.sharing._start_backlog import StartBacklog
from cassiaturn.sharing._start_demand import (
    StartDemand,
    is_in_shed_share,
    shares_by_priority,
)
from cassiaturn.sharing._start_forecast import QueuedAhead, RoomForecast
from cassiaturn.sharing._start_rate import StartRate
from cassiaturn.sharing._stuck_job import stuck_job_deadline
from cassiaturn.sharing._target_index import TargetIndex
from cassiaturn.sharing._target_resources import TargetResources
from cassiaturn.sharing._transit_delay import TransitDelay

__all__ = [
    "SAMPLE_PERIOD_S",
    "CpuHeadroom",
    "CpuLoad",
    "Deadlines",
    "Estimate",
    "EstimateKey",
    "EstimateKind",
    "EstimateSummary",
    "ExpectedRuns",
    "FitnessOrder",
    "FitnessRank",
    "ForecastError",
    "GroupKey",
    "HostCapacity",
    "JobQueue",
    "Lateness",
    "Learned",
    "LoadShedder",
    "OrderKey",
    "Progress",
    "QueuedAhead",
    "RoomForecast",
    "SharedTarget",
    "SpeedEffect",
    "SpeedEstimate",
    "SpeedModel",
    "StartBacklog",
    "StartDemand",
    "StartRate",
    "TargetIndex",
    "TargetResources",
    "TransitDelay",
    "choose_shared_target",
    "failed_target_pause_s",
    "is_cpu_full",
    "is_in_shed_share",
    "is_shed",
    "is_unfit",
    "job_deadlines",
    "lateness_changes",
    "latest_start",
    "longest_chain_s",
    "needs_fast_target",
    "order_key",
    "own_effect",
    "queue_key",
    "relieves_cpu",
    "relieves_link",
    "remote_rack_factor",
    "shares_by_priority",
    "should_hand_over",
    "spread_retry_after",
    "stuck_job_deadline",
]
