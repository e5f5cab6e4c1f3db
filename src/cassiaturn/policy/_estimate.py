"""How long a submission would wait and run.

Grounds: the wait is Little's law over observed run times (queued work over the
slots that higher classes leave), capped by the tenant's own backlog over its
quota, since fair order lets no tenant wait behind another's excess.
"""

import math
from dataclasses import dataclass

from cassiaturn.entities import RequestClass
from cassiaturn.policy._load import AdmissionRequest, LoadView
from cassiaturn.policy._service_rates import UsedSlots
from cassiaturn.policy._settings import AdmissionSettings

_LOWEST = max(RequestClass)


@dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """What a submission would meet if it were admitted now."""

    wait_s: float
    """Expected wait of the first task, in seconds."""

    job_s: float
    """Time from the first start to the last end under this load, in seconds."""

    idle_job_s: float
    """The same on slots that are all free, in seconds."""

    is_over_quota: bool
    """Whether the tenant has more running and queued than its quota serves."""


def estimate_of(
    request: AdmissionRequest,
    load: LoadView,
    used: UsedSlots,
    settings: AdmissionSettings,
) -> Estimate:
    """Return the expected wait and length of a submission.

    :param request: the submission.
    :param load: the instance's load.
    :param used: slots that its class and higher ones were seen to use.
    :param settings: the tunables.
    """
    slots = load.slots + load.peers_free_slots
    if slots <= 0:
        return Estimate(wait_s=math.inf, job_s=0.0, idle_job_s=0.0, is_over_quota=False)
    quota_slots = min(load.tenant_quota_slots, float(slots))
    is_over_quota = 0.0 < quota_slots < load.tenant_running + load.tenant_queued
    rounds = -(-request.tasks // slots)
    idle_job_s = rounds * request.expected_run_s
    ahead_s = _work_ahead(request, load)
    if ahead_s == 0.0:
        return Estimate(
            wait_s=0.0,
            job_s=idle_job_s,
            idle_job_s=idle_job_s,
            is_over_quota=is_over_quota,
        )
    least_share = settings.least_share_by_class.get(request.request_class, 1.0)
    left = max(slots - used.above, least_share * slots)
    own_slots = quota_slots * left / slots if quota_slots > 0.0 else left
    wait_s = ahead_s / left
    own_wait_s = load.tenant_queued * request.expected_run_s / own_slots
    work_s = request.tasks * request.expected_run_s
    if quota_slots > 0.0 and own_wait_s + work_s / own_slots < wait_s + work_s / left:
        wait_s = own_wait_s
        left_for_job = own_slots
    else:
        left_for_job = left
    is_busy = used.above + used.own >= settings.busy_share * load.slots
    if is_over_quota and is_busy and request.request_class is not _LOWEST:
        # Small jobs that come later overtake a large one, so that under overload
        # it gets what they leave or its tenant's share. Counting on all slots
        # admits jobs that fail half done at their deadlines. The lowest class is
        # left out: filling whatever is free, it is busy without any overload.
        left_for_job = max(left - used.own, own_slots)
    return Estimate(
        wait_s=wait_s,
        job_s=max(idle_job_s, work_s / left_for_job),
        idle_job_s=idle_job_s,
        is_over_quota=is_over_quota,
    )


def _work_ahead(request: AdmissionRequest, load: LoadView) -> float:
    """Return the queued work that goes first, in seconds; 0 if all of it starts."""
    ahead = 0
    ahead_s = 0.0
    for request_class, queued in load.queued_by_class.items():
        if queued and request_class <= request.request_class:
            ahead += queued
            mean_s = load.mean_run_s_by_class.get(request_class, request.expected_run_s)
            ahead_s += queued * mean_s
    free = load.slots - load.busy + load.peers_free_slots
    return 0.0 if ahead < free else ahead_s
