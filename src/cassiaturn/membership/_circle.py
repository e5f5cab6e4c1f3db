"""Whom an instance exchanges heartbeats with now, kept until something changes."""

from collections.abc import Collection, Mapping

from cassiaturn.membership._links import links_of
from cassiaturn.membership._rows import MemberRow


class Circle:
    """Links by the rule of :func:`links_of`, and members under probe.

    Both are wanted many times a second and change with the members only.
    """

    def __init__(self, *, near_links: int) -> None:
        self._near_links = near_links
        self._links: Collection[str] | None = None
        self._members: Collection[str] | None = None

    @property
    def is_stale(self) -> bool:
        """Whether the links are to be found anew."""
        return self._links is None

    def relink(self) -> None:
        """Find the links anew: a member came, went, or moved."""
        self._links = None
        self._members = None

    def review(self) -> None:
        """Find anew who is under probe, or wants to hear us."""
        self._members = None

    def members(
        self, me: MemberRow, members_by_id: Mapping[str, MemberRow]
    ) -> Collection[str]:
        """Return ids of the instances to exchange heartbeats with."""
        if self._members is None:
            asked = {
                instance_id
                for instance_id, row in members_by_id.items()
                if row.owes_answer
                or (row.gone_at is None and row.probed_since is not None)
            }
            self._members = sorted(asked.union(self.links(me, members_by_id)))
        return self._members

    def links(
        self, me: MemberRow, members_by_id: Mapping[str, MemberRow]
    ) -> Collection[str]:
        """Return ids of the instances linked to this one by the rule."""
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
