"""A tenant's quota, split over the instances that serve it.

Load pattern: a tenant's callers land on some instances and not on others.
Without a split by demand each instance enforces an equal part, and a tenant all
of whose callers sit on one of eight instances gets an eighth of its quota.

Grounds: water-filling. Each instance gets its demand up to an equal level, and
what nobody asks for is left on top in equal parts, so the parts of one view
always add up to the quota. Views differ while demand moves, so a part grows by
at most ``GROWTH`` of the quota a step, while it shrinks at once: with views one
step apart the sum stays within ``1 + instances * GROWTH`` of the quota.
"""

from collections.abc import Mapping

GROWTH = 0.1
"""Largest growth of an instance's part in one step, as a share of the quota."""


def split_quota(
    *, quota_slots: float, demand_by_instance: Mapping[str, int]
) -> Mapping[str, float]:
    """Return each instance's part of a quota, in slots.

    :param quota_slots: the whole quota, in slots.
    :param demand_by_instance: running and queued tasks of the tenant.
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
    :param instance_id: the instance itself; a key of the demand.
    :param demand_by_instance: running and queued tasks, as last reported.
    :param current_slots: the part in force; 0 on the first step.
    """
    parts_by_instance = split_quota(
        quota_slots=quota_slots, demand_by_instance=demand_by_instance
    )
    goal = parts_by_instance[instance_id]
    return min(goal, current_slots + GROWTH * quota_slots)
