"""Builders of tasks, targets and peers with default values."""

from typing import Any

from cassiaturn.entities import RequestClass, Resources, TaskKey
from cassiaturn.policy import PeerRow, QueuedTask, TargetRow


def make_task(submission_id: str = "s", index: int = 0, **changes: Any) -> QueuedTask:
    fields: dict[str, Any] = {
        "tenant": "accra",
        "caller": "counter",
        "request_class": RequestClass.NORMAL,
        "method": "price",
        "resources": Resources(cpu_millis=1000, memory_mib=512),
        "enqueued_at": 0.0,
        "start_by": 100.0,
        "job_remaining": 1,
        "repeatable": True,
        "expected_run_s": 0.3,
    }
    return QueuedTask(key=TaskKey(submission_id, index), **(fields | changes))


def make_target(target_id: str = "r0", **changes: Any) -> TargetRow:
    fields: dict[str, Any] = {
        "failure_domain": "osu",
        "worker": target_id,
        "slots": 8,
        "connections": 64,
        "capacity": Resources(cpu_millis=16_000, memory_mib=65_536, accelerators=1),
    }
    return TargetRow(target_id=target_id, **(fields | changes))


def make_peer(instance_id: str = "i0", **changes: Any) -> PeerRow:
    fields: dict[str, Any] = {
        "incarnation": f"{instance_id}.1",
        "failure_domain": "osu",
        "free_slots": 4,
        "queued": 0,
        "expected_wait_s": 0.0,
        "reported_at": 0.0,
        "ready": True,
        "slots": 24,
    }
    return PeerRow(instance_id=instance_id, **(fields | changes))
