"""An instance's part of each tenant's quota, by the demand that peers report."""

from collections.abc import Mapping, Set

from cassiaturn.bench._world import World
from cassiaturn.policy import next_quota_part


class QuotaParts:
    """The slots that each tenant's quota gives it at one instance."""

    def __init__(self, *, world: World, instance_id: str, instances: int) -> None:
        self._instance_id = instance_id
        self._quotas_by_tenant = world.tenants.quota_slots(world.deployment.slots)
        self.slots_by_tenant = {
            tenant: slots / instances
            for tenant, slots in self._quotas_by_tenant.items()
        }

    def update(
        self, own: Mapping[str, int], by_peer: Mapping[str, Mapping[str, int]]
    ) -> None:
        """Take one step towards the parts that demand calls for.

        :param own: running and queued tasks here, by tenant.
        :param by_peer: the same as peers reported, by instance.
        """
        demand_by_instance = {**by_peer, self._instance_id: own}
        for tenant, quota in self._quotas_by_tenant.items():
            self.slots_by_tenant[tenant] = next_quota_part(
                quota_slots=quota,
                instance_id=self._instance_id,
                demand_by_instance={
                    instance: by_tenant.get(tenant, 0)
                    for instance, by_tenant in demand_by_instance.items()
                },
                current_slots=self.slots_by_tenant[tenant],
            )

    def used_up(self, running_by_tenant: Mapping[str, int]) -> Set[str]:
        """Return the tenants that run as much as their parts permit."""
        return {
            tenant
            for tenant, slots in self.slots_by_tenant.items()
            if running_by_tenant.get(tenant, 0) >= max(slots, 1.0)
        }
