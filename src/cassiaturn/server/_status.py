"""Builds the status document of an instance."""

import time
from typing import TYPE_CHECKING

from cassiaturn.engine import expected_wait_s
from cassiaturn.entities import RequestClass
from cassiaturn.membership import MemberRow, MemberState
from cassiaturn.observability import (
    BreakerState,
    InstanceState,
    PeerStatus,
    QueueStatus,
    StatusDocument,
    TargetStatus,
    TenantStatus,
)
from cassiaturn.submission import StoreState

if TYPE_CHECKING:
    from cassiaturn.server._instance import Instance

MS_PER_S = 1000

_BREAKERS = {
    StoreState.CLOSED: BreakerState.CLOSED,
    StoreState.BACKOFF: BreakerState.CLOSED,
    StoreState.OPEN: BreakerState.OPEN,
    StoreState.HALF_OPEN: BreakerState.HALF_OPEN,
}

_STATES = {
    MemberState.STARTING: InstanceState.STARTING,
    MemberState.READY: InstanceState.READY,
    MemberState.LEAVING: InstanceState.LEAVING,
}


def status_of(instance: "Instance") -> StatusDocument:
    """Return the status document of an instance as of now."""
    ready = instance.ready()
    has_table = instance.platform.table is not None
    breaker = _BREAKERS[instance.budget.state] if has_table else BreakerState.ABSENT
    return StatusDocument(
        instance_id=instance.settings.instance_id,
        incarnation=instance.incarnation,
        failure_domain=instance.settings.failure_domain,
        state=_STATES[instance.member_state],
        ready=ready.ready,
        reason=ready.reason,
        uptime_ms=_ms(time.monotonic() - instance.started_at),
        open_submissions=len(instance.state.jobs_by_id),
        store_breaker=breaker,
        configuration=instance.configuration.status(),
        peers=[_peer(instance, row) for row in _members(instance)],
        targets=_targets(instance),
        tenants=_tenants(instance),
        queues=_queues(instance),
    )


def _members(instance: "Instance") -> list[MemberRow]:
    members = instance.membership.members_by_id
    return [members[instance_id] for instance_id in sorted(members)]


def _peer(instance: "Instance", row: MemberRow) -> PeerStatus:
    facts = row.facts
    now = time.monotonic()
    return PeerStatus(
        instance_id=facts.instance_id,
        failure_domain=facts.failure_domain,
        state=row.state.value,
        connected=facts.incarnation in instance.peers.links_by_incarnation,
        heard_ms=None if row.heard_at is None else _ms(now - row.heard_at),
        free_slots=facts.free_slots,
        queued=facts.queued,
        configuration_version=facts.configuration_version,
    )


def _targets(instance: "Instance") -> list[TargetStatus]:
    statuses = []
    for target_id, settings in sorted(instance.targets.settings_by_target.items()):
        row = instance.state.targets_by_id.get(target_id)
        held = row is not None
        statuses.append(
            TargetStatus(
                target_id=target_id,
                failure_domain=settings.failure_domain,
                worker=settings.worker,
                holder=instance.settings.instance_id if held else "",
                connected=row.connected if row else False,
                leaving=row.leaving if row else False,
                health=instance.state.health.state_of(target_id).name.lower()
                if row
                else "",
                slots=row.slots if row else settings.slots,
                slots_in_use=row.in_use if row else 0,
            )
        )
    return statuses


def _tenants(instance: "Instance") -> list[TenantStatus]:
    state = instance.state
    queued_by_tenant = state.queue.queued_by_tenant()
    return [
        TenantStatus(
            name=tenant.name,
            weight=tenant.weight,
            quota_slots=tenant.quota_slots,
            running=state.running_by_tenant[tenant.name],
            queued=queued_by_tenant.get(tenant.name, 0),
        )
        for tenant in state.tenants_by_name.values()
    ]


def _queues(instance: "Instance") -> list[QueueStatus]:
    state = instance.state
    queued_by_class = state.queue.queued_by_class()
    wait_s = expected_wait_s(state) if state.usable_slots() else 0.0
    return [
        QueueStatus(
            request_class=request_class.name.lower(),
            queued=queued_by_class.get(request_class, 0),
            expected_wait_ms=_ms(wait_s),
        )
        for request_class in RequestClass
    ]


def _ms(seconds: float) -> int:
    return int(seconds * MS_PER_S)
