"""Handles tasks that peers spill to this instance, which holds the targets."""

from cassiaturn.engine._returns import return_refusal, was_returned
from cassiaturn.engine._state import State
from cassiaturn.engine._tables import TaskRecord, TaskState
from cassiaturn.entities import Method, RequestClass, Resources, TaskKey
from cassiaturn.policy import QueuedTask
from cassiaturn.v1 import peer_pb2, runner_pb2


def on_spilled(
    state: State, peer: str, spilled: peer_pb2.SpilledTask, now: float
) -> None:
    """Queue a peer's task, with the same priority as a task submitted here."""
    start = spilled.start
    key = TaskKey(start.ref.submission_id, start.ref.index)
    if key in state.records_by_key or was_returned(state, peer, key, start.ref.attempt):
        # The peer resends tasks after a link loss. A second start would run the
        # task twice, so the duplicate is ignored.
        return
    record = _to_record(peer, spilled, key, now)
    if state.draining or state.superseded or record.task.start_by <= now:
        reason = runner_pb2.REFUSAL_REASON_LEAVING
        return_refusal(state, record, reason, now)
        return
    state.records_by_key[key] = record
    state.enqueue(record)


def on_cancel(state: State, key: TaskKey, attempt: int) -> None:
    """Drop or stop a task that its home cancelled."""
    record = state.records_by_key.get(key)
    if record is None or record.origin is None or record.task.attempt != attempt:
        return
    if record.state is TaskState.RUNNING:
        state.ports.send_cancel(record.target_id, key, attempt)
        record.state = TaskState.CANCELLED
        return
    record.state = TaskState.CANCELLED
    state.records_by_key.pop(key, None)


def on_peer_gone(state: State, incarnation: str, now: float) -> None:
    """Remove a peer that is gone, and its tasks that are still queued here.

    Tasks spilled to the peer are reclaimed by the sweep once any run begun there
    must have ended.
    """
    state.peers_by_incarnation.pop(incarnation, None)
    state.returned_by_peer.pop(incarnation, None)
    state.tenant_loads_by_peer.pop(incarnation, None)
    _extend_latest_end(state, incarnation, now)
    for record in list(state.records_by_key.values()):
        queued = record.state is TaskState.QUEUED
        if record.origin == incarnation and queued:
            record.state = TaskState.CANCELLED
            state.records_by_key.pop(record.key, None)


def return_peer_tasks(state: State, now: float) -> None:
    """Return the queued tasks of all peers because this instance stops.

    They would get no slot here any more, and their homes would have to wait until
    no run of them can be in progress.
    """
    for record in list(state.records_by_key.values()):
        if record.origin is not None and record.state is TaskState.QUEUED:
            return_refusal(state, record, runner_pb2.REFUSAL_REASON_LEAVING, now)


def _extend_latest_end(state: State, incarnation: str, now: float) -> None:
    # The peer may be alive behind a partition and renew the leases of this
    # instance's tasks, so a rerun now could overlap the first run. It last heard
    # from this instance no later than now and renews for at most peer_silence_s
    # after that; the target stops the task one lease later.
    settings = state.settings
    last_renewal_by = now + settings.peer_silence_s + settings.start_within_s
    for record in state.in_flight_by_key.values():
        if record.peer == incarnation:
            record.latest_end_at = max(
                record.latest_end_at, last_renewal_by + settings.lease_s
            )


def _to_record(
    peer: str, spilled: peer_pb2.SpilledTask, key: TaskKey, now: float
) -> TaskRecord:
    start = spilled.start
    resources = Resources(
        cpu_millis=start.resources.cpu_millis,
        memory_mib=start.resources.memory_mib,
        accelerators=start.resources.accelerators,
    )
    request_class = RequestClass(spilled.request_class)
    expected_s = spilled.expected_run_ms / 1000
    method = Method(
        name=start.method,
        repeatable=spilled.repeatable,
        request_class=request_class,
        expected_run_ms=spilled.expected_run_ms,
        deadline_ms=0,
        resources=resources,
    )
    task = QueuedTask(
        key=key,
        tenant=spilled.tenant,
        caller=spilled.caller,
        request_class=request_class,
        method=start.method,
        resources=resources,
        enqueued_at=now,
        start_by=spilled.start_by_ms / 1000,
        job_remaining=spilled.job_remaining,
        attempt=start.ref.attempt,
        repeatable=spilled.repeatable,
        expected_run_s=expected_s,
    )
    return TaskRecord(
        key=key,
        task=task,
        method=method,
        payload=start.payload,
        home=start.home,
        origin=peer,
    )
