"""Splits a tenant's quota over the instances that serve it.

Load pattern: a tenant's callers connect to some instances and not to others.
Without a split by demand each instance enforces an equal part, and a tenant whose
callers all connect to one of eight instances gets an eighth of its quota.

Grounds: max-min fair allocation (water-filling). Each instance gets its demand up
to a common level, and quota without demand is added in equal parts, so the parts
computed from one view always add up to the quota. Views of the demand differ
between instances while it changes, so a part grows by at most ``MAX_GROWTH`` of the
quota per step but shrinks at once. With views one step apart, the sum stays within
``1 + instances * MAX_GROWTH`` times the quota.
"""

from collections.abc import Mapping

MAX_GROWTH = 0.1
"""Largest growth of an instance's part per step, as a ratio of the quota."""


def split_quota(
    *, quota_slots: float, demand_by_instance: Mapping[str, int]
) -> Mapping[str, float]:
    """Return each instance's part of a quota, in slots.

    :param quota_slots: the whole quota, in slots.
    :param demand_by_instance: number of running and queued tasks of the tenant at
        each instance.
    :returns: the parts; they add up to the quota.
    """
    parts_by_instance: dict[str, float] = {}
    left_slots = quota_slots
    left = len(demand_by_instance)
    for instance, demand in sorted(
        demand_by_instance.items(), key=lambda item: (item[1], item[0])
    ):
        part = min(float(demand), left_slots / left)
        parts_by_instance[instance] = part
        left_slots -= part
        left -= 1
    headroom = left_slots / len(demand_by_instance) if demand_by_instance else 0.0
    return {name: part + headroom for name, part in parts_by_instance.items()}


def next_quota_part(
    *,
    quota_slots: float,
    instance_id: str,
    demand_by_instance: Mapping[str, int],
    current_slots: float,
) -> float:
    """Return an instance's own part after one step, in slots.

    :param quota_slots: the whole quota, in slots.
    :param instance_id: this instance; a key of ``demand_by_instance``.
    :param demand_by_instance: number of running and queued tasks of the tenant at
        each instance, as last reported.
    :param current_slots: the present part, in slots; 0 on the first step.
    """
    parts_by_instance = split_quota(
        quota_slots=quota_slots, demand_by_instance=demand_by_instance
    )
    new_part = parts_by_instance[instance_id]
    return min(new_part, current_slots + MAX_GROWTH * quota_slots)
