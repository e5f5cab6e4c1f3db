"""Tasks that peers give to this instance, as the holder of its targets."""

from cassiaturn.engine._returns import return_refusal, was_returned
from cassiaturn.engine._state import State
from cassiaturn.engine._tables import TaskRecord, TaskState
from cassiaturn.entities import Method, RequestClass, Resources, TaskKey
from cassiaturn.policy import QueuedTask
from cassiaturn.v1 import peer_pb2, runner_pb2


def on_spilled(
    state: State, peer: str, spilled: peer_pb2.SpilledTask, now: float
) -> None:
    """Queue a peer's task here; it competes as if it had arrived here."""
    start = spilled.start
    key = TaskKey(start.ref.submission_id, start.ref.index)
    if key in state.records_by_key or was_returned(state, peer, key, start.ref.attempt):
        # Sent again after a link loss. Starting it twice would run it twice, so
        # the first record stands, and its outcome answers for both.
        return
    record = _to_record(peer, spilled, key, now)
    if state.draining or state.superseded or record.task.start_by <= now:
        reason = runner_pb2.REFUSAL_REASON_LEAVING
        return_refusal(state, record, reason, now)
        return
    state.records_by_key[key] = record
    state.enqueue(record)


def on_cancel(state: State, key: TaskKey, attempt: int) -> None:
    """Drop or stop a task that its home has given up on."""
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
    """Forget a peer that is gone; its queued tasks here are not started.

    Tasks that we gave it are taken back by the sweep once a run begun there is
    certainly over.
    """
    state.peers_by_incarnation.pop(incarnation, None)
    state.returned_by_peer.pop(incarnation, None)
    state.tenant_loads_by_peer.pop(incarnation, None)
    _await_end(state, incarnation, now)
    for record in list(state.records_by_key.values()):
        queued = record.state is TaskState.QUEUED
        if record.origin == incarnation and queued:
            record.state = TaskState.CANCELLED
            state.records_by_key.pop(record.key, None)


def return_peer_tasks(state: State, now: float) -> None:
    """Give every queued task of the peers back, since this instance ends.

    Kept, they would wait here for a slot that never comes, and their homes would
    have to wait until no run of them can be under way.
    """
    for record in list(state.records_by_key.values()):
        if record.origin is not None and record.state is TaskState.QUEUED:
            return_refusal(state, record, runner_pb2.REFUSAL_REASON_LEAVING, now)


def _await_end(state: State, incarnation: str, now: float) -> None:
    # The peer may live on behind a partition and renew the leases of our tasks
    # until it misses our frames, so a rerun now could overlap the first run.
    # It heard us last no later than now, renews no longer than peer_silence_s
    # after that, and the target stops the task one lease later.
    settings = state.settings
    silent_by = now + settings.peer_silence_s + settings.start_within_s
    for record in state.in_flight_by_key.values():
        if record.peer == incarnation:
            record.latest_end_at = max(
                record.latest_end_at, silent_by + settings.lease_s
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
