"""Dispatches queued tasks: first to free slots of this instance, then to peers.

A task is bound to a slot only when it is sent, so no task queues behind a long one
at a target. No probes are needed, since the instance that holds a target counts its
slots exactly.
"""

from collections.abc import Iterable

from cassiaturn.engine._returns import return_refusal
from cassiaturn.engine._state import State
from cassiaturn.engine._tables import TaskRecord, TaskState
from cassiaturn.policy import (
    PeerRow,
    QueuedTask,
    TargetRow,
    choose_handover_peer,
    choose_target,
)
from cassiaturn.v1 import runner_pb2

MS_PER_S = 1000


def dispatch(state: State, now: float) -> None:
    """Send every task that can be sent now."""
    if state.starts_held:
        return
    while len(state.queue):
        _start_local(state, now)
        if not len(state.queue) or not _spill_queued(state, now):
            return


def _start_local(state: State, now: float) -> None:
    free = state.free_slots()
    if free == 0:
        return

    def fits(task: QueuedTask) -> bool:
        return _choose_target(state, task, now) is not None

    while free > 0:
        task = state.queue.pop(now=now, fits=fits)
        if task is None:
            return
        record = state.records_by_key.get(task.key)
        if record is None or record.state is not TaskState.QUEUED:
            charge_slot_time(state, task, 0.0)
            continue
        if record.task.start_by <= now:
            # After a pause of the process, an event may be handled before the tick
            # that expires the queue. Its home may have given the task up already.
            charge_slot_time(state, task, 0.0)
            expire_record(state, record, now)
            continue
        target = _choose_target(state, task, now)
        if target is None:
            raise AssertionError(
                f"{task.key}: no target fits it, although the queue search found one"
            )
        start_locally(state, record, target, now)
        free -= 1


def _choose_target(state: State, task: QueuedTask, now: float) -> TargetRow | None:
    return choose_target(
        task,
        unpaused_targets(state, now),
        spare_share_by_class=state.policy.placement.spare_share_by_class,
    )


def unpaused_targets(state: State, now: float) -> Iterable[TargetRow]:
    """Return the targets that are not paused after refusals or failures."""
    blocked = state.blocked_until_by_target
    rows = state.targets_by_id.values()
    if not blocked:
        return rows
    return [row for row in rows if blocked.get(row.target_id, 0.0) <= now]


def start_locally(
    state: State, record: TaskRecord, target: TargetRow, now: float
) -> None:
    """Send a start to a target that has a free slot for it."""
    target.take(record.task.resources)
    target.connections_in_use += 1
    record.state = TaskState.RUNNING
    record.target_id = target.target_id
    within_s = min(state.settings.start_within_s, record.task.start_by - now)
    _record_sent(state, record, now, within_s)
    record.renewed_at = now
    state.counters.starts += 1
    state.running_by_tenant[record.task.tenant] += 1
    state.running_by_class[record.task.request_class] += 1
    state.health.started(target.target_id, record.key, record.method.name, now)
    state.ports.send_start(
        record,
        within_s=within_s,
        lease_ms=round(state.settings.lease_s * MS_PER_S),
    )


def expire_record(state: State, record: TaskRecord, now: float) -> None:
    """Give up a queued task that found no slot here in time.

    A task whose home is this instance is settled with its job, by the deadline.
    """
    if record.origin is None:
        record.state = TaskState.CANCELLED
        return
    return_refusal(state, record, runner_pb2.REFUSAL_REASON_LATE, now)


def charge_slot_time(state: State, task: QueuedTask, held_s: float) -> None:
    """Charge a popped task for the time in which it held a slot.

    The queue charges the expected run time when a task is popped. Without this
    correction the tenant of a task that never ran, or was lost, stays charged for
    it.

    :param held_s: time in seconds; 0 if the task never began.
    """
    state.queue.charge(
        tenant=task.tenant,
        caller=task.caller,
        submission_id=task.key.submission_id,
        run_s=held_s,
    )


def release(state: State, record: TaskRecord) -> None:
    """Release the slot of a task that its target no longer runs."""
    state.in_flight_by_key.pop(record.key, None)
    state.running_by_tenant[record.task.tenant] -= 1
    state.running_by_class[record.task.request_class] -= 1
    target = state.targets_by_id.get(record.target_id)
    if target is not None:
        target.give_back(record.task.resources)
        target.connections_in_use -= 1


def _record_sent(state: State, record: TaskRecord, now: float, within_s: float) -> None:
    state.in_flight_by_key[record.key] = record
    record.sent_at = now
    record.latest_end_at = now + within_s + state.settings.lease_s
    if record.origin is not None:
        return
    job = state.jobs_by_id[record.key.submission_id]
    if not state.submissions.begin(job.submission_id):
        raise AssertionError(f"{record.key}: start attempted after the final answer")


def _spill_queued(state: State, now: float) -> bool:
    """Spill queued tasks to peers that are expected to have free slots.

    :returns: whether the next task may now use local slots that are reserved for
        higher classes, because no peer can take it.
    """
    peers = [row for row in state.peers_by_incarnation.values() if row.ready]
    while True:
        own_wait_s = expected_wait_s(state)
        task = state.queue.peek(now=now)
        if task is None:
            return False
        may_use_spare = task.may_use_spare
        # A spilled task is not spilled again: two instances with stale reports
        # would pass it back and forth until its deadline.
        peer = None
        if _is_home_task(state, task):
            peer = state.placement.choose_peer(task, own_wait_s, peers, now)
            if peer is None and state.usable_slots() == 0:
                peer = choose_handover_peer(peers)
        else:
            task.may_use_spare = True
        if peer is None:
            return task.may_use_spare and not may_use_spare
        popped = state.queue.pop(now=now)
        if popped is None:
            return False
        record = state.records_by_key.get(popped.key)
        is_queued = record is not None and record.state is TaskState.QUEUED
        if record is None or not is_queued or not _spill_task(state, record, peer, now):
            charge_slot_time(state, popped, 0.0)


def _spill_task(state: State, record: TaskRecord, peer: PeerRow, now: float) -> bool:
    within_s = min(state.settings.spill_within_s, record.task.start_by - now)
    if within_s <= 0:
        return False
    record.state = TaskState.SPILLED
    record.peer = peer.incarnation
    _record_sent(state, record, now, within_s)
    peer.count_send()
    state.counters.spills += 1
    job = state.jobs_by_id[record.key.submission_id]
    state.ports.spill(record, within_s=within_s, job_remaining=job.remaining)
    return True


def _is_home_task(state: State, task: QueuedTask) -> bool:
    record = state.records_by_key.get(task.key)
    return record is None or record.origin is None


def expected_wait_s(state: State) -> float:
    """Return how long a task queued now is expected to wait here, in seconds."""
    slots = state.usable_slots()
    if slots == 0:
        return float("inf")
    queued_s = sum(
        count * state.mean_run_s_by_class[request_class]
        for request_class, count in state.queue.queued_by_class().items()
    )
    return queued_s / slots
