"""Which instances exchange heartbeats: few, the same from both ends.

Load pattern: with every instance linked to every other, heartbeats grow with the
square of the fleet (350 instances: 84 KB/s each). Here an instance has a fixed
number of links, and equal views give both ends of a link the same answer.
"""

import math
from collections.abc import Collection, Mapping, Sequence

import xxhash


def links_of(
    *, instance_id: str, domains_by_instance: Mapping[str, str], near_links: int
) -> Collection[str]:
    """Return the instances that one exchanges heartbeats with.

    Within a failure domain the instances form a ring in order of a hash. Each is
    linked to the next one on either side, and to others a growing number of
    steps away, which keeps the way of a rumour through the ring short: about 8
    hops among 70 instances, where neighbours alone would need 18. Two failure
    domains are linked by pairs of equal rank, one link an instance if they are of
    equal size; a domain with fewer instances has more links each.

    :param domains_by_instance: failure domain by instance id, itself included.
    :param near_links: links within the failure domain.
    """
    rings_by_domain: dict[str, list[str]] = {}
    for other_id, domain in domains_by_instance.items():
        rings_by_domain.setdefault(domain, []).append(other_id)
    for ring in rings_by_domain.values():
        ring.sort(key=_order)
    own_domain = domains_by_instance[instance_id]
    own_ring = rings_by_domain.pop(own_domain)
    rank = own_ring.index(instance_id)
    links = set(_near(own_ring, rank, near_links // 2))
    for ring in rings_by_domain.values():
        links.update(_far(len(own_ring), rank, ring))
    return links


def _order(instance_id: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(instance_id.encode()), instance_id


def _near(ring: Sequence[str], rank: int, each_side: int) -> Collection[str]:
    stride = max(2, math.isqrt(len(ring)))
    steps = [1, *(stride * turn for turn in range(1, each_side))]
    near = {
        ring[(rank + step * side) % len(ring)] for step in steps for side in (-1, 1)
    }
    return near - {ring[rank]}


def _far(own_size: int, rank: int, ring: Sequence[str]) -> Collection[str]:
    if own_size <= len(ring):
        return ring[rank::own_size]
    return [ring[rank % len(ring)]]
