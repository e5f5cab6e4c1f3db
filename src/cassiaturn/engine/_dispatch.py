"""Sends queued tasks: to free slots here first, then to peers.

A task is bound to a slot only when it is sent, so nothing queues behind a long
task at a target, and no probe is needed: the holder counts its slots exactly.
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

MILLISECONDS = 1000


def dispatch(state: State, now: float) -> None:
    """Send whatever can be sent now."""
    if state.starts_held:
        return
    while len(state.queue):
        _start_own(state, now)
        if not len(state.queue) or not _spill(state, now):
            return


def _start_own(state: State, now: float) -> None:
    free = state.free_slots()
    if free == 0:
        return

    def fits(task: QueuedTask) -> bool:
        return _choose(state, task, now) is not None

    while free > 0:
        task = state.queue.pop(now=now, fits=fits)
        if task is None:
            return
        record = state.records_by_key.get(task.key)
        if record is None or record.state is not TaskState.QUEUED:
            charge_popped(state, task, 0.0)
            continue
        if record.task.start_by <= now:
            # After a pause an event may come before the tick that expires the
            # queue; a start sent now could begin after its home gave it up.
            charge_popped(state, task, 0.0)
            expire_record(state, record, now)
            continue
        target = _choose(state, task, now)
        if target is None:
            raise AssertionError(f"{task.key}: it fitted a target and no more")
        start_here(state, record, target, now)
        free -= 1


def _choose(state: State, task: QueuedTask, now: float) -> TargetRow | None:
    return choose_target(
        task,
        open_targets(state, now),
        spare_share_by_class=state.policy.placement.spare_share_by_class,
    )


def open_targets(state: State, now: float) -> Iterable[TargetRow]:
    """Return the targets that are not paused after a refusal."""
    blocked = state.blocked_until_by_target
    rows = state.targets_by_id.values()
    if not blocked:
        return rows
    return [row for row in rows if blocked.get(row.target_id, 0.0) <= now]


def start_here(state: State, record: TaskRecord, target: TargetRow, now: float) -> None:
    """Send one start to a target that has a slot for it."""
    target.take(record.task.resources)
    target.connections_in_use += 1
    record.state = TaskState.RUNNING
    record.target_id = target.target_id
    within_s = min(state.settings.start_within_s, record.task.start_by - now)
    _note_sent(state, record, now, within_s)
    record.renewed_at = now
    state.counters.starts += 1
    state.running_by_tenant[record.task.tenant] += 1
    state.running_by_class[record.task.request_class] += 1
    state.health.started(target.target_id, record.key, record.method.name, now)
    state.ports.send_start(
        record,
        within_s=within_s,
        lease_ms=round(state.settings.lease_s * MILLISECONDS),
    )


def expire_record(state: State, record: TaskRecord, now: float) -> None:
    """Give a queued task up that found no slot here in time.

    A task of our own stays with its job, whose deadline settles it.
    """
    if record.origin is None:
        record.state = TaskState.CANCELLED
        return
    return_refusal(state, record, runner_pb2.REFUSAL_REASON_LATE, now)


def charge_popped(state: State, task: QueuedTask, held_s: float) -> None:
    """Tell the queue how long a task that it gave out held a slot.

    A task is charged its expected run when it is popped. One that never ran, or
    was lost, must be corrected, or its tenant stays charged for good.

    :param held_s: seconds; 0: it never began.
    """
    state.queue.charge(
        tenant=task.tenant,
        caller=task.caller,
        submission_id=task.key.submission_id,
        run_s=held_s,
    )


def release(state: State, record: TaskRecord) -> None:
    """Give back the slot of a task that its target no longer runs."""
    state.in_flight_by_key.pop(record.key, None)
    state.running_by_tenant[record.task.tenant] -= 1
    state.running_by_class[record.task.request_class] -= 1
    target = state.targets_by_id.get(record.target_id)
    if target is not None:
        target.give_back(record.task.resources)
        target.connections_in_use -= 1


def _note_sent(state: State, record: TaskRecord, now: float, within_s: float) -> None:
    state.in_flight_by_key[record.key] = record
    record.sent_at = now
    record.latest_end_at = now + within_s + state.settings.lease_s
    if record.origin is not None:
        return
    job = state.jobs_by_id[record.key.submission_id]
    if not state.submissions.begin(job.submission_id):
        raise AssertionError(f"{record.key}: a start after the final answer")


def _spill(state: State, now: float) -> bool:
    """Give queued tasks to peers that are believed to have free slots.

    :returns: whether the next task may now use slots here that are kept for
        higher classes, since no peer is open to it.
    """
    peers = [row for row in state.peers_by_incarnation.values() if row.ready]
    while True:
        own_wait_s = expected_wait_s(state)
        task = state.queue.peek(now=now)
        if task is None:
            return False
        may_use_spare = task.may_use_spare
        # A task that was spilled once is not passed on: two hosts with stale
        # reports would hand it back and forth until its deadline.
        peer = None
        if _is_own(state, task):
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
        if record is None or not is_queued or not _give(state, record, peer, now):
            charge_popped(state, popped, 0.0)


def _give(state: State, record: TaskRecord, peer: PeerRow, now: float) -> bool:
    within_s = min(state.settings.spill_within_s, record.task.start_by - now)
    if within_s <= 0:
        return False
    record.state = TaskState.SPILLED
    record.peer = peer.incarnation
    _note_sent(state, record, now, within_s)
    peer.count_send()
    state.counters.spills += 1
    job = state.jobs_by_id[record.key.submission_id]
    state.ports.spill(record, within_s=within_s, job_remaining=job.remaining)
    return True


def _is_own(state: State, task: QueuedTask) -> bool:
    record = state.records_by_key.get(task.key)
    return record is None or record.origin is None


def expected_wait_s(state: State) -> float:
    """Return how long a task queued now waits for a slot here, in seconds."""
    slots = state.usable_slots()
    if slots == 0:
        return float("inf")
    queued_s = sum(
        count * state.mean_run_s_by_class[request_class]
        for request_class, count in state.queue.queued_by_class().items()
    )
    return queued_s / slots
