"""Divides each tenant's quota among the instances that have tasks of the tenant."""

from cassiaturn.engine._state import State
from cassiaturn.policy import next_quota_part


def share_quotas(state: State) -> None:
    """Move this instance's part of each quota one step towards the reported demand."""
    me = state.settings.instance_id
    queued_by_tenant = state.queue.queued_by_tenant()
    shares: dict[str, float] = {}
    for tenant in state.tenants_by_name.values():
        if tenant.quota_slots <= 0:
            continue
        demand = {
            peer: loads.get(tenant.name, 0)
            for peer, loads in state.tenant_loads_by_peer.items()
        }
        demand[me] = state.running_by_tenant[tenant.name] + queued_by_tenant.get(
            tenant.name, 0
        )
        shares[tenant.name] = next_quota_part(
            quota_slots=tenant.quota_slots,
            instance_id=me,
            demand_by_instance=demand,
            current_slots=state.quota_share_by_tenant.get(tenant.name, 0.0),
        )
    state.quota_share_by_tenant = shares
