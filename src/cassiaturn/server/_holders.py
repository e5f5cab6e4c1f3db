"""Decides which targets this instance holds, from the members that it knows."""

from collections.abc import Collection, Iterable

from cassiaturn.membership import MembershipTable, holders_by_target
from cassiaturn.settings import TargetSettings


def targets_to_hold(
    *, instance_id: str, membership: MembershipTable, targets: Iterable[TargetSettings]
) -> Collection[str]:
    """Return the targets that this instance holds now.

    The targets of a failure domain are divided among its live instances. The
    targets of a domain without a live instance are divided among the live
    instances of all domains: starts cross domains then, but the targets stay in
    use.
    """
    targets_by_domain: dict[str, list[str]] = {}
    for target in targets:
        targets_by_domain.setdefault(target.failure_domain, []).append(target.target_id)
    domains = {*targets_by_domain, *_domains(membership)}
    all_live = sorted(
        {member for domain in domains for member in membership.live(domain)}
    )
    held: set[str] = set()
    for domain, target_ids in targets_by_domain.items():
        instances = membership.live(domain) or all_live
        holders = holders_by_target(target_ids, instances)
        held.update(
            target for target, holder in holders.items() if holder == instance_id
        )
    return held


def _domains(membership: MembershipTable) -> Collection[str]:
    rows = [*membership.members_by_id.values(), membership.me]
    return {row.facts.failure_domain for row in rows}
