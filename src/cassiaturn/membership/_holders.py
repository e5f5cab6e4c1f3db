"""Assigns targets to instances by bounded rendezvous hashing.

Load pattern: two or three instances and six to eight targets per failure domain.
With plain rendezvous hashing, one instance often gets twice its share there, and its
queue grows while others have free slots. Each instance is therefore limited to the
mean number of targets, rounded up; the largest and the smallest share then differ by
the least difference that is possible, or by one more.

The assignment depends on the live instances only. It serves efficiency, not safety:
for a moment two instances may hold a target, which causes refused starts but breaks
no guarantee, since the target enforces its number of slots.
"""

from collections.abc import Collection, Mapping

import xxhash


def holder_of(target_id: str, instances: Collection[str]) -> str | None:
    """Return the instance with the greatest weight for one target.

    :param target_id: the target.
    :param instances: ids of live instances in the target's failure domain.
    :returns: id of the instance, or None if there is none.
    """
    return max(instances, key=lambda one: _weight(target_id, one), default=None)


def holders_by_target(
    target_ids: Collection[str], live_instances: Collection[str]
) -> Mapping[str, str]:
    """Assign targets evenly; instances with the same view get the same result.

    Pairs of target and instance are taken in descending order of weight, so that most
    targets keep their instance when another joins or leaves. An instance that has its
    share is skipped.

    :param target_ids: targets of one failure domain.
    :param live_instances: ids of instances there that may hold targets.
    :returns: instance id by target id; empty without instances.
    """
    if not live_instances:
        return {}
    max_held = -(-len(target_ids) // len(live_instances))
    weighted_pairs = sorted(
        (
            (_weight(target_id, instance_id), target_id, instance_id)
            for target_id in target_ids
            for instance_id in live_instances
        ),
        reverse=True,
    )
    held_by_instance = dict.fromkeys(live_instances, 0)
    holders: dict[str, str] = {}
    for _, target_id, instance_id in weighted_pairs:
        if target_id in holders or held_by_instance[instance_id] >= max_held:
            continue
        holders[target_id] = instance_id
        held_by_instance[instance_id] += 1
    return holders


def _weight(target_id: str, instance_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{target_id}\n{instance_id}".encode())
