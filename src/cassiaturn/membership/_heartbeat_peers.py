"""Caches the instances that this one exchanges heartbeats with.

They are read many times a second and change only when a member changes.
"""

from collections.abc import Collection, Mapping

from cassiaturn.membership._links import links_of
from cassiaturn.membership._rows import MemberRow


class HeartbeatPeers:
    """Caches the neighbours, and the other members that are to be sent a heartbeat."""

    def __init__(self, *, near_links: int) -> None:
        self._near_links = near_links
        self._links: Collection[str] | None = None
        self._peer_ids: Collection[str] | None = None

    @property
    def is_stale(self) -> bool:
        """Whether the links have to be computed again."""
        return self._links is None

    def invalidate_links(self) -> None:
        """Drop the cached links after a member joined, left or changed its domain."""
        self._links = None
        self._peer_ids = None

    def invalidate_peers(self) -> None:
        """Drop the cached peers after a change of probes or scheduled heartbeats."""
        self._peer_ids = None

    def peer_ids(
        self, me: MemberRow, members_by_id: Mapping[str, MemberRow]
    ) -> Collection[str]:
        """Return ids of the instances to exchange heartbeats with."""
        if self._peer_ids is None:
            extra_ids = {
                instance_id
                for instance_id, row in members_by_id.items()
                if row.needs_heartbeat
                or (row.gone_at is None and row.probed_since is not None)
            }
            self._peer_ids = sorted(extra_ids.union(self.links(me, members_by_id)))
        return self._peer_ids

    def links(
        self, me: MemberRow, members_by_id: Mapping[str, MemberRow]
    ) -> Collection[str]:
        """Return ids of the instances linked to this one, by :func:`links_of`."""
        if self._links is None:
            domains = {
                instance_id: row.facts.failure_domain
                for instance_id, row in members_by_id.items()
                if row.gone_at is None
            }
            domains[me.facts.instance_id] = me.facts.failure_domain
            self._links = links_of(
                instance_id=me.facts.instance_id,
                domains_by_instance=domains,
                near_links=self._near_links,
            )
        return self._links
