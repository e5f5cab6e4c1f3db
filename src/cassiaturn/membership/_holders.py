"""Which instance holds which target, from the live instances alone.

Load pattern: two or three instances and six to eight targets a failure domain.
Plain rendezvous hashing often leaves one instance with twice its share there, and
its queue grows while others have free slots. Bounded to the ceiling of the mean,
the largest share differs from the smallest by what division forces, or one more.

Ownership is for efficiency only: for a moment two instances may hold a target,
which costs refused starts and no promise, since the target enforces its slots.
"""

from collections.abc import Collection, Mapping

import xxhash


def holder_of(target_id: str, instances: Collection[str]) -> str | None:
    """Return the instance of the greatest weight for one target.

    :param instances: ids of live instances in the target's failure domain.
    :returns: None without any instance.
    """
    return max(instances, key=lambda one: _weight(target_id, one), default=None)


def holders_by_target(
    target_ids: Collection[str], live_instances: Collection[str]
) -> Mapping[str, str]:
    """Share targets out evenly, the same on every instance with an equal view.

    Targets choose in the order of their weights, so that the strongest bindings
    stay when an instance comes or goes; a full instance is passed over.

    :param target_ids: targets of one failure domain.
    :param live_instances: ids of instances there that may hold targets.
    :returns: instance id by target id; empty without instances.
    """
    if not live_instances:
        return {}
    room = -(-len(target_ids) // len(live_instances))
    bindings = sorted(
        (
            (_weight(target_id, instance_id), target_id, instance_id)
            for target_id in target_ids
            for instance_id in live_instances
        ),
        reverse=True,
    )
    held_by_instance = dict.fromkeys(live_instances, 0)
    holders: dict[str, str] = {}
    for _, target_id, instance_id in bindings:
        if target_id in holders or held_by_instance[instance_id] >= room:
            continue
        holders[target_id] = instance_id
        held_by_instance[instance_id] += 1
    return holders


def _weight(target_id: str, instance_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{target_id}\n{instance_id}".encode())
