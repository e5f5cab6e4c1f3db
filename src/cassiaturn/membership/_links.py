"""Chooses which instances exchange heartbeats: few links, the same at both ends.

Load pattern: if every instance were linked to every other, heartbeats would grow with
the square of the number of instances (84 KB/s each with 350 instances). Here an
instance has a fixed number of links, and two instances with the same view agree
whether they are linked.
"""

import math
from collections.abc import Collection, Mapping, Sequence

import xxhash


def links_of(
    *, instance_id: str, domains_by_instance: Mapping[str, str], near_links: int
) -> Collection[str]:
    """Return the instances that one instance exchanges heartbeats with.

    Within a failure domain the instances form a ring in the order of a hash. Each is
    linked to the next one on either side, and to others at growing distances, which
    lets a suspicion cross the ring in few hops: about 8 among 70 instances, where
    links to adjacent instances alone would need 18. Two failure domains are linked by
    pairs of equal rank, with one link per instance if they are of equal size; the
    instances of a smaller domain have more links each.

    :param instance_id: the instance.
    :param domains_by_instance: failure domain by instance id, including this one.
    :param near_links: number of links within the failure domain; even.
    :returns: ids of the linked instances.
    """
    rings_by_domain: dict[str, list[str]] = {}
    for other_id, domain in domains_by_instance.items():
        rings_by_domain.setdefault(domain, []).append(other_id)
    for ring in rings_by_domain.values():
        ring.sort(key=_hash_order)
    own_domain = domains_by_instance[instance_id]
    own_ring = rings_by_domain.pop(own_domain)
    rank = own_ring.index(instance_id)
    links = set(_links_in_domain(own_ring, rank, near_links // 2))
    for ring in rings_by_domain.values():
        links.update(_links_to_domain(len(own_ring), rank, ring))
    return links


def _hash_order(instance_id: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(instance_id.encode()), instance_id


def _links_in_domain(ring: Sequence[str], rank: int, each_side: int) -> Collection[str]:
    stride = max(2, math.isqrt(len(ring)))
    steps = [1, *(stride * factor for factor in range(1, each_side))]
    near = {
        ring[(rank + step * side) % len(ring)] for step in steps for side in (-1, 1)
    }
    return near - {ring[rank]}


def _links_to_domain(own_size: int, rank: int, ring: Sequence[str]) -> Collection[str]:
    if own_size <= len(ring):
        return ring[rank::own_size]
    return [ring[rank % len(ring)]]
