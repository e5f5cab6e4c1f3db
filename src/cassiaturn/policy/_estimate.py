"""Estimates how long a submission would wait and run.

Grounds: the wait follows from Little's law and observed run times: queued work
divided by the slots that higher classes leave. It is capped by the tenant's own
backlog divided by its quota, because fair queueing lets no tenant wait behind
another's excess.
"""

import math
from dataclasses import dataclass

from cassiaturn.entities import RequestClass
from cassiaturn.policy._load import AdmissionRequest, LoadView
from cassiaturn.policy._service_rates import UsedSlots
from cassiaturn.policy._settings import AdmissionSettings

_LOWEST_CLASS = max(RequestClass)


@dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """Expected wait and run time of a submission if it were admitted now."""

    wait_s: float
    """Expected wait of the first task, in seconds."""

    job_s: float
    """Time from the first start to the last end under the present load, in
    seconds."""

    idle_job_s: float
    """The same with all slots free, in seconds."""

    is_over_quota: bool
    """Whether the tenant has more running and queued tasks than quota slots."""


def estimate_of(
    request: AdmissionRequest,
    load: LoadView,
    used: UsedSlots,
    settings: AdmissionSettings,
) -> Estimate:
    """Return the expected wait and run time of a submission.

    :param request: the submission.
    :param load: present load of the instance.
    :param used: slots that its class and higher classes were observed to use.
    :param settings: admission settings.
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
    min_share = settings.least_share_by_class.get(request.request_class, 1.0)
    available_slots = max(slots - used.by_higher_classes, min_share * slots)
    tenant_slots = (
        quota_slots * available_slots / slots if quota_slots > 0.0 else available_slots
    )
    wait_s = ahead_s / available_slots
    tenant_wait_s = load.tenant_queued * request.expected_run_s / tenant_slots
    work_s = request.tasks * request.expected_run_s
    if (
        quota_slots > 0.0
        and tenant_wait_s + work_s / tenant_slots < wait_s + work_s / available_slots
    ):
        wait_s = tenant_wait_s
        job_slots = tenant_slots
    else:
        job_slots = available_slots
    is_busy = (
        used.by_higher_classes + used.by_own_class >= settings.busy_share * load.slots
    )
    if is_over_quota and is_busy and request.request_class is not _LOWEST_CLASS:
        # Small jobs that arrive later overtake a large one, so under overload it
        # gets only the slots that they leave or its tenant's share. Counting on
        # all slots would admit jobs that are half done at their deadlines. The
        # lowest class is exempt: it fills all free slots, so it looks busy without
        # any overload.
        job_slots = max(available_slots - used.by_own_class, tenant_slots)
    return Estimate(
        wait_s=wait_s,
        job_s=max(idle_job_s, work_s / job_slots),
        idle_job_s=idle_job_s,
        is_over_quota=is_over_quota,
    )


def _work_ahead(request: AdmissionRequest, load: LoadView) -> float:
    """Return the queued work of this and higher classes, in seconds.

    :returns: 0 if a slot stays free once all of that work has started.
    """
    ahead = 0
    ahead_s = 0.0
    for request_class, queued in load.queued_by_class.items():
        if queued and request_class <= request.request_class:
            ahead += queued
            mean_s = load.mean_run_s_by_class.get(request_class, request.expected_run_s)
            ahead_s += queued * mean_s
    free = load.slots - load.busy + load.peers_free_slots
    return 0.0 if ahead < free else ahead_s
